// Package lease gives at most one VM at a time the right to act for a name: an endpoint group,
// a client account's token bucket or a fleet-wide budget. The rows live in the platform's table.
package lease

// Names of leases.
const (
	// GroupPrefix precedes the name of an endpoint group.
	GroupPrefix = "group/"
	// AccountPrefix precedes the name of a client account.
	AccountPrefix = "account/"
	// Budget is the lease on the fleet-wide load budget.
	Budget = "budget"
)

// Grant is the proof that this VM holds a lease.
type Grant struct {
	Name string
	// Fencing increases with every change of holder.
	Fencing uint64
	// First says that no VM has held the lease before.
	First bool
	// PreviousProvenGone says that the previous holder handed over or was proven gone, so that none
	// of its orders can still arrive.
	PreviousProvenGone bool
	// State is what the previous holder passed on when it handed the lease over; nil otherwise.
	State []byte
	// Note is what the previous holder last wrote down of the lease with a renewal; nil if it wrote nothing.
	Note []byte
	// Recent are the VMs that held the lease before, the last one first. This VM may be among them.
	Recent []string
}

// Holder is what this VM believes of a lease's holder.
type Holder struct {
	VM          string
	Incarnation string
	Address     string
	Fencing     uint64
}

// Lessor tells which leases this VM holds and who holds the others.
type Lessor interface {
	// Held returns the grant if this VM holds the lease now. It reads the monotonic clock, and is
	// called right before each use of the right.
	Held(name string) (Grant, bool)
	// HolderOf returns the believed holder, which may be this VM.
	HolderOf(name string) (Holder, bool)
}

// Listener is told of leases gained and lost. Calls are made one at a time.
type Listener interface {
	LeaseGained(grant Grant)
	LeaseLost(name string)
}

// Package lease gives at most one VM at a time the right to act for a name: an endpoint group,
// a client account's token bucket or a fleet-wide budget. The rows live in the platform's table.
//
// Each VM renews one session row, which renews all its leases. A VM claims a lease with a conditional write
// that also ends the session of the previous holder. Every change of holder increases the lease's fencing
// number. If the table fails for all VMs, holders extend their leases as long as every peer reports in its
// heartbeats that the table is down for it too, and a successor named in the row may take over a lease
// provisionally. A VM incarnation is proven gone once it is certain that its process has ended, so that
// it can send nothing more.
package lease

import "time"

// Names of leases.
const (
	// GroupPrefix precedes the name of an endpoint group in a lease name.
	GroupPrefix = "group/"
	// AccountPrefix precedes the name of a client account in a lease name.
	AccountPrefix = "account/"
	// Budget is the name of the lease on the fleet-wide load budget.
	Budget = "budget"
)

// Grant describes a lease that this VM holds.
type Grant struct {
	Name string
	// Fencing increases with every change of holder.
	Fencing uint64
	// NeverHeldBefore says that no VM has held the lease before. It is false if the table service may have lost a claim.
	NeverHeldBefore bool
	// PreviousProvenGone says that every earlier holder has handed over or is proven gone, so that none
	// of their orders can still arrive.
	PreviousProvenGone bool
	// EarlierCallsUntil is the time until which calls that an earlier holder made under the lease may still arrive; zero if none can.
	EarlierCallsUntil time.Time
	// State is the data that the previous holder passed on when it handed the lease over; nil otherwise.
	State []byte
	// Note is the data on the lease that the previous holder last wrote with a renewal; nil if it wrote none.
	Note []byte
	// Recent lists the VMs that held the lease before, most recent first. This VM may be among them.
	Recent []string
	// Unrecorded says that another VM may have held the lease after the first one in Recent without the rows showing it:
	// the table service has lost later claims, or the lease was free for a takeover without the table.
	Unrecorded bool
	// HistoryLost says that the table service has returned from an older copy at some time, so that Recent may lack VMs.
	HistoryLost bool
}

// Holder is the holder of a lease as far as this VM knows.
type Holder struct {
	VM          string
	Incarnation string
	Address     string
	Fencing     uint64
}

// View looks up which leases this VM holds and which VMs hold the others.
type View interface {
	// Held returns the grant if this VM holds the lease now. Held checks the monotonic clock: callers must call
	// it right before each use of the lease.
	Held(name string) (Grant, bool)
	// HolderOf returns the holder as far as this VM knows, which may be this VM.
	HolderOf(name string) (Holder, bool)
}

// Listener is notified of leases gained and lost. Calls are made one at a time.
type Listener interface {
	LeaseGained(grant Grant)
	LeaseLost(name string)
}

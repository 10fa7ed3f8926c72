// Package budget limits adapter loads across the fleet: the loads started per second and the loads
// running at the same time. The home, which is the VM that holds the lease on the budget, grants permits
// to the VMs that own endpoint groups. A permit allows one load.
package budget

import "time"

// ServiceName is the name under which the daemon registers Service with net/rpc.
const ServiceName = "Budget"

const (
	takeMethod  = ServiceName + ".Take"
	usageMethod = ServiceName + ".Usage"
)

// Limit is the fleet-wide limit on adapter loads.
type Limit struct {
	// PerSecond bounds the loads started per second, AtOnce the loads running at the same time.
	PerSecond float64
	AtOnce    int
}

// TakeRequest is sent by a VM to the home. It reports the use of the VM's permits and asks for more.
type TakeRequest struct {
	VM          string
	Incarnation string
	// Seq increases with every request of the incarnation. Accepted is the Seq of the last request whose
	// reply the VM accepted.
	Seq, Accepted uint64
	// Want is the number of permits asked for.
	Want int64
	// Idle is the number of unused permits that the VM holds, Returned the number that it gives back.
	Idle, Returned int64
	// Running is the number of loads that run on the VM's permits.
	Running int64
	// Young is true while loads of an earlier incarnation of the VM may still run.
	Young bool
}

// TakeReply is the home's response to a TakeRequest.
type TakeReply struct {
	// Seq is that of the request. Fencing is the fencing number of the home's lease.
	Seq     uint64
	Fencing uint64
	// Permits is the number of permits granted.
	Permits int64
	// RetryAfter is the time after which a permit may be available, if none was granted.
	RetryAfter time.Duration
	// NotHome is true if the called VM has refused the request, because it is not the budget's home, knows
	// no limit, or the request is malformed or out of order.
	NotHome bool
}

// UsageRequest is sent by a new home to the other VMs. It announces the new home and asks for the
// permits that the VM uses.
type UsageRequest struct {
	// Fencing is the fencing number of the new home's lease. The VM refuses permits granted under lower
	// numbers from then on.
	Fencing uint64
}

// UsageReply reports the permits that a VM uses.
type UsageReply struct {
	Incarnation string
	// Idle is the number of unused permits, Running the number of loads that run on permits.
	Idle    int64
	Running int64
	// Young is true while loads of an earlier incarnation of the VM may still run.
	Young bool
}

// Lifetimes of permits, and intervals and timeouts of the calls between VMs.
const (
	// permitLifetime is the time during which a permit may be used, counted from the sending of the
	// request for it.
	permitLifetime = 2 * time.Second
	// permitMargin is added to permitLifetime by the home, because the clocks of two VMs may drift apart.
	permitMargin = 200 * time.Millisecond
	// callTimeout bounds one call to a home or to another VM.
	callTimeout = 500 * time.Millisecond
	// retryDelay is the delay before a failed or refused call is repeated.
	retryDelay = 50 * time.Millisecond
	// reportInterval is the interval between two reports of a VM that uses permits.
	reportInterval = 500 * time.Millisecond
	// wantLifetime is how long a VM keeps requesting permits after TryTake has found none.
	wantLifetime = time.Second
)

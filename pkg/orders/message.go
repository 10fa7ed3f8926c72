// Package orders sends load and evict orders to engines, and grants permits to run requests on them. Each
// engine has one owner: the VM whose lease lets it send orders to the engine. The owner tracks which adapters
// the engine holds. The other VMs ask the owner for a permit before they send the engine a request that names
// an adapter.
package orders

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/residency"
)

// ServiceName is the name under which the daemon registers Service with net/rpc.
const ServiceName = "Orders"

// RPC methods of the service.
const (
	AcquireMethod  = ServiceName + ".Acquire"
	ReportMethod   = ServiceName + ".Report"
	handoverMethod = ServiceName + ".Tell"
)

// Status is the outcome of a request for a permit.
type Status int

// Outcomes of a request for a permit.
const (
	// Granted means that the request may be sent to the engine now.
	Granted Status = iota
	// Offered means that the request would have to wait longer than its bounds allow. No permit is granted;
	// the reply contains the expected waits, so that the caller can compare engines.
	Offered
	// NotOwner means that the VM that was called is not the owner of the engine.
	NotOwner
	// Down means that the engine cannot be reached.
	Down
	// Waiting means that the adapter is not loaded yet. A caller that wants to wait longer calls again at
	// once.
	Waiting
)

// MaxWait limits how long one call waits for an adapter, so that a caller soon finds out if the owner's VM is
// unresponsive.
const MaxWait = 100 * time.Millisecond

// String returns the name of the status as it is logged.
func (s Status) String() string {
	return [...]string{"granted", "offered", "not_owner", "down", "waiting"}[s]
}

// AcquireArgs requests a permit for one request on an engine.
type AcquireArgs struct {
	// Caller is the calling VM and Incarnation its process. Permit identifies the request within that
	// process.
	Caller      string
	Incarnation string
	Permit      uint64
	// Endpoint and Started identify the engine's process.
	Endpoint string
	Started  int64
	Model    string
	Adapter  string
	// Urgency ranks the request; 0 is the most urgent.
	Urgency int
	// Tokens is the length of the prompt, and Output the limit on the response's length, both in tokens.
	Tokens, Output int
	// Expected is the expected length of the response in tokens, and Events that in events; 0 if they are not known.
	Expected, Events int
	Prompt           []dialect.PromptPart
	// Left is the longest time to wait for the adapter, and Life the longest time that the request can last.
	Left, Life time.Duration
	// Bound is the longest expected time to the first token that the caller accepts, and LoadBound the
	// longest expected wait for the adapter.
	Bound, LoadBound time.Duration
	// TotalBound, if not 0, bounds the expected time to the first token together with the work of less urgent
	// requests that the request would delay.
	TotalBound time.Duration
	// Prefetch asks for the adapter to be loaded if no request is waiting for a load. No permit is granted.
	Prefetch bool
	// Moving says that the adapter is prefetched because the engines that hold it are evacuated. It is then loaded also if
	// requests are waiting for other loads, after these. VMs of earlier builds ignore the field.
	Moving bool
	// Ended contains the updates to the caller's permits since its last call: requests that have started or
	// ended.
	Ended []PermitUpdate
}

// AcquireReply is the reply to AcquireArgs.
type AcquireReply struct {
	Status Status
	// Owner is the VM that sent the reply.
	Owner string
	// Version is the adapter version to name in the request, or 0 if the request names no adapter.
	Version int
	// Estimate is the expected time to the first token, not including the wait for the adapter.
	Estimate time.Duration
	// Own is the time to the first token that the request would have at an idle engine. It is the part of
	// Estimate that is not caused by other requests.
	Own time.Duration
	// Full is what Own would be if the engine held no part of the prompt; 0 if it is not known.
	Full time.Duration
	// Run is the expected time from the first token to the end of the response; 0 if it is not known.
	Run time.Duration
	// Displaced is the time that the engine needs for the prompts of less urgent requests, which the request delays.
	Displaced time.Duration
	// Waited is how long the request has waited for the adapter in this call, and Delay the expected further
	// wait.
	Waited time.Duration
	Delay  time.Duration
	// Spares are the least loaded engines of the same group that the owner owns, if the request would have to wait.
	Spares []Spare
}

// Spare is one of the least loaded engines of an owner.
type Spare struct {
	// Endpoint and Started identify the engine's process.
	Endpoint string
	Started  int64
	// Queue is the expected time until a request of the same urgency would begin there, and Load the expected wait
	// for its adapter.
	Queue, Load time.Duration
}

// PermitUpdate reports to the owner of an engine that the request of a permit has started or ended.
type PermitUpdate struct {
	Permit uint64
	// Started is set if the first token has arrived, and First is the time that it took.
	Started bool
	First   time.Duration
	// Ended is set if the request has ended at the engine. Ran is then the time from the first event of the
	// response to the last, and Events the number of events; 0 if they are not known.
	Ended  bool
	Ran    time.Duration
	Events int
	// Missing is set if the engine rejected the request because it did not hold the adapter.
	Missing bool
}

// ReportArgs sends updates to permits when no call to Acquire carries them.
type ReportArgs struct {
	Caller      string
	Incarnation string
	Notices     []PermitUpdate
}

// HandoverArgs asks the previous owner of an engine what it knows of the engine.
type HandoverArgs struct {
	Endpoint string
	Started  int64
}

// HandoverReply is the reply to HandoverArgs.
type HandoverReply struct {
	// Known is set if the VM has read a report of the engine, so that Habits is meaningful.
	Known bool
	// Habits describes how the adapters were used, which the engine's own report does not show.
	Habits residency.Handover
}

// ReportReply is the empty reply to ReportArgs.
type ReportReply struct{}

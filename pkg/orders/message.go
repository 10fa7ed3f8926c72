// Package orders gives engines their orders, for all VMs. The VM that holds the lease of an engine
// keeps the books on its adapters; the other VMs ask it before they send a request that names one.
package orders

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/residency"
)

// ServiceName is the name under which the daemon registers Service with net/rpc.
const ServiceName = "Orders"

// Methods of the service.
const (
	AcquireMethod  = ServiceName + ".Acquire"
	ReportMethod   = ServiceName + ".Report"
	handoverMethod = ServiceName + ".Tell"
)

// Status is the answer to a request for a place.
type Status int

// Answers to requests for a place.
const (
	// Granted says that the request may be sent now.
	Granted Status = iota
	// Offered says that the request would have to wait longer than its bounds allow.
	Offered
	// NotOwner says that the called VM does not give orders to the engine.
	NotOwner
	// Down says that the engine cannot be reached.
	Down
	// Waiting says that the adapter is on its way. The caller asks again at once if it wants to wait on.
	Waiting
)

// MaxWait bounds how long one call waits for an adapter, so that a caller soon learns that a VM does
// not answer.
const MaxWait = 100 * time.Millisecond

// String names the status.
func (s Status) String() string {
	return [...]string{"granted", "offered", "not_owner", "down", "waiting"}[s]
}

// AcquireArgs asks for a place for one request at an engine.
type AcquireArgs struct {
	// Caller and Incarnation name the process that asks, Permit its request.
	Caller      string
	Incarnation string
	Permit      uint64
	// Endpoint and Started name the engine's process.
	Endpoint string
	Started  int64
	Model    string
	Adapter  string
	// Urgency ranks the request; 0 is first.
	Urgency int
	// Tokens is the length of the prompt, Output the bound of the answer.
	Tokens, Output int
	Prompt         []dialect.PromptPart
	// Left is how long the adapter is waited for at most, Life how long the request lasts at most.
	Left, Life time.Duration
	// Bound is the longest expected time to the first token that the caller accepts, LoadBound the longest
	// expected wait for the adapter.
	Bound, LoadBound time.Duration
	// Prefetch asks for the adapter to be loaded if nothing else is to be, and for no place.
	Prefetch bool
	// Ended are permits of the caller that have ended, or begun to run, since its last call.
	Ended []Notice
}

// AcquireReply is the answer.
type AcquireReply struct {
	Status Status
	// Owner is the VM that answers.
	Owner string
	// Version is the version of the adapter to ask for; 0 for requests without one.
	Version int
	// Estimate is the expected time to the first token, without the wait for the adapter.
	Estimate time.Duration
	// Own is the part of Estimate that is the request's own work, without what is ahead of it.
	Own time.Duration
	// Waited is how long the request has waited for the adapter, Delay how long it would still have to.
	Waited time.Duration
	Delay  time.Duration
}

// Notice tells what has become of a permit.
type Notice struct {
	Permit uint64
	// Started says that the first token has arrived, First after how long.
	Started bool
	First   time.Duration
	// Ended says that the request has ended at the engine.
	Ended bool
	// Missing says that the engine did not hold the adapter.
	Missing bool
}

// ReportArgs passes notices on.
type ReportArgs struct {
	Caller      string
	Incarnation string
	Notices     []Notice
}

// HandoverArgs asks a VM that gave an engine its orders before what it knows of the engine.
type HandoverArgs struct {
	Endpoint string
	Started  int64
}

// HandoverReply is the answer.
type HandoverReply struct {
	// Known is false if the VM knows nothing of the engine.
	Known  bool
	Habits residency.Handover
}

// ReportReply is the answer.
type ReportReply struct{}

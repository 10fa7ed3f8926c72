// Package work defines the protocol between entries and owners. The entry is the VM that received
// a caller's request; the owner is the VM that runs requests on the endpoints of a group. The entry
// submits each attempt to run the request to the owner and polls it for the attempt's events. The
// messages are sent by net/rpc, or passed directly if the entry is itself the owner.
package work

import (
	"context"
	"net/http"
	"time"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/result"
)

// AttemptID identifies one attempt of one request. It is unique in the fleet.
type AttemptID struct {
	Request string
	Attempt int
}

// Request is one attempt to run a caller's request on an endpoint of a group.
type Request struct {
	ID      AttemptID
	Group   string
	Account string
	// Weight is the account's relative share of the capacity while requests queue.
	Weight float64
	Class  bundle.Class
	// Adapter is empty for requests to plain services, which are not model engines.
	Adapter endpoint.AdapterVersion
	// PrefixHash is the hash of the prompt's prefix, for prefix affinity; 0 means no affinity.
	PrefixHash uint64
	// Tokens is the cost used for fair queuing: the tokens of the prompt plus the upper bound of the
	// answer.
	Tokens     int64
	Idempotent bool
	// Fingerprint identifies equal requests of one client account across attempts and VMs.
	Fingerprint uint64
	// Isolated requires an endpoint on which no other suspect request runs.
	Isolated bool
	// Exclude lists the endpoints on which earlier attempts failed.
	Exclude []string
	// Remaining is the time left before the caller's deadline.
	Remaining time.Duration
	Call      endpoint.Request
	// Resume is set if the attempt continues the stream of an earlier attempt instead of running the
	// request again.
	Resume *Resume
}

// Resume identifies the stream to continue and the position in it.
type Resume struct {
	Endpoint string
	// EngineID is the identifier under which the engine runs the request.
	EngineID string
	// Next is the number of the first stream event that the caller has not received. Events are
	// numbered from 0, so Next equals the number of events that the caller has received.
	Next uint64
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of event. An attempt reports Started, Head, any number of Data events and then End. Failed may
// take the place of any of these and is the last event.
const (
	Started EventKind = iota + 1
	Head
	Data
	End
	Failed
)

// Event reports progress of an attempt. Within an attempt Seq counts from 1 without gaps.
type Event struct {
	Seq  uint64
	Kind EventKind
	// Endpoint and EngineID are set on Started.
	Endpoint string
	EngineID string
	// Status and Header are set on Head.
	Status int
	Header http.Header
	// Data is set on Data. For a stream it is the data of one server-sent event, otherwise a part of the
	// body. The end marker of a stream ([DONE]) is reported as End and not as Data.
	Data []byte
	// Failure is set on Failed.
	Failure *Failure
}

// Failure describes why an attempt ended without a complete answer.
type Failure struct {
	Code    result.Code
	Outcome result.Outcome
	// Crashed says that the endpoint crashed or restarted while it ran the request.
	Crashed bool
	// Crash identifies the crash by endpoint and incarnation, so that it is counted once even if several
	// requests were lost in it.
	Crash string
	// Endpoint is the endpoint to which the attempt was sent, even if it failed before it responded.
	// Endpoint is empty if the attempt was not sent.
	Endpoint string
	// RetryAfter is the delay after which the caller should send the request again; 0 if not known.
	RetryAfter time.Duration
	Detail     string
}

// NextWait is the longest time that Owner.Next waits for an event.
const NextWait = 500 * time.Millisecond

// RetainEnded is the minimum time for which an owner retains an attempt that has ended. After that the
// owner may report not-run for the attempt, and such a report must not be relied on.
const RetainEnded = 10 * time.Minute

// Owner runs attempts on the endpoints of the groups that it owns.
type Owner interface {
	// Submit queues the attempt. Submitting the same attempt again has no further effect.
	// If the owner refuses the attempt the error is a *result.Error; the outcome not-run means that the
	// attempt is not queued.
	Submit(ctx context.Context, req *Request) error
	// Next waits for events with sequence numbers from and above, and releases those below from. If no
	// event arrives within NextWait, Next returns no events and no error.
	Next(ctx context.Context, id AttemptID, from uint64) ([]Event, error)
	// Withdraw prevents the attempt from starting if it has not started yet, even if its Submit call has
	// not arrived, and returns the outcome: not-run, may-have-run or ran.
	Withdraw(ctx context.Context, id AttemptID) (result.Outcome, error)
	// Cancel stops the attempt at the endpoint. It must be used for idempotent requests only.
	Cancel(ctx context.Context, id AttemptID) error
}

// Directory finds the owner of an endpoint group.
type Directory interface {
	// OwnerOf returns the VM that owns the group, and an Owner that reaches it. While no VM owns the
	// group, OwnerOf fails with a *result.Error with the outcome not-run. vm identifies the VM and its
	// incarnation, and calls of the Owner fail once another incarnation responds at its address: a
	// restarted VM does not know what its predecessor ran and must not report not-run for it.
	OwnerOf(group string) (vm string, owner Owner, err error)
}

// Package engine defines the orders that model engines accept to load and evict adapters, and the reports
// that engines make of their state. An engine handles orders one at a time and counts those that it accepts.
package engine

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// ErrUnknown is returned if an order got no response: the engine may have accepted it, or may still carry it
// out seconds later if its condition holds by then.
var ErrUnknown = errors.New("engine: outcome of the call unknown")

// ErrBrokenOff is an ErrUnknown for which the engine is known to have received the call: the response broke off.
var ErrBrokenOff = errors.Wrap(ErrUnknown, "response broke off")

// ErrNotSent is returned if an order, or the request for a report, did not reach the engine.
var ErrNotSent = errors.New("engine: could not be reached")

// Reply is an engine's reply to an order.
type Reply int

// Replies to orders.
const (
	// Accepted means that the engine has counted the order and is carrying it out.
	Accepted Reply = iota
	// Holds means that the engine is already in the state that the order asks for.
	Holds
	// Conflict means that the engine's order count is not the expected one, or that the engine is carrying
	// out another order that excludes this one.
	Conflict
	// Fenced means that the order's fencing number is out of date.
	Fenced
	// Gone means that another process than the intended one responds at the address.
	Gone
	// Invalid means that the engine cannot carry out the order.
	Invalid
	// Busy means that the engine rejected the order for now and has done nothing.
	Busy
)

// String returns the name of the reply as it is logged.
func (r Reply) String() string {
	names := [...]string{"accepted", "holds", "conflict", "fenced", "gone", "invalid", "busy"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Order tells an engine to load or to evict an adapter.
type Order struct {
	// Holder and Fencing are the holder and the fencing number of the lease under which the order is sent.
	Holder  string
	Fencing uint64
	// Expected is the number of orders that the engine must have accepted so far for it to accept this one.
	Expected int64
	// Adapter is the adapter to load or evict. An adapter without a name stands for the base model. Version 0
	// stands for the newest version.
	Adapter roster.Adapter
	// Evict is set if the adapter is to be unloaded.
	Evict bool
	// BeforeSend, if set, is called immediately before the order is written to a connection. An error keeps it from being
	// sent, and the call fails with ErrNotSent.
	BeforeSend func() error
}

// Report is an engine's report of its state. It is some hundred milliseconds old when it is read.
type Report struct {
	roster.Incarnation
	// Accepted is the number of orders accepted so far.
	Accepted int64
	// Models lists the base models that the engine holds.
	Models []string
	// Loaded lists the adapters that the engine holds, and Pending those being loaded.
	Loaded, Pending []roster.Adapter
	// Queued and Running count the requests at the engine.
	Queued, Running int
}

// Engines sends orders to engines and reads their reports.
type Engines interface {
	// Order sends one order. It fails with ErrNotSent, ErrBrokenOff or ErrUnknown. When ctx ends, the system sends nothing more
	// of the order, not even what it would repeat because packets were lost.
	Order(ctx context.Context, target upstream.Target, order Order) (Reply, error)
	// Report reads an engine's report. It fails with ErrNotSent, ErrBrokenOff or ErrUnknown.
	Report(ctx context.Context, target upstream.Target) (Report, error)
}

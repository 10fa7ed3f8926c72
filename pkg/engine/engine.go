// Package engine declares the orders that model engines take, and the reports that they give of
// themselves. An engine takes orders one after the other and counts those that it accepts.
package engine

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// ErrUnknown says that an order got no answer: the engine may have accepted it, or may carry it out
// seconds later if its condition still holds.
var ErrUnknown = errors.New("engine: outcome of the order unknown")

// ErrNotSent says that an order, or the request for a report, has not reached the engine.
var ErrNotSent = errors.New("engine: not reached")

// Reply is an engine's reply to an order.
type Reply int

// Replies to orders.
const (
	// Accepted says that the engine carries the order out. It has counted it.
	Accepted Reply = iota
	// Holds says that what the order asks for is so already.
	Holds
	// Conflict says that the engine's count is not the one expected, or that it carries out another
	// order that excludes this one.
	Conflict
	// Fenced says that the order's fencing number is too old.
	Fenced
	// Gone says that another process answers at the address.
	Gone
	// Invalid says that the engine cannot carry the order out.
	Invalid
	// Busy says that the engine turned the order away; nothing was done.
	Busy
)

// String names the reply.
func (r Reply) String() string {
	names := [...]string{"accepted", "holds", "conflict", "fenced", "gone", "invalid", "busy"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Order asks an engine to load or to evict an adapter.
type Order struct {
	// Holder and Fencing are those of the lease that gives the right to the order.
	Holder  string
	Fencing uint64
	// Expected is the count of accepted orders that the engine must have for this one to be accepted.
	Expected int64
	// Adapter is the adapter; without a name, its base model is meant. Of version 0, the newest version
	// is loaded.
	Adapter roster.Adapter
	// Evict says that the adapter is to be unloaded.
	Evict bool
}

// Report is what an engine says of itself. It is some hundred milliseconds old.
type Report struct {
	roster.Incarnation
	// Accepted is the count of accepted orders.
	Accepted int64
	// Models are the base models held.
	Models []string
	// Loaded are the adapters held, Pending those on their way.
	Loaded, Pending []roster.Adapter
	// Queued and Running are the requests at the engine.
	Queued, Running int
}

// Engines gives orders to engines and reads their reports.
type Engines interface {
	// Order gives one order. It fails with ErrNotSent or ErrUnknown.
	Order(ctx context.Context, target upstream.Target, order Order) (Reply, error)
	// Report reads an engine's report. It fails with ErrNotSent or ErrUnknown.
	Report(ctx context.Context, target upstream.Target) (Report, error)
}

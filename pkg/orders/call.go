package orders

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// maxOpenCalls bounds the orders to one engine whose calls are open, which bounds their connections. An engine that responds has
// one at a time.
const maxOpenCalls = 8

// errLeaseEnded keeps an order from being sent because the lease has ended, or ends too soon.
var errLeaseEnded = errors.New("the lease does not last for the call")

// orderCall is the call that carries one order. It stays open after the worker has given the action up, because a late response
// shows that the engine has received the order.
type orderCall struct {
	worker *worker
	order  *sentOrder
	action residency.Action
	// written says that the order may have been written to a connection, leaseEnded that it was not because of the lease.
	written, leaseEnded atomic.Bool
	cancel              context.CancelFunc
	outcome             chan callOutcome
}

// callOutcome is the outcome of a call.
type callOutcome struct {
	reply engine.Reply
	err   error
}

// startOrder begins to send an order, if the lease lasts for the call. The call ends by itself, at the latest when the lease does.
func (w *worker) startOrder(a residency.Action) (*orderCall, bool) {
	s := w.service
	c := &orderCall{worker: w, action: a, order: s.unsettled.begin(w.lease, w.endpoint.ID), outcome: make(chan callOutcome, 1)}
	grant, deadline, held := s.cfg.Leases.Callable(w.lease)
	if !held {
		s.unsettled.settle(c.order, byNotSent)
		return nil, false
	}
	c.order.fencing = grant.Fencing
	ctx, cancel := context.WithDeadline(s.ctx, deadline)
	c.cancel = cancel
	w.openCalls.Add(1)
	go c.run(ctx, engine.Order{
		Holder:   s.cfg.Self,
		Fencing:  grant.Fencing,
		Expected: a.Expected,
		Adapter:  a.Adapter,
		Evict:    a.Kind == residency.Evict || a.Kind == residency.ConfirmEvict,
		BeforeSend: func() error {
			current, _, held := s.cfg.Leases.Callable(w.lease)
			if !held || current.Fencing != grant.Fencing {
				c.leaseEnded.Store(true)
				return errLeaseEnded
			}
			c.written.Store(true)
			return nil
		},
	})
	return c, true
}

// run makes the call, and settles the order.
func (c *orderCall) run(ctx context.Context, order engine.Order) {
	defer c.cancel()
	w := c.worker
	target := upstream.Target{ID: w.endpoint.ID, Started: w.endpoint.Started, Address: w.endpoint.Address}
	reply, err := w.service.cfg.Engines.Order(ctx, target, order)
	w.openCalls.Add(-1)
	c.outcome <- callOutcome{reply, err}
	switch {
	case err == nil, errors.Is(err, engine.ErrBrokenOff):
		c.settle(byResponse)
	case errors.Is(err, engine.ErrNotSent):
		c.settle(byNotSent)
	default:
		time.AfterFunc(time.Until(w.service.unsettled.until(c.order)), func() { c.settle(byTime) })
	}
}

// lateSettlement is the time from which on the settlement of an order is logged.
const lateSettlement = maxTimeout

// settle removes the order from those that may still arrive, and logs what has shown that if it has taken long.
func (c *orderCall) settle(by settlement) {
	s, o := c.worker.service, c.order
	s.unsettled.settle(o, by)
	took := time.Since(o.begunAt)
	if took < lateSettlement {
		return
	}
	s.cfg.Log.WithFields(logrus.Fields{
		"event": "order_settled", "endpoint": o.endpoint, "lease": o.lease, "fencing": o.fencing, "kind": c.action.Kind.String(),
		"adapter": c.action.Adapter.Name, "by": string(by), "took": took.Round(time.Millisecond),
	}).Info("an order that got no reply in time cannot arrive any more, or has arrived")
}

// await returns the outcome of the call, or gives the action up after the timeout. A call whose order has not been written by
// then is cancelled.
func (c *orderCall) await(ctx context.Context, timeout time.Duration) callOutcome {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case outcome := <-c.outcome:
		return outcome
	case <-timer.C:
	case <-ctx.Done():
	}
	if !c.written.Load() {
		c.cancel()
		return <-c.outcome
	}
	return callOutcome{err: errors.Wrapf(engine.ErrUnknown, "no response within %s", timeout.Round(time.Millisecond))}
}

package dispatch

import (
	"context"
	"time"

	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// homes is the number of endpoints at which a request may find its adapter before it goes to the
	// one with the least work.
	homes = 3
	// easyShare is the part of a request's objective that the work at its home may take up before the
	// next home is looked at.
	easyShare = 0.25
	// defaultObjective stands for routes that name none.
	defaultObjective = time.Second
)

// placeAtEngine asks the owners of the request's homes in turn, and goes to the one with the least work
// if none has little.
func (d *Dispatcher) placeAtEngine(ctx context.Context, w gateway.Work, candidates []roster.Endpoint) (gateway.Place, error) {
	ranked := rankHomes(homeKey(w), candidates)
	objective := w.Route.Objective
	if objective == 0 {
		objective = defaultObjective
	}
	bound := time.Duration(easyShare * float64(objective))
	best, least := roster.Endpoint{}, time.Duration(-1)
	for _, e := range ranked[:min(homes, len(ranked))] {
		place, reply, ok := d.ask(ctx, w, e, bound)
		if ok {
			return place, nil
		}
		if reply.Status == orders.Busy && (least < 0 || reply.Estimate < least) {
			best, least = e, reply.Estimate
		}
	}
	if least >= 0 {
		if place, _, ok := d.ask(ctx, w, best, 0); ok {
			return place, nil
		}
	}
	if place, ok := d.unowned(w, candidates); ok {
		return place, nil
	}
	return gateway.Place{}, result.New(result.QueueFull, "no engine can take the request in time")
}

// ask asks the owner of an engine for a place until it is granted, refused, or the time is over.
func (d *Dispatcher) ask(ctx context.Context, w gateway.Work, e roster.Endpoint, bound time.Duration) (gateway.Place, orders.AcquireReply, bool) {
	address, known := d.owners.address(e.ID)
	if !known || !d.owners.trusted(address, time.Now()) {
		return gateway.Place{}, orders.AcquireReply{Status: orders.NotOwner}, false
	}
	permit := d.owners.permits.Add(1)
	args := &orders.AcquireArgs{
		Permit: permit, Endpoint: e.ID, Started: e.Started,
		Model: w.Terms.Model, Adapter: w.Terms.Adapter, Urgency: w.Urgency,
		Tokens: w.Terms.PromptTokens, Output: w.Terms.OutputTokens, Prompt: w.Terms.Prompt, Bound: bound,
	}
	for {
		args.Left = time.Until(w.Deadline)
		if args.Left <= 0 || ctx.Err() != nil {
			return gateway.Place{}, orders.AcquireReply{Status: orders.Late}, false
		}
		reply, ok := d.owners.acquire(ctx, address, args)
		if !ok {
			return gateway.Place{}, orders.AcquireReply{Status: orders.NotOwner}, false
		}
		switch reply.Status {
		case orders.Granted:
			return d.place(e, reply.Version, func(n orders.Notice) {
				n.Permit = permit
				d.owners.notify(address, n)
			}), reply, true
		case orders.Waiting:
			args.Bound = 0
		default:
			return gateway.Place{}, reply, false
		}
	}
}

// unowned returns a place without a permit at an engine that held the adapter when it last reported.
// Nobody evicts adapters there while its owner cannot be reached.
func (d *Dispatcher) unowned(w gateway.Work, candidates []roster.Endpoint) (gateway.Place, bool) {
	newest := d.cfg.Newest(residency.Key{Model: w.Terms.Model, Name: w.Terms.Adapter})
	for _, e := range rankHomes(homeKey(w), candidates) {
		if w.Terms.Adapter == "" {
			return d.place(e, 0, func(orders.Notice) {}), true
		}
		for _, a := range e.Loaded {
			if a.Model == w.Terms.Model && a.Name == w.Terms.Adapter && a.Version >= newest {
				return d.place(e, a.Version, func(orders.Notice) {}), true
			}
		}
	}
	return gateway.Place{}, false
}

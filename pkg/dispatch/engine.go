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
	// promptShare is the part of the objective for which a request waits for its adapter at one home
	// before it tries the next.
	promptShare = 0.75
	// lateShare is the multiple of the objective after which an answer is of so little use that the
	// request is refused instead.
	lateShare = 2.5
	// defaultObjective stands for routes that name none.
	defaultObjective = time.Second
)

// search is the way of one request over its homes.
type search struct {
	d         *Dispatcher
	w         gateway.Work
	objective time.Duration
	// giveUp is when the request is refused rather than waiting on.
	giveUp time.Time
	// least is the home with the least work among those that have too much, soonest the one where the
	// adapter can be used first among those where that takes too long.
	least, soonest *offer
}

// offer is what the owner of a home has answered.
type offer struct {
	endpoint roster.Endpoint
	reply    orders.AcquireReply
}

// placeAtEngine asks the owners of the request's homes in turn. If none is easy, it goes to the one with
// the least work, or to the one where its adapter can be used first.
func (d *Dispatcher) placeAtEngine(ctx context.Context, w gateway.Work, candidates []roster.Endpoint) (gateway.Place, error) {
	s := &search{d: d, w: w, objective: w.Route.Objective}
	if s.objective == 0 {
		s.objective = defaultObjective
	}
	s.giveUp = w.Arrived.Add(time.Duration(lateShare * float64(s.objective)))
	if w.Deadline.Before(s.giveUp) {
		s.giveUp = w.Deadline
	}
	ranked := rankHomes(homeKey(w), candidates)
	for _, e := range ranked[:min(homes, len(ranked))] {
		if place, ok := s.try(ctx, e); ok {
			return place, nil
		}
	}
	if place, ok := s.settle(ctx); ok {
		return place, nil
	}
	if place, ok := d.unowned(w, candidates); ok {
		return place, nil
	}
	return gateway.Place{}, s.refusal()
}

// try asks for a place at a home that is easy to get.
func (s *search) try(ctx context.Context, e roster.Endpoint) (gateway.Place, bool) {
	patience := min(time.Duration(promptShare*float64(s.objective)), time.Until(s.giveUp))
	place, reply, ok := s.d.ask(ctx, s.w, e, time.Duration(easyShare*float64(s.objective)), patience)
	if ok {
		return place, true
	}
	switch reply.Status {
	case orders.Busy:
		if s.least == nil || reply.Estimate < s.least.reply.Estimate {
			s.least = &offer{e, reply}
		}
	case orders.Late:
		if s.soonest == nil || reply.Delay < s.soonest.reply.Delay {
			s.soonest = &offer{e, reply}
		}
	}
	return gateway.Place{}, false
}

// settle takes the best of what the homes have offered.
func (s *search) settle(ctx context.Context) (gateway.Place, bool) {
	left := time.Until(s.giveUp)
	if s.least != nil && s.least.reply.Estimate < left {
		if place, _, ok := s.d.ask(ctx, s.w, s.least.endpoint, 0, left); ok {
			return place, true
		}
	}
	if s.soonest != nil && s.soonest.reply.Delay < left {
		if place, _, ok := s.d.ask(ctx, s.w, s.soonest.endpoint, 0, left); ok {
			return place, true
		}
	}
	return gateway.Place{}, false
}

// refusal says when the caller should come back.
func (s *search) refusal() error {
	e := result.New(result.QueueFull, "no engine can take the request in time")
	switch {
	case s.soonest != nil:
		e.RetryAfter = s.soonest.reply.Delay
	case s.least != nil:
		e.RetryAfter = s.least.reply.Estimate
	}
	return e
}

// ask asks the owner of an engine for a place until it is granted or refused, or patience has passed.
func (d *Dispatcher) ask(ctx context.Context, w gateway.Work, e roster.Endpoint, bound, patience time.Duration) (gateway.Place, orders.AcquireReply, bool) {
	address, known := d.owners.address(e.ID)
	if !known || !d.owners.trusted(address, time.Now()) {
		return gateway.Place{}, orders.AcquireReply{Status: orders.NotOwner}, false
	}
	until := time.Now().Add(patience)
	permit := d.owners.permits.Add(1)
	args := &orders.AcquireArgs{
		Permit: permit, Endpoint: e.ID, Started: e.Started,
		Model: w.Terms.Model, Adapter: w.Terms.Adapter, Urgency: w.Urgency,
		Tokens: w.Terms.PromptTokens, Output: w.Terms.OutputTokens, Prompt: w.Terms.Prompt, Bound: bound,
	}
	reply := orders.AcquireReply{Status: orders.Late}
	for {
		args.Left, args.Life = time.Until(until), time.Until(w.Deadline)
		if args.Left <= 0 || ctx.Err() != nil || !d.open(e) {
			return gateway.Place{}, reply, false
		}
		var ok bool
		if reply, ok = d.owners.acquire(ctx, address, args); !ok {
			return gateway.Place{}, orders.AcquireReply{Status: orders.NotOwner}, false
		}
		switch reply.Status {
		case orders.Granted:
			notify := func(n orders.Notice) {
				n.Permit = permit
				d.owners.notify(address, n)
			}
			d.memory.note(residency.Key{Model: w.Terms.Model, Name: w.Terms.Adapter}, e.Incarnation, reply.Version, time.Now())
			if !d.open(e) {
				notify(orders.Notice{Ended: true})
				return gateway.Place{}, reply, false
			}
			return d.place(e, reply.Version, notify), reply, true
		case orders.Waiting:
			args.Bound = 0
			reply.Status = orders.Late
		default:
			return gateway.Place{}, reply, false
		}
	}
}

// open reports whether the endpoint still takes new requests.
func (d *Dispatcher) open(e roster.Endpoint) bool {
	now, ok := d.cfg.Roster.View().Endpoint(e.ID)
	return ok && now.Incarnation == e.Incarnation && !now.Draining
}

// unowned returns a place without a permit at an engine where requests have found the adapter lately.
// Nobody evicts adapters there while its owner cannot be reached.
func (d *Dispatcher) unowned(w gateway.Work, candidates []roster.Endpoint) (gateway.Place, bool) {
	key := residency.Key{Model: w.Terms.Model, Name: w.Terms.Adapter}
	now := time.Now()
	for _, e := range rankHomes(homeKey(w), candidates) {
		if address, known := d.owners.address(e.ID); known && d.owners.trusted(address, now) {
			continue
		}
		version, found := d.memory.version(key, e.Incarnation, now)
		if w.Terms.Adapter == "" || found && version >= d.cfg.Newest(key) {
			return d.place(e, version, func(n orders.Notice) {
				if n.Missing {
					d.memory.forget(key, e.Incarnation)
				}
			}), true
		}
	}
	return gateway.Place{}, false
}

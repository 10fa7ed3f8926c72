package dispatch

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// homes is the number of endpoints at which a request may find its adapter, if they suffice.
	homes = 3
	// easyShare is the part of a request's objective that the work at a home may take up for the request to
	// go there without a look at the next one.
	easyShare = 0.25
	// loadShare is the part of the objective for which a request waits for its adapter at a home without a
	// look at the next one.
	loadShare = 0.55
	// lateShare is the multiple of the objective beyond which a request is refused: one that is answered
	// late keeps others from being answered in time. Less urgent requests, and those of accounts beyond
	// their limit, are refused before others.
	lateShare       = 1.2
	lessUrgentShare = 0.95
	excessShare     = 0.6
	// spill is added to the wait at a home that would have to load the adapter: the load takes a place and
	// a share of the weight store from others.
	spill = 100 * time.Millisecond
	// patienceShare is the multiple of the objective after which a wait that takes longer than expected
	// ends.
	patienceShare = 2.0
	// defaultObjective stands for routes that name none.
	defaultObjective = time.Second
	// reportHomes is the number of a request's homes whose reports are read when no owner can be reached: one
	// of them holds the adapter if any engine does, unless it is in heavy use.
	reportHomes = 5
	// ownerPause is the time between two searches for an owner, and ownerShare the part of the objective for
	// which a request waits for one. A lease that has lapsed is taken over within about two seconds, of which
	// part has passed on the average.
	ownerPause = 100 * time.Millisecond
	ownerShare = 0.5
	// ownerRetry is when a caller should come back if no owner has been found: a lease's takeover later.
	ownerRetry = time.Second
	// soonest is the least time after which a refused caller should come back.
	soonest = 100 * time.Millisecond
)

// search is the way of one request over its homes.
type search struct {
	d         *Dispatcher
	w         gateway.Work
	objective time.Duration
	// giveUp is when the request is refused rather than waiting on.
	giveUp time.Time
	// offers are the homes where the request would have to wait.
	offers []offer
	// answers are what the owners have answered, for the refusal.
	answers []string
}

// offer is a home where a request would have to wait.
type offer struct {
	endpoint roster.Endpoint
	estimate time.Duration
	// queue is the part of the estimate that is not the request's own work.
	queue time.Duration
	delay time.Duration
}

// wait is how long a request would have to wait at the home, with a preference for homes that hold its
// adapter.
func (o offer) wait() time.Duration {
	if o.delay > 0 {
		return o.estimate + o.delay + spill
	}
	return o.estimate
}

// placeAtEngine asks the owners of the request's homes in turn. If none is easy, it goes to the one with
// the shortest wait.
func (d *Dispatcher) placeAtEngine(ctx context.Context, w gateway.Work, candidates []roster.Endpoint) (gateway.Place, error) {
	s := &search{d: d, w: w, objective: w.Route.Objective}
	if s.objective == 0 {
		s.objective = defaultObjective
	}
	s.giveUp = w.Arrived.Add(s.share(patienceShare))
	if w.Deadline.Before(s.giveUp) {
		s.giveUp = w.Deadline
	}
	key := homeKey(w)
	ranked := rankHomes(key, candidates)
	width := d.spreads.width(key, time.Now())
	for {
		if place, ok := s.askOwners(ctx, key, ranked, width); ok {
			return place, nil
		}
		if len(s.offers) > 0 {
			return gateway.Place{}, s.refusal()
		}
		// No owner can be reached.
		if place, ok := s.placeByReport(ctx, ranked); ok {
			return place, nil
		}
		if !s.awaitOwner(ctx) {
			return gateway.Place{}, s.ownerless()
		}
		s.answers = nil
	}
}

// askOwners asks the owners of the request's homes for a place.
func (s *search) askOwners(ctx context.Context, key string, ranked []roster.Endpoint, width int) (gateway.Place, bool) {
	for _, e := range chooseHomes(s.w, ranked, width) {
		if place, ok := s.try(ctx, e); ok {
			return place, true
		}
	}
	if s.crowded() && width < len(ranked) {
		s.d.spreads.grow(key, time.Now())
		if place, ok := s.try(ctx, ranked[width]); ok {
			return place, true
		}
	}
	return s.settle(ctx)
}

// share returns a part of the objective.
func (s *search) share(part float64) time.Duration {
	return time.Duration(part * float64(s.objective))
}

// limit is the longest wait that the request is worth.
func (s *search) limit() time.Duration {
	switch {
	case s.w.Excess:
		return s.share(excessShare)
	case s.w.Urgency > 0:
		return s.share(lessUrgentShare)
	}
	return s.share(lateShare)
}

// try asks for a place at a home that is easy to get.
func (s *search) try(ctx context.Context, e roster.Endpoint) (gateway.Place, bool) {
	place, reply, ok := s.d.ask(ctx, s.w, e, bounds{s.share(easyShare), s.share(loadShare)}, s.giveUp)
	if ok {
		s.logGranted(e, reply)
		return place, true
	}
	s.answers = append(s.answers, describe(e, reply))
	switch reply.Status {
	case orders.Offered, orders.Waiting:
		s.offers = append(s.offers, offer{e, reply.Estimate, reply.Estimate - reply.Own, reply.Delay})
	case orders.NotOwner:
		return s.placeWhereFound(e)
	}
	return gateway.Place{}, false
}

// crowded reports whether all homes hold the adapter and have too much to do: more of them would help.
func (s *search) crowded() bool {
	return len(s.offers) >= homes && !slices.ContainsFunc(s.offers, func(o offer) bool {
		return o.delay > 0 || o.queue <= s.share(easyShare)
	})
}

// describe returns an owner's answer for the log: endpoint, status, and the times that speak against it.
func describe(e roster.Endpoint, reply orders.AcquireReply) string {
	text := e.ID + ":" + reply.Status.String()
	if reply.Estimate > 0 || reply.Delay > 0 {
		text += ":" + reply.Estimate.Round(time.Millisecond).String() + "+" + reply.Delay.Round(time.Millisecond).String()
	}
	return text
}

// settle takes the home with the shortest wait, if the request is worth it.
func (s *search) settle(ctx context.Context) (gateway.Place, bool) {
	if len(s.offers) == 0 {
		return gateway.Place{}, false
	}
	best := slices.MinFunc(s.offers, func(a, b offer) int { return cmp.Compare(a.wait(), b.wait()) })
	if best.estimate+best.delay > s.limit()-time.Since(s.w.Arrived) && !s.lateByItself(best) {
		return gateway.Place{}, false
	}
	s.prefetch(ctx, best)
	// What the home has offered may have changed a little meanwhile.
	limits := bounds{best.estimate + s.share(easyShare), best.delay + s.share(easyShare)}
	place, reply, ok := s.d.ask(ctx, s.w, best.endpoint, limits, s.giveUp)
	if !ok {
		s.answers = append(s.answers, describe(best.endpoint, reply))
		return gateway.Place{}, false
	}
	s.logGranted(best.endpoint, reply)
	return place, true
}

// lateByItself reports whether hardly anything is ahead of the request at the home. It is late because of its own
// work then, and a late answer is better than none.
func (s *search) lateByItself(o offer) bool {
	return o.queue <= s.share(easyShare) && o.delay <= s.share(loadShare) && o.estimate+o.delay < time.Until(s.giveUp)
}

// logGranted writes the line of a request that an owner has let through.
func (s *search) logGranted(e roster.Endpoint, reply orders.AcquireReply) {
	s.d.logPlaced(s.w, e, logrus.Fields{
		"by": "owner", "owner": reply.Owner, "version": reply.Version, "answers": strings.Join(s.answers, ","),
		"estimate": reply.Estimate.Round(time.Millisecond), "waited": reply.Waited.Round(time.Millisecond),
	})
}

// prefetch makes the home with the least work load the adapter if the one that the request goes to is
// busy, so that the next requests find it there.
func (s *search) prefetch(ctx context.Context, best offer) {
	if s.w.Terms.Adapter == "" || best.delay > 0 {
		return
	}
	for _, o := range s.offers {
		if o.delay > 0 && o.estimate < best.estimate/2 {
			go s.d.prefetch(context.WithoutCancel(ctx), s.w, o.endpoint)
			return
		}
	}
}

// refusal says when the caller should come back.
func (s *search) refusal() error {
	e := result.New(result.QueueFull, "no engine can take the request in time: "+strings.Join(s.answers, " "))
	best := slices.MinFunc(s.offers, func(a, b offer) int { return cmp.Compare(a.wait(), b.wait()) })
	e.RetryAfter = max(best.wait()-s.limit()/2, soonest)
	return e
}

// bounds are the longest waits that a caller accepts: for the first token, and for the adapter.
type bounds struct{ first, load time.Duration }

// ask asks the owner of an engine for a place until it is granted or refused, or giveUp has come.
func (d *Dispatcher) ask(ctx context.Context, w gateway.Work, e roster.Endpoint, limits bounds, giveUp time.Time) (gateway.Place, orders.AcquireReply, bool) {
	address, known := d.owners.address(e.ID)
	if !known || !d.owners.trusted(address, time.Now()) {
		return gateway.Place{}, orders.AcquireReply{Status: orders.NotOwner}, false
	}
	permit := d.owners.permits.Add(1)
	args := d.args(w, e)
	args.Permit, args.Bound, args.LoadBound = permit, limits.first, limits.load
	reply := orders.AcquireReply{Status: orders.Waiting}
	for {
		args.Left, args.Life = time.Until(giveUp), time.Until(w.Deadline)
		if args.Left <= 0 || ctx.Err() != nil || !d.open(e) {
			return gateway.Place{}, reply, false
		}
		var ok bool
		if reply, ok = d.owners.acquire(ctx, address, args); !ok {
			return gateway.Place{}, orders.AcquireReply{Status: orders.NotOwner}, false
		}
		switch reply.Status {
		case orders.Granted:
			return d.granted(w, e, reply, func(n orders.Notice) {
				n.Permit = permit
				d.owners.notify(address, n)
			})
		case orders.Waiting:
			// The request has its place in the queue for the adapter: only the time ends the wait.
			args.Bound, args.LoadBound = unbounded, unbounded
		default:
			return gateway.Place{}, reply, false
		}
	}
}

// unbounded stands for any wait.
const unbounded = time.Hour

// args returns what an owner is told of a request.
func (d *Dispatcher) args(w gateway.Work, e roster.Endpoint) *orders.AcquireArgs {
	return &orders.AcquireArgs{
		Endpoint: e.ID, Started: e.Started, Model: w.Terms.Model, Adapter: w.Terms.Adapter, Urgency: w.Urgency,
		Tokens: w.Terms.PromptTokens, Output: w.Terms.OutputTokens, Prompt: w.Terms.Prompt,
	}
}

// granted returns the place that an owner has granted, unless the endpoint has begun to leave meanwhile.
func (d *Dispatcher) granted(w gateway.Work, e roster.Endpoint, reply orders.AcquireReply, notify func(orders.Notice)) (gateway.Place, orders.AcquireReply, bool) {
	if !d.open(e) {
		notify(orders.Notice{Ended: true})
		return gateway.Place{}, reply, false
	}
	key := residency.Key{Model: w.Terms.Model, Name: w.Terms.Adapter}
	d.memory.note(key, e.Incarnation, reply.Version, time.Now())
	return d.place(e, reply.Version, reply.Estimate, notify), reply, true
}

// prefetch asks the owner of an engine to load a request's adapter for later requests.
func (d *Dispatcher) prefetch(ctx context.Context, w gateway.Work, e roster.Endpoint) {
	address, known := d.owners.address(e.ID)
	if !known || !d.owners.trusted(address, time.Now()) {
		return
	}
	args := d.args(w, e)
	args.Prefetch = true
	d.owners.acquire(ctx, address, args)
}

// open reports whether the endpoint still takes new requests.
func (d *Dispatcher) open(e roster.Endpoint) bool {
	now, ok := d.cfg.Roster.View().Endpoint(e.ID)
	return ok && now.Incarnation == e.Incarnation && !now.Draining && d.conditions.pausedUntil([]roster.Endpoint{now}, time.Now()).IsZero()
}

// placeWhereFound returns a place without a permit at an engine whose owner cannot be reached, if requests
// have found the adapter there lately. Nobody evicts adapters there meanwhile.
func (s *search) placeWhereFound(e roster.Endpoint) (gateway.Place, bool) {
	key := s.key()
	found, ok := s.d.memory.version(key, e.Incarnation, time.Now())
	if key.Name != "" && (!ok || found < s.d.cfg.Newest(key)) {
		return gateway.Place{}, false
	}
	s.d.logPlaced(s.w, e, logrus.Fields{"by": "found_there", "version": found, "answers": strings.Join(s.answers, ",")})
	return s.d.placeUnowned(e, key, found), true
}

// placeByReport returns a place without a permit at the least busy of the request's homes that report to hold
// its adapter. An engine of which that is not known would turn the request away.
func (s *search) placeByReport(ctx context.Context, ranked []roster.Endpoint) (gateway.Place, bool) {
	key := s.key()
	engines := ranked[:min(reportHomes, len(ranked))]
	holders := s.d.reports.holders(ctx, engines, key, s.d.cfg.Newest(key))
	if len(holders) == 0 {
		return gateway.Place{}, false
	}
	best := slices.MinFunc(holders, func(a, b holder) int { return cmp.Compare(a.busy, b.busy) })
	s.d.memory.note(key, best.endpoint.Incarnation, best.version, time.Now())
	s.d.logPlaced(s.w, best.endpoint, logrus.Fields{
		"by": "report", "version": best.version, "holders": len(holders), "busy": best.busy, "answers": strings.Join(s.answers, ","),
	})
	return s.d.placeUnowned(best.endpoint, key, best.version), true
}

// awaitOwner pauses until the owners may be asked again. It reports false if the request has waited for them
// for long enough.
func (s *search) awaitOwner(ctx context.Context) bool {
	if time.Since(s.w.Arrived)+ownerPause > s.share(ownerShare) || time.Until(s.giveUp) <= ownerPause {
		return false
	}
	return clock.Sleep(ctx, ownerPause)
}

// ownerless is the refusal of a request whose adapter no engine in reach holds, and that nobody can load.
func (s *search) ownerless() error {
	e := result.New(result.NoOwner, "no VM gives orders to the engines that could load the adapter: "+strings.Join(s.answers, " "))
	e.RetryAfter = ownerRetry
	return e
}

func (s *search) key() residency.Key {
	return residency.Key{Model: s.w.Terms.Model, Name: s.w.Terms.Adapter}
}

// placeUnowned returns a place without a permit.
func (d *Dispatcher) placeUnowned(e roster.Endpoint, key residency.Key, version int) gateway.Place {
	return d.place(e, version, 0, func(n orders.Notice) {
		if n.Missing {
			d.memory.forget(key, e.Incarnation)
		}
	})
}

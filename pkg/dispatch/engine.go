package dispatch

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/placement"
	"github.com/mallowlink/mallowlink/pkg/ratelimit"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// reportHomeCount is the number of a request's homes whose reports are read when no owner can be reached.
	// If any engine holds the adapter, one of these does, unless the adapter is in heavy use.
	reportHomeCount = 5
	// ownerRetryInterval is the time between two searches for an owner, and ownerWaitShare the part of the
	// objective that a request waits for one. A lapsed lease is taken over within about two seconds, part of
	// which has already passed on average when the request arrives.
	ownerRetryInterval = 100 * time.Millisecond
	ownerWaitShare     = 0.5
	// noOwnerRetryAfter is the Retry-After of a request that found no owner. By then the lease should have been
	// taken over.
	noOwnerRetryAfter = time.Second
)

// search carries out the search of one request for an engine. It is not safe for concurrent use.
type search struct {
	d    *Dispatcher
	req  gateway.Request
	plan placement.Request
	// homes are the homes of the request's key.
	homes []roster.Endpoint
	// replies describe the replies of the owners, for the log and the error of a refused request.
	replies []string
	// overLimit says that an engine that the request was to go to has no room within its stated limit.
	overLimit bool
}

// placeOnEngine asks the owners of the request's homes one after the other. If none grants a permit at
// once, the request goes to the home with the shortest wait. leaving are engines in evacuated failure domains that may still get
// requests whose adapters no other engine holds.
func (d *Dispatcher) placeOnEngine(ctx context.Context, req gateway.Request, candidates, leaving []roster.Endpoint) (gateway.Placement, error) {
	s := &search{d: d, req: req, plan: placement.NewRequest(req.Route.Objective, req.Arrived, req.Deadline, req.Urgency, req.OverLimit)}
	if d.cfg.Placement == placement.Cost {
		s.plan.Caller = callerOf(req)
		s.plan.Returned = d.costs.Returns.Returned(s.plan.Caller, time.Now())
	}
	key := placement.HomeKey(req.Terms)
	ranked := placement.RankHomes(key, candidates)
	homeCount := d.hotKeys.HomeCount(key, time.Now())
	s.homes = ranked[:min(homeCount, len(ranked))]
	if len(leaving) > 0 && req.Terms.Adapter != "" {
		homes := placement.ChooseHomes(placement.SessionKey(req.ID, req.Terms), ranked, homeCount)
		if chosen, ok := s.placeWhileMoving(ctx, homes, placement.RankHomes(key, leaving)); ok {
			return chosen, nil
		}
		s.overLimit, s.replies = false, nil
	}
	for {
		chosen, last, ok := s.askOwners(ctx, key, ranked, homeCount)
		switch {
		case ok:
			return chosen, nil
		case s.overLimit:
			return gateway.Placement{}, errOverLimit
		case s.evacuatedMeanwhile(ranked):
			return gateway.Placement{}, errEvacuated
		case last.Action == placement.Refuse, last.Action == placement.Wait:
			d.countRefused(req)
			return gateway.Placement{}, s.queueFullError(last)
		}
		// No owner can be reached.
		if chosen, ok := s.placeByReport(ctx, ranked); ok {
			return chosen, nil
		}
		if s.overLimit {
			return gateway.Placement{}, errOverLimit
		}
		if !s.awaitOwner(ctx) {
			return gateway.Placement{}, s.noOwnerError()
		}
		s.replies = nil
	}
}

// countRefused counts a request that is refused because no engine can take it in time.
func (d *Dispatcher) countRefused(req gateway.Request) {
	d.refused[min(max(req.Urgency, 0), len(d.refused)-1)].Inc(1)
}

// callerOf identifies a request over its attempts, which have different IDs: the account, the route and the part of the
// prompt that belongs to the request or its session alone.
func callerOf(req gateway.Request) uint64 {
	return xxhash.Sum64String(req.Account + "/" + req.Route.Name + "/" + placement.SessionKey(req.ID, req.Terms))
}

// askOwners follows the steps of a search until an owner grants a permit, or the search ends without one. It returns
// the last step.
func (s *search) askOwners(ctx context.Context, key string, ranked []roster.Endpoint, homeCount int) (gateway.Placement, placement.Step, bool) {
	plan := s.d.newPlan(s.req, s.plan, ranked, homeCount)
	chosen, last, ok := s.followPlan(ctx, plan, key)
	plan.End(ok, time.Now())
	return chosen, last, ok
}

// newPlan returns the search for an engine by the logic that is switched on.
func (d *Dispatcher) newPlan(req gateway.Request, r placement.Request, ranked []roster.Endpoint, homeCount int) placement.Plan {
	session := placement.SessionKey(req.ID, req.Terms)
	if d.cfg.Placement == placement.Cost {
		return placement.NewCostSearch(d.costs, r, req.Group.Name, session, ranked, homeCount)
	}
	return placement.NewSearch(r, session, ranked, homeCount)
}

// followPlan follows the steps of a search. It returns the last step.
func (s *search) followPlan(ctx context.Context, plan placement.Plan, key string) (gateway.Placement, placement.Step, bool) {
	for {
		step := plan.Next(time.Now())
		if step.AddHome {
			s.d.hotKeys.AddHome(key, time.Now())
		}
		if step.Prefetch != nil && s.req.Terms.Adapter != "" {
			go s.d.prefetch(context.WithoutCancel(ctx), s.req, *step.Prefetch)
		}
		if step.Action == placement.Wait && clock.Sleep(ctx, step.For) {
			continue
		}
		if step.Action != placement.Ask && step.Action != placement.Send {
			return gateway.Placement{}, step, false
		}
		if chosen, ok := s.follow(ctx, plan, step); ok || s.overLimit {
			return chosen, step, ok
		}
	}
}

// follow asks for a permit at the engine of a step, and records the offer if the request would have to wait.
func (s *search) follow(ctx context.Context, plan placement.Plan, step placement.Step) (gateway.Placement, bool) {
	chosen, reply, ok := s.acquire(ctx, step)
	if ok || s.overLimit {
		return chosen, ok
	}
	s.replies = append(s.replies, describeReply(step.Endpoint, reply))
	plan.Named(sparesOf(reply), time.Now())
	switch reply.Status {
	case orders.Offered, orders.Waiting:
		plan.Offered(step.Endpoint, placement.Forecast{First: reply.Estimate, Own: reply.Own, Full: reply.Full, Run: reply.Run, Displaced: reply.Displaced}, reply.Delay)
	case orders.NotOwner:
		if step.Action == placement.Ask {
			return s.placeAtKnownLocation(step.Endpoint)
		}
	}
	return gateway.Placement{}, false
}

// sparesOf returns the engines that an owner has named as its least loaded ones.
func sparesOf(reply orders.AcquireReply) []placement.Spare {
	if len(reply.Spares) == 0 {
		return nil
	}
	spares := make([]placement.Spare, len(reply.Spares))
	for i, e := range reply.Spares {
		spares[i] = placement.Spare{Incarnation: roster.Incarnation{ID: e.Endpoint, Started: e.Started}, Queue: e.Queue, Load: e.Load}
	}
	return spares
}

// describeReply formats an owner's reply for the log: the endpoint, the status, and the expected times if there
// are any.
func describeReply(e roster.Endpoint, reply orders.AcquireReply) string {
	text := e.ID + ":" + reply.Status.String()
	if reply.Estimate > 0 || reply.Delay > 0 {
		text += ":" + reply.Estimate.Round(time.Millisecond).String() + "+" + reply.Delay.Round(time.Millisecond).String()
	}
	return text
}

// logGranted logs that an owner has granted the request a permit.
func (s *search) logGranted(e roster.Endpoint, reply orders.AcquireReply, limit ratelimit.Decision) {
	s.d.logPlaced(s.req, e, limit, logrus.Fields{
		"by": "owner", "owner": reply.Owner, "version": reply.Version, "answers": strings.Join(s.replies, ","),
		"estimate": reply.Estimate.Round(time.Millisecond), "waited": reply.Waited.Round(time.Millisecond),
	})
}

// queueFullError returns the error for a request whose wait would be too long at every engine, with the time to
// retry after.
func (s *search) queueFullError(last placement.Step) error {
	e := result.New(result.QueueFull, "no engine can take the request in time: "+strings.Join(s.replies, " "))
	e.RetryAfter = last.RetryAfter
	return e
}

// acquire asks the owner of an engine for a permit until it is granted or refused, or the step's
// WaitUntil has passed. It sets s.overLimit if the engine has no room within the limit that it states.
func (s *search) acquire(ctx context.Context, step placement.Step) (gateway.Placement, orders.AcquireReply, bool) {
	d, e := s.d, step.Endpoint
	address, known := d.owners.ownerAddress(e.ID)
	if !known || !d.owners.available(address, time.Now()) {
		return gateway.Placement{}, orders.AcquireReply{Status: orders.NotOwner}, false
	}
	permit := d.owners.lastPermit.Add(1)
	args := d.acquireArgs(s.req, e)
	args.Permit = permit
	args.Bound, args.LoadBound, args.TotalBound = step.Bounds.First, step.Bounds.Load, step.Bounds.Total
	reply := orders.AcquireReply{Status: orders.Waiting}
	for {
		args.Left, args.Life = time.Until(step.WaitUntil), time.Until(s.req.Deadline)
		if !d.acceptsRequests(e) {
			return gateway.Placement{}, orders.AcquireReply{Status: orders.Down}, false
		}
		if args.Left <= 0 || ctx.Err() != nil {
			return gateway.Placement{}, reply, false
		}
		var ok bool
		if reply, ok = d.owners.acquire(ctx, address, args); !ok {
			return gateway.Placement{}, orders.AcquireReply{Status: orders.NotOwner}, false
		}
		switch reply.Status {
		case orders.Granted:
			return s.granted(e, reply, func(n orders.PermitUpdate) {
				n.Permit = permit
				d.recordLength(s.req, n.Events)
				d.owners.queueUpdate(address, n)
			})
		case orders.Waiting:
			// The request is now queued for the adapter: only WaitUntil ends the wait.
			args.Bound, args.LoadBound, args.TotalBound = unbounded, unbounded, 0
		default:
			return gateway.Placement{}, reply, false
		}
	}
}

// unbounded accepts any wait.
const unbounded = time.Hour

// acquireArgs returns the description of a request for an engine's owner.
func (d *Dispatcher) acquireArgs(req gateway.Request, e roster.Endpoint) *orders.AcquireArgs {
	args := &orders.AcquireArgs{
		Endpoint: e.ID, Started: e.Started, Model: req.Terms.Model, Adapter: req.Terms.Adapter, Urgency: req.Urgency,
		Tokens: req.Terms.PromptTokens, Output: req.Terms.OutputTokens, Prompt: req.Terms.Prompt,
	}
	if d.cfg.Placement == placement.Cost {
		expected := d.lengths.Expect(lengthKey(req), req.Account, req.Terms.LengthHint, req.Terms.OutputTokens)
		args.Expected, args.Events = expected.Tokens, expected.Events
	}
	return args
}

// lengthKey returns the key by which the lengths of responses are learned.
func lengthKey(req gateway.Request) placement.LengthKey {
	return placement.LengthKey{Route: req.Route.Name, Model: req.Terms.Model, Adapter: req.Terms.Adapter}
}

// recordLength learns the length of a response.
func (d *Dispatcher) recordLength(req gateway.Request, events int) {
	if d.cfg.Placement == placement.Cost {
		d.lengths.Record(lengthKey(req), req.Account, req.Terms.LengthHint, req.Terms.OutputTokens, events, time.Now())
	}
}

// granted returns the placement for a permit that an owner has granted, unless the endpoint has started to drain or
// pause meanwhile, or has no room within its stated limit.
func (s *search) granted(e roster.Endpoint, reply orders.AcquireReply, notify func(orders.PermitUpdate)) (gateway.Placement, orders.AcquireReply, bool) {
	if !s.d.acceptsRequests(e) {
		notify(orders.PermitUpdate{Ended: true})
		return gateway.Placement{}, reply, false
	}
	limit, ok := s.takeLimit(e)
	if !ok {
		notify(orders.PermitUpdate{Ended: true})
		return gateway.Placement{}, reply, false
	}
	s.d.locations.record(s.key(), e.Incarnation, reply.Version, time.Now())
	s.logGranted(e, reply, limit)
	if s.beyondHomes(e) {
		s.d.beyondHomes.Inc(1)
	}
	return s.d.newPlacement(e, reply.Version, reply.Estimate, notify), reply, true
}

// beyondHomes reports whether an engine is none of the request's homes.
func (s *search) beyondHomes(e roster.Endpoint) bool {
	return !slices.ContainsFunc(s.homes, func(home roster.Endpoint) bool { return home.Incarnation == e.Incarnation })
}

// takeLimit asks whether the request may go to an engine within the limit that the engine states. It sets s.overLimit
// if it may not.
func (s *search) takeLimit(e roster.Endpoint) (ratelimit.Decision, bool) {
	limit := s.d.takeLimit(s.req, e)
	s.overLimit = !limit.Granted
	return limit, limit.Granted
}

// prefetch asks the owner of an engine to load a request's adapter for later requests.
func (d *Dispatcher) prefetch(ctx context.Context, req gateway.Request, e roster.Endpoint) {
	address, known := d.owners.ownerAddress(e.ID)
	if !known || !d.owners.available(address, time.Now()) {
		return
	}
	args := d.acquireArgs(req, e)
	args.Prefetch = true
	d.owners.acquire(ctx, address, args)
}

// acceptsRequests reports whether the endpoint still accepts new requests.
func (d *Dispatcher) acceptsRequests(e roster.Endpoint) bool {
	current, ok := d.cfg.Roster.View().Endpoint(e.ID)
	now := time.Now()
	return ok && current.Incarnation == e.Incarnation && current.AcceptsRequests(now) && d.health.earliestPauseEnd([]roster.Endpoint{current}, now).IsZero()
}

// placeAtKnownLocation returns a placement without a permit at an engine whose owner cannot be reached, if
// recent requests found the adapter there. Without an owner nothing evicts adapters from the engine.
func (s *search) placeAtKnownLocation(e roster.Endpoint) (gateway.Placement, bool) {
	if !s.d.acceptsRequests(e) {
		return gateway.Placement{}, false
	}
	key := s.key()
	found, ok := s.d.locations.version(key, e.Incarnation, time.Now())
	if key.Name != "" && (!ok || found < s.d.cfg.Newest(key)) {
		return gateway.Placement{}, false
	}
	limit, ok := s.takeLimit(e)
	if !ok {
		return gateway.Placement{}, false
	}
	s.d.logPlaced(s.req, e, limit, logrus.Fields{"by": "found_there", "version": found, "answers": strings.Join(s.replies, ",")})
	return s.d.placeWithoutPermit(e, key, found), true
}

// placeByReport returns a placement without a permit at the least busy of the request's homes whose reports
// list its adapter. Other engines are not tried: they would reject the request.
func (s *search) placeByReport(ctx context.Context, ranked []roster.Endpoint) (gateway.Placement, bool) {
	key := s.key()
	refuses := func(e roster.Endpoint) bool { return !s.d.acceptsRequests(e) }
	engines := slices.DeleteFunc(slices.Clone(ranked[:min(reportHomeCount, len(ranked))]), refuses)
	holders := s.d.reports.holders(ctx, engines, key, s.d.cfg.Newest(key))
	// The reports take some time to read.
	holders = slices.DeleteFunc(holders, func(h holder) bool { return refuses(h.endpoint) })
	if len(holders) == 0 {
		return gateway.Placement{}, false
	}
	best := slices.MinFunc(holders, func(a, b holder) int { return cmp.Compare(a.requests, b.requests) })
	s.d.locations.record(key, best.endpoint.Incarnation, best.version, time.Now())
	limit, ok := s.takeLimit(best.endpoint)
	if !ok {
		return gateway.Placement{}, false
	}
	s.d.logPlaced(s.req, best.endpoint, limit, logrus.Fields{
		"by": "report", "version": best.version, "holders": len(holders), "busy": best.requests, "answers": strings.Join(s.replies, ","),
	})
	return s.d.placeWithoutPermit(best.endpoint, key, best.version), true
}

// awaitOwner waits until the owners may be asked again. It reports false if the request has waited long enough
// for them.
func (s *search) awaitOwner(ctx context.Context) bool {
	if time.Since(s.req.Arrived)+ownerRetryInterval > s.plan.ObjectiveShare(ownerWaitShare) || time.Until(s.plan.WaitDeadline) <= ownerRetryInterval {
		return false
	}
	return clock.Sleep(ctx, ownerRetryInterval)
}

// noOwnerError returns the error for a request whose adapter is held by no reachable engine and cannot be
// loaded without an owner.
func (s *search) noOwnerError() error {
	e := result.New(result.NoOwner, "no VM gives orders to the engines that could load the adapter: "+strings.Join(s.replies, " "))
	e.RetryAfter = noOwnerRetryAfter
	return e
}

func (s *search) key() residency.Key {
	return residency.Key{Model: s.req.Terms.Model, Name: s.req.Terms.Adapter}
}

// placeWithoutPermit returns a placement at an engine without a permit of its owner.
func (d *Dispatcher) placeWithoutPermit(e roster.Endpoint, key residency.Key, version int) gateway.Placement {
	return d.newPlacement(e, version, 0, func(n orders.PermitUpdate) {
		if n.Missing {
			d.locations.remove(key, e.Incarnation)
		}
	})
}

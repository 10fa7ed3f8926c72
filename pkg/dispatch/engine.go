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
	"github.com/mallowlink/mallowlink/pkg/ratelimit"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// defaultHomeCount is the number of engines among which a request looks for its adapter, if there are that
	// many. Adapters in heavy use get more homes (see hotKeys).
	defaultHomeCount = 3
	// immediateWaitShare is the part of a request's objective that the queue and its own work at a home may
	// take up for the request to go there without asking the next home.
	immediateWaitShare = 0.25
	// immediateLoadShare is the part of the objective that a request waits for its adapter to load at a home
	// without asking the next home.
	immediateLoadShare = 0.55
	// maxWaitShare is the multiple of the objective beyond which a request is refused: a response that comes
	// late keeps others from being in time. Lower limits apply to less urgent requests and to those of accounts
	// over their limit, so that these are refused before others.
	maxWaitShare           = 1.2
	lessUrgentMaxWaitShare = 0.95
	overLimitMaxWaitShare  = 0.6
	// loadPenalty is added to the wait at a home that would have to load the adapter: the load takes a slot and
	// a share of the weight store's bandwidth from others.
	loadPenalty = 100 * time.Millisecond
	// waitTimeoutShare is the multiple of the objective after which a wait that takes longer than expected
	// ends.
	waitTimeoutShare = 2.0
	// defaultObjective applies to routes without an objective of their own.
	defaultObjective = time.Second
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
	// minRetryAfter is the least Retry-After of a refused request.
	minRetryAfter = 100 * time.Millisecond
)

// search is the search of one request for an engine among its homes. It is not safe for concurrent use.
type search struct {
	d         *Dispatcher
	req       gateway.Request
	objective time.Duration
	// waitDeadline is when the request is refused rather than waiting any longer.
	waitDeadline time.Time
	// offers are the homes where the request would have to wait.
	offers []offer
	// replies describe the replies of the owners, for the log and the error of a refused request.
	replies []string
	// overLimit says that an engine that the request was to go to has no room within its stated limit.
	overLimit bool
}

// offer is a home where a request would have to wait.
type offer struct {
	endpoint roster.Endpoint
	// estimate is the expected time to the first token, without the wait for the adapter.
	estimate time.Duration
	// queue is the part of estimate that is not the request's own work.
	queue time.Duration
	// loadDelay is the expected wait for the adapter; 0 if the engine holds it.
	loadDelay time.Duration
}

// wait returns how long the request would have to wait at the home, with a penalty for homes that do not hold
// its adapter.
func (o offer) wait() time.Duration {
	if o.loadDelay > 0 {
		return o.estimate + o.loadDelay + loadPenalty
	}
	return o.estimate
}

// placeOnEngine asks the owners of the request's homes one after the other. If none grants a permit at
// once, the request goes to the home with the shortest wait. leaving are engines in evacuated failure domains that may still get
// requests whose adapters no other engine holds.
func (d *Dispatcher) placeOnEngine(ctx context.Context, req gateway.Request, candidates, leaving []roster.Endpoint) (gateway.Placement, error) {
	s := &search{d: d, req: req, objective: req.Route.Objective}
	if s.objective == 0 {
		s.objective = defaultObjective
	}
	s.waitDeadline = req.Arrived.Add(s.objectiveShare(waitTimeoutShare))
	if req.Deadline.Before(s.waitDeadline) {
		s.waitDeadline = req.Deadline
	}
	key := homeKey(req)
	ranked := rankHomes(key, candidates)
	homeCount := d.hotKeys.homeCount(key, time.Now())
	if len(leaving) > 0 && req.Terms.Adapter != "" {
		if placement, ok := s.placeWhileMoving(ctx, chooseHomes(req, ranked, homeCount), rankHomes(key, leaving)); ok {
			return placement, nil
		}
		s.overLimit, s.replies = false, nil
	}
	for {
		if placement, ok := s.tryHomes(ctx, key, ranked, homeCount); ok {
			return placement, nil
		}
		if s.overLimit {
			return gateway.Placement{}, errOverLimit
		}
		if s.evacuatedMeanwhile(ranked) {
			return gateway.Placement{}, errEvacuated
		}
		if len(s.offers) > 0 {
			return gateway.Placement{}, s.queueFullError()
		}
		// No owner can be reached.
		if placement, ok := s.placeByReport(ctx, ranked); ok {
			return placement, nil
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

// tryHomes asks the owners of the request's homes for a permit.
func (s *search) tryHomes(ctx context.Context, key string, ranked []roster.Endpoint, homeCount int) (gateway.Placement, bool) {
	for _, e := range chooseHomes(s.req, ranked, homeCount) {
		if placement, ok := s.tryHome(ctx, e); ok || s.overLimit {
			return placement, ok
		}
	}
	if s.allHomesBusy() && homeCount < len(ranked) {
		s.d.hotKeys.addHome(key, time.Now())
		if placement, ok := s.tryHome(ctx, ranked[homeCount]); ok || s.overLimit {
			return placement, ok
		}
	}
	return s.takeBestOffer(ctx)
}

// objectiveShare returns a fraction of the objective.
func (s *search) objectiveShare(part float64) time.Duration {
	return time.Duration(part * float64(s.objective))
}

// maxWait returns the longest time from the request's arrival to its first token for which it is still worth
// serving.
func (s *search) maxWait() time.Duration {
	switch {
	case s.req.OverLimit:
		return s.objectiveShare(overLimitMaxWaitShare)
	case s.req.Urgency > 0:
		return s.objectiveShare(lessUrgentMaxWaitShare)
	}
	return s.objectiveShare(maxWaitShare)
}

// tryHome asks for an immediate permit at a home, and records the offer if the request would have to wait.
func (s *search) tryHome(ctx context.Context, e roster.Endpoint) (gateway.Placement, bool) {
	placement, reply, ok := s.acquire(ctx, e, waitBounds{s.objectiveShare(immediateWaitShare), s.objectiveShare(immediateLoadShare)})
	if ok || s.overLimit {
		return placement, ok
	}
	s.replies = append(s.replies, describeReply(e, reply))
	switch reply.Status {
	case orders.Offered, orders.Waiting:
		s.offers = append(s.offers, offer{e, reply.Estimate, reply.Estimate - reply.Own, reply.Delay})
	case orders.NotOwner:
		return s.placeAtKnownLocation(e)
	}
	return gateway.Placement{}, false
}

// allHomesBusy reports whether all homes hold the adapter and have long queues, so that another home would
// help.
func (s *search) allHomesBusy() bool {
	return len(s.offers) >= defaultHomeCount && !slices.ContainsFunc(s.offers, func(o offer) bool {
		return o.loadDelay > 0 || o.queue <= s.objectiveShare(immediateWaitShare)
	})
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

// takeBestOffer asks for a permit at the home with the shortest wait, unless that wait is too long.
func (s *search) takeBestOffer(ctx context.Context) (gateway.Placement, bool) {
	if len(s.offers) == 0 {
		return gateway.Placement{}, false
	}
	best := slices.MinFunc(s.offers, func(a, b offer) int { return cmp.Compare(a.wait(), b.wait()) })
	if best.estimate+best.loadDelay > s.maxWait()-time.Since(s.req.Arrived) && !s.lateByOwnWork(best) {
		return gateway.Placement{}, false
	}
	s.prefetch(ctx, best)
	// The state of the home may have changed a little since the offer.
	limits := waitBounds{best.estimate + s.objectiveShare(immediateWaitShare), best.loadDelay + s.objectiveShare(immediateWaitShare)}
	placement, reply, ok := s.acquire(ctx, best.endpoint, limits)
	if !ok {
		s.replies = append(s.replies, describeReply(best.endpoint, reply))
	}
	return placement, ok
}

// lateByOwnWork reports whether hardly anything is ahead of the request at the home. The request is then late
// only because of its own work, and a late response is better than none.
func (s *search) lateByOwnWork(o offer) bool {
	return o.queue <= s.objectiveShare(immediateWaitShare) && o.loadDelay <= s.objectiveShare(immediateLoadShare) && o.estimate+o.loadDelay < time.Until(s.waitDeadline)
}

// logGranted logs that an owner has granted the request a permit.
func (s *search) logGranted(e roster.Endpoint, reply orders.AcquireReply, limit ratelimit.Decision) {
	s.d.logPlaced(s.req, e, limit, logrus.Fields{
		"by": "owner", "owner": reply.Owner, "version": reply.Version, "answers": strings.Join(s.replies, ","),
		"estimate": reply.Estimate.Round(time.Millisecond), "waited": reply.Waited.Round(time.Millisecond),
	})
}

// prefetch makes a home that does not hold the adapter load it if that home is much less busy than the chosen
// one, so that later requests find the adapter there.
func (s *search) prefetch(ctx context.Context, best offer) {
	if s.req.Terms.Adapter == "" || best.loadDelay > 0 {
		return
	}
	for _, o := range s.offers {
		if o.loadDelay > 0 && o.estimate < best.estimate/2 {
			go s.d.prefetch(context.WithoutCancel(ctx), s.req, o.endpoint)
			return
		}
	}
}

// queueFullError returns the error for a request whose wait would be too long at every home, with the time to
// retry after.
func (s *search) queueFullError() error {
	e := result.New(result.QueueFull, "no engine can take the request in time: "+strings.Join(s.replies, " "))
	best := slices.MinFunc(s.offers, func(a, b offer) int { return cmp.Compare(a.wait(), b.wait()) })
	e.RetryAfter = max(best.wait()-s.maxWait()/2, minRetryAfter)
	return e
}

// waitBounds are the longest waits that a request accepts: for the first token, and for the adapter.
type waitBounds struct{ first, load time.Duration }

// acquire asks the owner of an engine for a permit until it is granted or refused, or s.waitDeadline has passed. It sets
// s.overLimit if the engine has no room within the limit that it states.
func (s *search) acquire(ctx context.Context, e roster.Endpoint, limits waitBounds) (gateway.Placement, orders.AcquireReply, bool) {
	d := s.d
	address, known := d.owners.ownerAddress(e.ID)
	if !known || !d.owners.available(address, time.Now()) {
		return gateway.Placement{}, orders.AcquireReply{Status: orders.NotOwner}, false
	}
	permit := d.owners.lastPermit.Add(1)
	args := d.acquireArgs(s.req, e)
	args.Permit, args.Bound, args.LoadBound = permit, limits.first, limits.load
	reply := orders.AcquireReply{Status: orders.Waiting}
	for {
		args.Left, args.Life = time.Until(s.waitDeadline), time.Until(s.req.Deadline)
		if args.Left <= 0 || ctx.Err() != nil || !d.acceptsRequests(e) {
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
				d.owners.queueUpdate(address, n)
			})
		case orders.Waiting:
			// The request is now queued for the adapter: only waitDeadline ends the wait.
			args.Bound, args.LoadBound = unbounded, unbounded
		default:
			return gateway.Placement{}, reply, false
		}
	}
}

// unbounded accepts any wait.
const unbounded = time.Hour

// acquireArgs returns the description of a request for an engine's owner.
func (d *Dispatcher) acquireArgs(req gateway.Request, e roster.Endpoint) *orders.AcquireArgs {
	return &orders.AcquireArgs{
		Endpoint: e.ID, Started: e.Started, Model: req.Terms.Model, Adapter: req.Terms.Adapter, Urgency: req.Urgency,
		Tokens: req.Terms.PromptTokens, Output: req.Terms.OutputTokens, Prompt: req.Terms.Prompt,
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
	return s.d.newPlacement(e, reply.Version, reply.Estimate, notify), reply, true
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
	if time.Since(s.req.Arrived)+ownerRetryInterval > s.objectiveShare(ownerWaitShare) || time.Until(s.waitDeadline) <= ownerRetryInterval {
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

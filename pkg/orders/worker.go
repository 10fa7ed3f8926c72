package orders

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

const (
	// timeoutRoundTrips is the number of average round trips after which an order counts as lost. minTimeout and
	// maxTimeout bound that time, which doubles with each loss in a row.
	timeoutRoundTrips = 6
	minTimeout        = 30 * time.Millisecond
	maxTimeout        = 250 * time.Millisecond
	// initialRoundTrip is the round trip assumed before one was seen; roundTripWeight is the weight of a new one.
	initialRoundTrip = 5 * time.Millisecond
	roundTripWeight  = 0.1
	// minBackoff is how long an engine that cannot be reached is left alone; it doubles up to
	// maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// idleInterval is how often permits are looked through for those that must have ended.
	idleInterval = time.Second
	// leaseCheckInterval is the time between two looks at a lease that does not hold.
	leaseCheckInterval = 50 * time.Millisecond
)

// worker gives one engine its orders while this VM holds its lease.
type worker struct {
	service  *Service
	endpoint roster.Endpoint
	model    string
	lease    string
	// previousOwner is the VM that gave the engine its orders before, empty if there was none.
	previousOwner string
	// ordersFrom is when orders may be given.
	ordersFrom time.Time
	wake       chan struct{}
	cancel     context.CancelFunc

	mu sync.Mutex
	// The fields below are guarded by mu.

	planner *residency.Planner
	load    engineLoad
	waiters map[residency.Key][]*waiter
	// cancelled are permits that have ended before they were granted, with the time until when that is
	// remembered.
	cancelled map[permitKey]time.Time
	// loggedAt is when the state of the engine was logged last.
	loggedAt    time.Time
	roundTrip   time.Duration
	lossesInRow int
	// handover are what the VM before has told, until the books are synced.
	handover *residency.Handover
	// backoff is how long the engine is left alone after the next failure to reach it; downUntil is when
	// it is tried next, zero while it can be reached.
	backoff   time.Duration
	downUntil time.Time
}

// waiter is a request that waits for an adapter.
type waiter struct {
	args  *AcquireArgs
	begun time.Time
	// reply receives the answer; it has room for one.
	reply chan AcquireReply
	done  bool
}

func newWorker(s *Service, e roster.Endpoint, leaseName string, spec Spec) *worker {
	return &worker{
		service: s, endpoint: e, lease: leaseName, wake: make(chan struct{}, 1),
		planner: residency.New(residency.Config{
			Model:      spec.Model,
			ModelLoad:  spec.ModelLoad,
			Slots:      spec.Places,
			MaxLoading: residency.DefaultMaxLoading,
			WarmCount:  residency.DefaultWarmCount,
			Newest:     s.cfg.Newest,
		}),
		load:      newEngineLoad(spec.Slots, spec.CacheTokens),
		waiters:   map[residency.Key][]*waiter{},
		cancelled: map[permitKey]time.Time{},
		model:     spec.Model,
		roundTrip: initialRoundTrip,
	}
}

// signal makes the work loop look again.
func (w *worker) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run gives orders until ctx ends.
func (w *worker) run(ctx context.Context) {
	w.fetchHandover(ctx)
	for ctx.Err() == nil {
		now := time.Now()
		w.mu.Lock()
		w.logState(now)
		w.expirePermits(now)
		action, ok, due := w.nextAction(now)
		w.mu.Unlock()
		if ok {
			w.execute(ctx, action)
			continue
		}
		w.sleep(ctx, now, due)
	}
}

// nextAction returns the call to make now, or when to look again. While the engine cannot be reached nobody waits
// for it, so it is tried by reading its report. w.mu is held.
func (w *worker) nextAction(now time.Time) (residency.Action, bool, time.Time) {
	if !w.downUntil.IsZero() {
		return residency.Action{Kind: residency.Report}, !now.Before(w.downUntil), w.downUntil
	}
	action, ok, due := w.planner.Next(now)
	if ok && action.Kind != residency.Report && now.Before(w.ordersFrom) {
		return action, false, w.ordersFrom
	}
	return action, ok, due
}

// logState logs the state of the engine once in a while. w.mu is held.
func (w *worker) logState(now time.Time) {
	if now.Sub(w.loggedAt) < idleInterval {
		return
	}
	w.loggedAt = now
	s := w.stateLocked()
	w.service.cfg.Log.WithFields(logrus.Fields{
		"event": "engine_state", "endpoint": s.Endpoint, "held": s.Held, "in_use": s.InUse,
		"loading": s.Loading, "wanted": s.Wanted, "load_time": s.LoadTime, "requests": s.Requests,
		"unread": s.Unread, "token_time": s.TokenTime, "ready": s.Ready, "down": s.Down,
	}).Debug()
}

func (w *worker) state() EngineState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stateLocked()
}

// stateLocked returns what is known of the engine. w.mu is held.
func (w *worker) stateLocked() EngineState {
	sum := w.planner.Summary()
	return EngineState{
		Endpoint: w.endpoint.ID, Started: w.endpoint.Started, Lease: w.lease,
		Ready: w.planner.Ready(), Down: !w.downUntil.IsZero(),
		Held: sum.Held, InUse: sum.InUse, Loading: sum.Loading, Wanted: sum.Wanted,
		LoadTime: sum.LoadTime.Round(time.Millisecond).String(), TokenTime: w.load.tokenTime.String(),
		Requests: w.load.running, Unread: w.load.unread,
	}
}

func (w *worker) sleep(ctx context.Context, now, due time.Time) {
	wait := idleInterval
	if !due.IsZero() {
		wait = min(wait, max(due.Sub(now), time.Millisecond))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-w.wake:
	}
}

// handoverTimeout bounds the call to the VM that gave the orders before. It is lost with that VM; the engine
// waits for orders meanwhile.
const handoverTimeout = 60 * time.Millisecond

// fetchHandover asks the VM that gave the engine its orders before how its adapters were used, so that those in
// use are not evicted.
func (w *worker) fetchHandover(ctx context.Context) {
	if w.previousOwner == "" {
		return
	}
	address, ok := w.service.cfg.Address(w.previousOwner)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var reply HandoverReply
	err := w.service.cfg.Caller.Call(ctx, address, handoverMethod, &HandoverArgs{Endpoint: w.endpoint.ID, Started: w.endpoint.Started}, &reply)
	w.service.cfg.Log.WithFields(logrus.Fields{
		"event": "engine_told", "endpoint": w.endpoint.ID, "by": w.previousOwner, "known": reply.Known,
		"adapters": len(reply.Habits.Uses), "error": err,
	}).Info()
	if err == nil && reply.Known {
		w.mu.Lock()
		w.handover = &reply.Habits
		w.mu.Unlock()
	}
}

// execute makes one call to the engine. The lease is checked last before an order is given.
func (w *worker) execute(ctx context.Context, a residency.Action) {
	target := upstream.Target{ID: w.endpoint.ID, Started: w.endpoint.Started, Address: w.endpoint.Address}
	ctx, cancel := context.WithTimeout(ctx, w.timeout())
	defer cancel()
	begun := time.Now()
	if a.Kind == residency.Report {
		report, err := w.service.cfg.Engines.Report(ctx, target)
		w.recordCall(begun, err)
		w.handleReport(a, report, err)
		return
	}
	grant, held := w.service.cfg.Leases.Held(w.lease)
	if !held {
		time.Sleep(leaseCheckInterval)
		return
	}
	reply, err := w.service.cfg.Engines.Order(ctx, target, engine.Order{
		Holder:   w.service.cfg.Self,
		Fencing:  grant.Fencing,
		Expected: a.Expected,
		Adapter:  a.Adapter,
		Evict:    a.Kind == residency.Evict || a.Kind == residency.ConfirmEvict,
	})
	w.recordCall(begun, err)
	w.handleReply(a, reply, err)
}

// timeout returns the time after which a call counts as lost.
func (w *worker) timeout() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return min(max(timeoutRoundTrips*w.roundTrip, minTimeout)<<min(w.lossesInRow, 4), maxTimeout)
}

// recordCall takes in the outcome of a call that began at begun.
func (w *worker) recordCall(begun time.Time, err error) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil:
		w.roundTrip += time.Duration(roundTripWeight * float64(now.Sub(begun)-w.roundTrip))
		w.lossesInRow, w.backoff, w.downUntil = 0, 0, time.Time{}
	case errors.Is(err, engine.ErrNotSent):
		w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
		w.downUntil = now.Add(w.backoff)
		w.rejectWaiters()
	default:
		w.lossesInRow++
	}
}

// rejectWaiters ends all waits, because the engine cannot be reached. w.mu is held.
func (w *worker) rejectWaiters() {
	for key, list := range w.waiters {
		for _, wt := range list {
			w.planner.RemoveWaiter(key)
			wt.done = true
			wt.reply <- AcquireReply{Status: Down}
		}
		delete(w.waiters, key)
	}
}

func (w *worker) handleReport(a residency.Action, report engine.Report, err error) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.planner.HandleLost(a, now)
		w.service.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "report_failed", "endpoint": w.endpoint.ID}).Warn()
		return
	}
	w.planner.Sync(report, now)
	if w.handover != nil {
		w.planner.ApplyHandover(*w.handover, now)
		w.handover = nil
	}
	w.service.cfg.Log.WithFields(logrus.Fields{
		"event": "books_synced", "endpoint": w.endpoint.ID, "accepted": report.Accepted,
		"held": len(report.Loaded), "pending": len(report.Pending),
	}).Info()
	w.serveWaiters(now)
}

func (w *worker) handleReply(a residency.Action, reply engine.Reply, err error) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := w.service.cfg.Log.WithFields(logrus.Fields{
		"event": "order", "endpoint": w.endpoint.ID, "kind": a.Kind.String(),
		"adapter": a.Adapter.Name, "expected": a.Expected,
	})
	w.service.meters.orders.Inc(1)
	switch {
	case err == nil:
		w.planner.HandleReply(a, reply, now)
		if a.Kind != residency.ConfirmLoad || reply != engine.Accepted {
			entry.WithField("reply", reply.String()).Debug()
		}
	case errors.Is(err, engine.ErrNotSent):
		w.planner.HandleNotSent(a, now)
		entry.WithError(err).Warn()
	default:
		w.planner.HandleLost(a, now)
		entry.WithError(err).Warn()
	}
	if a.Kind == residency.Evict && reply == engine.Holds {
		w.load.cache.removeAdapter(a.Adapter.Name)
	}
	w.serveWaiters(now)
}

// serveWaiters lets the requests through whose adapter can be used now. w.mu is held.
func (w *worker) serveWaiters(now time.Time) {
	for key, list := range w.waiters {
		if !w.planner.Usable(key) && (key.Name != "" || !w.planner.Ready()) {
			continue
		}
		delete(w.waiters, key)
		for _, wt := range list {
			w.planner.RemoveWaiter(key)
			reply, ok := w.grant(wt.args, key, now)
			if !ok {
				reply = AcquireReply{Status: Waiting}
			}
			reply.Waited = now.Sub(wt.begun)
			wt.done = true
			wt.reply <- reply
		}
	}
}

// cancelPermit remembers that a permit has ended before it was granted.
func (w *worker) cancelPermit(key permitKey, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelled[key] = now.Add(2 * MaxWait)
}

// expirePermits drops the permits whose requests must have ended. w.mu is held.
func (w *worker) expirePermits(now time.Time) {
	for key, until := range w.cancelled {
		if now.After(until) {
			delete(w.cancelled, key)
		}
	}
	for _, key := range w.load.expired(now) {
		w.endPermit(key, now)
	}
}

// remove ends a permit. w.mu is held.
func (w *worker) endPermit(key permitKey, now time.Time) {
	if p := w.load.remove(key); p != nil && p.adapter != "" {
		w.planner.Release(residency.Key{Model: w.model, Name: p.adapter}, now)
	}
}

// acquire lets a request through, at once or once its adapter is loaded.
func (w *worker) acquire(ctx context.Context, args *AcquireArgs) AcquireReply {
	begun := time.Now()
	key := residency.Key{Model: args.Model, Name: args.Adapter}
	w.mu.Lock()
	if !w.downUntil.IsZero() {
		w.mu.Unlock()
		return AcquireReply{Status: Down}
	}
	if args.Prefetch {
		w.prefetch(key, begun)
		w.mu.Unlock()
		return AcquireReply{Status: Offered}
	}
	estimate, delay := w.estimate(args), w.adapterDelay(args, key, begun)
	if estimate > args.Bound || delay > args.LoadBound {
		own := w.load.idleEstimate(w.unread(args))
		w.mu.Unlock()
		return AcquireReply{Status: Offered, Estimate: estimate, Own: own, Delay: delay}
	}
	if reply, ok := w.grant(args, key, begun); ok {
		w.mu.Unlock()
		return reply
	}
	wt := &waiter{args: args, begun: begun, reply: make(chan AcquireReply, 1)}
	w.waiters[key] = append(w.waiters[key], wt)
	w.planner.AddWaiter(key, args.Urgency, begun)
	w.mu.Unlock()
	w.signal()
	return w.await(ctx, wt, key)
}

// await waits until the adapter can be used, at most for MaxWait.
func (w *worker) await(ctx context.Context, wt *waiter, key residency.Key) AcquireReply {
	timer := time.NewTimer(min(wt.args.Left, MaxWait))
	defer timer.Stop()
	select {
	case reply := <-wt.reply:
		return reply
	case <-ctx.Done():
	case <-timer.C:
	}
	return w.abandonWait(wt, key)
}

// adapterDelay returns how long a request would have to wait for its adapter. w.mu is held.
func (w *worker) adapterDelay(args *AcquireArgs, key residency.Key, now time.Time) time.Duration {
	if args.Adapter == "" && w.planner.Ready() {
		return 0
	}
	return w.planner.Delay(key, now)
}

const (
	// prefetchUrgency ranks loads that no request waits for behind all others.
	prefetchUrgency = 100
	// prefetchLifetime is how long such a load stays wanted.
	prefetchLifetime = 500 * time.Millisecond
)

// prefetch asks for an adapter that is likely to be needed, unless others are waited for. w.mu is held.
func (w *worker) prefetch(key residency.Key, now time.Time) {
	if !w.planner.Ready() || w.planner.Usable(key) || len(w.waiters) > 0 {
		return
	}
	w.planner.AddWaiter(key, prefetchUrgency, now)
	time.AfterFunc(prefetchLifetime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.planner.RemoveWaiter(key)
	})
	w.signal()
}

// estimate returns the expected time to the first token of a request. w.mu is held.
func (w *worker) estimate(args *AcquireArgs) time.Duration {
	return w.load.estimate(w.unread(args))
}

// unread returns the tokens of a request's prompt that the engine has to read. w.mu is held.
func (w *worker) unread(args *AcquireArgs) int {
	return w.load.cache.unread(args.Adapter, args.Prompt, args.Tokens)
}

// grant notes a permit if the adapter can be used now. w.mu is held.
func (w *worker) grant(args *AcquireArgs, key residency.Key, now time.Time) (AcquireReply, bool) {
	unread := w.unread(args)
	reply := AcquireReply{Status: Granted, Estimate: w.load.estimate(unread)}
	if _, gone := w.cancelled[permitKey{args.Incarnation, args.Permit}]; gone || !w.planner.Ready() {
		return AcquireReply{}, false
	}
	if args.Adapter != "" {
		version, ok := w.planner.Acquire(key, now)
		if !ok {
			return AcquireReply{}, false
		}
		reply.Version = version
	}
	w.load.cache.add(args.Adapter, args.Prompt)
	w.load.add(permitKey{args.Incarnation, args.Permit}, args.Adapter, unread, now.Add(args.Life+permitGrace))
	return reply, true
}

// abandonWait takes a waiter out and returns the answer that it gets.
func (w *worker) abandonWait(wt *waiter, key residency.Key) AcquireReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if wt.done {
		return <-wt.reply
	}
	w.planner.RemoveWaiter(key)
	if left := slices.DeleteFunc(w.waiters[key], func(other *waiter) bool { return other == wt }); len(left) > 0 {
		w.waiters[key] = left
	} else {
		delete(w.waiters, key)
	}
	now := time.Now()
	return AcquireReply{Status: Waiting, Waited: now.Sub(wt.begun), Delay: w.planner.Delay(key, now)}
}

// applyUpdate takes in what has become of a permit.
func (w *worker) applyUpdate(incarnation string, n Notice) bool {
	now := time.Now()
	key := permitKey{incarnation, n.Permit}
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.load.permits[key]
	if p == nil {
		return false
	}
	if n.Started {
		w.load.markStarted(key, n.First)
	}
	if n.Missing {
		w.planner.MarkMissing(residency.Key{Model: w.model, Name: p.adapter}, now)
		w.signal()
	}
	if n.Ended {
		w.endPermit(key, now)
		if len(w.waiters) > 0 {
			w.signal()
		}
	}
	return true
}

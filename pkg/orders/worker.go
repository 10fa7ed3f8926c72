package orders

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/placement"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

const (
	// A call to an engine is given up after timeoutRoundTrips average round trips, but not before minTimeout.
	// The time doubles with each consecutive call that gets no response, up to maxTimeout.
	timeoutRoundTrips = 6
	minTimeout        = 30 * time.Millisecond
	maxTimeout        = 250 * time.Millisecond
	// initialRoundTrip is the round trip time assumed before any has been measured, and roundTripWeight the
	// weight of a new measurement in the moving average.
	initialRoundTrip = 5 * time.Millisecond
	roundTripWeight  = 0.1
	// minBackoff is how long no call is made to an engine that could not be reached. The time doubles with
	// each further failure, up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// permitGrace is how long a permit is kept beyond the longest time that its request can last. After that,
	// the permit expires even if no update says that the request has ended.
	permitGrace = 500 * time.Millisecond
	// idleInterval is the longest time between two checks for expired permits.
	idleInterval = time.Second
	// leaseCheckInterval is the time between two checks of a lease that is not held.
	leaseCheckInterval = 50 * time.Millisecond
)

// worker sends orders to one engine while this VM owns it.
type worker struct {
	service  *Service
	endpoint roster.Endpoint
	model    string
	lease    string
	// previousOwner is the VM that owned the engine before, or empty if there was none.
	previousOwner string
	// ordersFrom is the time from which orders may be sent.
	ordersFrom time.Time
	wake       chan struct{}
	cancel     context.CancelFunc
	// settling says that this VM has given the lease up and sends no orders, while orders may still arrive.
	settling atomic.Bool
	// openCalls is the number of orders whose calls have not ended.
	openCalls atomic.Int32

	mu sync.Mutex
	// The fields below are guarded by mu.

	planner *residency.Planner
	load    placement.Load
	waiters map[residency.Key][]*waiter
	// cancelled maps permits that ended before they were granted to the time until which they are remembered.
	cancelled map[placement.PermitKey]time.Time
	// loggedAt is when the engine's state was last logged.
	loggedAt          time.Time
	roundTrip         time.Duration
	consecutiveLosses int
	// handover is what the previous owner has sent. It is nil once applied to the planner, or if there is
	// none.
	handover *residency.Handover
	// backoff is the last delay between two attempts to reach the engine. downUntil is the time of the next
	// attempt, or zero while the engine can be reached.
	backoff   time.Duration
	downUntil time.Time
	// evacuating says that the engine gets no orders and no polls because its failure domain is evacuated.
	evacuating bool
}

// waiter is a request that waits for an adapter.
type waiter struct {
	args      *AcquireArgs
	startedAt time.Time
	// reply receives the reply. It is buffered for one value, so that sending never blocks.
	reply chan AcquireReply
	done  bool
}

func newWorker(s *Service, e roster.Endpoint, leaseName string, spec EngineSpec) *worker {
	return &worker{
		service: s, endpoint: e, lease: leaseName, wake: make(chan struct{}, 1),
		planner: residency.New(residency.Config{
			Model:      spec.Model,
			ModelLoad:  spec.ModelLoad,
			Slots:      spec.AdapterSlots,
			MaxLoading: residency.DefaultMaxLoading,
			WarmCount:  residency.DefaultWarmCount,
			Newest:     s.cfg.Newest,
		}),
		load:      s.newLoad(e.Group, spec),
		waiters:   map[residency.Key][]*waiter{},
		cancelled: map[placement.PermitKey]time.Time{},
		model:     spec.Model,
		roundTrip: initialRoundTrip,
	}
}

// signal wakes the worker's loop.
func (w *worker) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run sends orders until ctx is cancelled.
func (w *worker) run(ctx context.Context) {
	w.fetchHandover(ctx)
	for ctx.Err() == nil {
		now := time.Now()
		w.mu.Lock()
		w.logState(now)
		w.expirePermits(now)
		w.followEvacuation(now)
		action, ok, due := w.nextAction(now)
		w.mu.Unlock()
		if ok {
			w.execute(ctx, action)
			continue
		}
		w.sleep(ctx, now, due)
	}
}

// evacuatedFrom returns the time from which nothing may be sent to the engine because its failure domain is evacuated, and whether
// it is.
func (w *worker) evacuatedFrom() (time.Time, bool) {
	e, listed := w.service.cfg.Roster.View().Endpoint(w.endpoint.ID)
	return e.EvacuatedFrom, listed && e.Evacuating()
}

// followEvacuation ends the orders to the engine when its failure domain is evacuated. Requests that wait for an adapter are sent
// away, since it is not loaded here any more. When the domain is restored, a report is read before the next order. w.mu must be
// held.
func (w *worker) followEvacuation(now time.Time) {
	_, evacuating := w.evacuatedFrom()
	if evacuating == w.evacuating {
		return
	}
	w.evacuating = evacuating
	if evacuating {
		w.rejectWaiters()
	} else {
		w.planner.RequireReport(now)
	}
	permits, _ := w.load.Running()
	w.service.cfg.Log.WithFields(logrus.Fields{
		"event": "engine_evacuation", "endpoint": w.endpoint.ID, "evacuated": evacuating, "requests": permits,
	}).Info("orders to the engine ended or began again with the evacuation of its failure domain")
}

// nextAction returns the call to make now, or the time at which to check again. While the engine cannot be
// reached, no request waits for it, so reading its report is used as the probe. w.mu must be held.
func (w *worker) nextAction(now time.Time) (residency.Action, bool, time.Time) {
	if w.evacuating || w.settling.Load() {
		return residency.Action{}, false, time.Time{}
	}
	if !w.downUntil.IsZero() {
		return residency.Action{Kind: residency.Report}, !now.Before(w.downUntil), w.downUntil
	}
	action, ok, due := w.planner.Next(now)
	if ok && action.Kind != residency.Report && now.Before(w.ordersFrom) {
		return action, false, w.ordersFrom
	}
	if ok && action.Kind != residency.Report && w.openCalls.Load() >= maxOpenCalls {
		return action, false, now.Add(leaseCheckInterval)
	}
	return action, ok, due
}

// logState logs the engine's state, at most once in idleInterval. w.mu must be held.
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
	}).Debug("engine state")
}

func (w *worker) state() EngineState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stateLocked()
}

// stateLocked returns the engine's state. w.mu must be held.
func (w *worker) stateLocked() EngineState {
	sum := w.planner.Summary()
	running, unread := w.load.Running()
	return EngineState{
		Endpoint: w.endpoint.ID, Started: w.endpoint.Started, Lease: w.lease,
		Settling: w.settling.Load(), Unsettled: w.service.unsettled.count(w.lease, w.endpoint.ID),
		Ready: w.planner.Ready(), Down: !w.downUntil.IsZero(), Evacuated: w.evacuating,
		Held: sum.Held, InUse: sum.InUse, Loading: sum.Loading, Wanted: sum.Wanted,
		LoadTime: sum.LoadTime.Round(time.Millisecond).String(), TokenTime: w.load.TokenTime().String(),
		Requests: running, Unread: unread,
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

// handoverTimeout limits the call to the previous owner. The call fails if that VM has failed, and the engine
// gets no orders until it ends.
const handoverTimeout = 60 * time.Millisecond

// fetchHandover asks the engine's previous owner how adapters were used, so that recently used ones are not
// evicted.
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
	err := w.service.cfg.PeerClient.Call(ctx, address, handoverMethod, &HandoverArgs{Endpoint: w.endpoint.ID, Started: w.endpoint.Started}, &reply)
	w.service.cfg.Log.WithFields(logrus.Fields{
		"event": "engine_told", "endpoint": w.endpoint.ID, "by": w.previousOwner, "known": reply.Known,
		"adapters": len(reply.Habits.Uses), "error": err,
	}).Info("asked the previous owner for the state of the engine")
	if err == nil && reply.Known {
		w.mu.Lock()
		w.handover = &reply.Habits
		w.mu.Unlock()
	}
}

// execute makes one call to the engine, and waits for the response until the timeout.
func (w *worker) execute(ctx context.Context, a residency.Action) {
	start := time.Now()
	if a.Kind == residency.Report {
		ctx, cancel := context.WithTimeout(ctx, w.timeout())
		defer cancel()
		target := upstream.Target{ID: w.endpoint.ID, Started: w.endpoint.Started, Address: w.endpoint.Address}
		report, err := w.service.cfg.Engines.Report(ctx, target)
		w.recordCall(start, err)
		w.handleReport(a, report, err)
		return
	}
	call, ok := w.startOrder(a)
	if !ok {
		clock.Sleep(ctx, leaseCheckInterval)
		return
	}
	outcome := call.await(ctx, w.timeout())
	if call.leaseEnded.Load() {
		clock.Sleep(ctx, leaseCheckInterval)
		return
	}
	w.recordCall(start, outcome.err)
	w.handleReply(a, call.order.fencing, outcome.reply, outcome.err)
}

// timeout returns the time after which a call is given up.
func (w *worker) timeout() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return min(max(timeoutRoundTrips*w.roundTrip, minTimeout)<<min(w.consecutiveLosses, 4), maxTimeout)
}

// recordCall updates the round trip time and the backoff with the outcome of a call that began at start.
func (w *worker) recordCall(start time.Time, err error) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil:
		w.roundTrip += time.Duration(roundTripWeight * float64(now.Sub(start)-w.roundTrip))
		w.consecutiveLosses, w.backoff, w.downUntil = 0, 0, time.Time{}
	case errors.Is(err, engine.ErrNotSent):
		w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
		w.downUntil = now.Add(w.backoff)
		w.rejectWaiters()
	default:
		w.consecutiveLosses++
	}
}

// rejectWaiters ends all waits because the engine cannot be reached or gets no orders any more. w.mu must be held.
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
		w.service.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "report_failed", "endpoint": w.endpoint.ID}).Warn("reading the report of the engine failed")
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
	}).Info("applied the report of the engine")
	w.serveWaiters(now)
}

func (w *worker) handleReply(a residency.Action, fencing uint64, reply engine.Reply, err error) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := w.service.cfg.Log.WithFields(logrus.Fields{
		"event": "order", "endpoint": w.endpoint.ID, "kind": a.Kind.String(),
		"adapter": a.Adapter.Name, "expected": a.Expected, "fencing": fencing,
	})
	w.service.meters.orders.Inc(1)
	switch {
	case err == nil:
		w.planner.HandleReply(a, reply, now)
		if a.Kind != residency.ConfirmLoad || reply != engine.Accepted {
			entry.WithField("reply", reply.String()).Debug("engine replied to an order")
		}
	case errors.Is(err, engine.ErrNotSent):
		w.planner.HandleNotSent(a, now)
		entry.WithError(err).Warn("order did not reach the engine")
	default:
		w.planner.HandleLost(a, now)
		entry.WithError(err).Warn("order failed, outcome unknown")
	}
	if a.Kind == residency.Evict && reply == engine.Holds {
		w.load.ForgetAdapter(a.Adapter.Name)
	}
	w.serveWaiters(now)
}

// serveWaiters grants permits to the waiting requests whose adapters have become usable. w.mu must be held.
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
			reply.Waited = now.Sub(wt.startedAt)
			wt.done = true
			wt.reply <- reply
		}
	}
}

// cancelPermit remembers that a permit ended before it was granted, so that it is not granted later.
func (w *worker) cancelPermit(key placement.PermitKey, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelled[key] = now.Add(2 * MaxWait)
}

// expirePermits removes the permits whose requests must have ended. w.mu must be held.
func (w *worker) expirePermits(now time.Time) {
	for key, until := range w.cancelled {
		if now.After(until) {
			delete(w.cancelled, key)
		}
	}
	for _, key := range w.load.Expired(now) {
		w.endPermit(key, now)
	}
}

// endPermit removes a permit and releases its adapter. w.mu must be held.
func (w *worker) endPermit(key placement.PermitKey, now time.Time) {
	if adapter, ok := w.load.Remove(key); ok && adapter != "" {
		w.planner.Release(residency.Key{Model: w.model, Name: adapter}, now)
	}
}

// acquire grants a permit, either at once or after a wait for the adapter.
func (w *worker) acquire(ctx context.Context, args *AcquireArgs) AcquireReply {
	start := time.Now()
	key := residency.Key{Model: args.Model, Name: args.Adapter}
	w.mu.Lock()
	if !w.downUntil.IsZero() {
		w.mu.Unlock()
		return AcquireReply{Status: Down}
	}
	if from, evacuating := w.evacuatedFrom(); evacuating {
		defer w.mu.Unlock()
		return w.acquireEvacuating(args, key, from, start)
	}
	if w.settling.Load() {
		defer w.mu.Unlock()
		return w.acquireHeld(args, key, start)
	}
	if args.Prefetch {
		w.prefetch(key, args.Moving, start)
		w.mu.Unlock()
		return AcquireReply{Status: Offered}
	}
	f, delay := w.load.Forecast(w.work(args), start), w.adapterDelay(args, key, start)
	if bounds := (placement.Bounds{First: args.Bound, Load: args.LoadBound, Total: args.TotalBound}); !bounds.Accept(f, delay) {
		w.mu.Unlock()
		return AcquireReply{Status: Offered, Estimate: f.First, Own: f.Own, Full: f.Full, Run: f.Run, Displaced: f.Displaced, Delay: delay}
	}
	if reply, ok := w.grant(args, key, start); ok {
		w.mu.Unlock()
		return reply
	}
	wt := &waiter{args: args, startedAt: start, reply: make(chan AcquireReply, 1)}
	w.waiters[key] = append(w.waiters[key], wt)
	w.planner.AddWaiter(key, args.Urgency, start)
	w.mu.Unlock()
	w.signal()
	return w.await(ctx, wt, key)
}

// noLoad is the expected wait for an adapter that is not going to be loaded.
const noLoad = time.Hour

// acquireEvacuating grants a permit on an engine in an evacuated failure domain only before the time from, and only if the adapter
// is held: nothing is loaded there any more. w.mu must be held.
func (w *worker) acquireEvacuating(args *AcquireArgs, key residency.Key, from, now time.Time) AcquireReply {
	if !now.Before(from) {
		return AcquireReply{Status: Down}
	}
	return w.acquireHeld(args, key, now)
}

// acquireHeld grants a permit only if the adapter is held: nothing is loaded now. w.mu must be held.
func (w *worker) acquireHeld(args *AcquireArgs, key residency.Key, now time.Time) AcquireReply {
	f := w.load.Forecast(w.work(args), now)
	reply := AcquireReply{Status: Offered, Estimate: f.First, Own: f.Own, Run: f.Run, Displaced: f.Displaced, Delay: noLoad}
	if args.Prefetch || reply.Estimate > args.Bound {
		return reply
	}
	if granted, ok := w.grant(args, key, now); ok {
		return granted
	}
	return reply
}

// await waits until the adapter is usable, for MaxWait at most.
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

// adapterDelay returns the expected wait of a request for its adapter. w.mu must be held.
func (w *worker) adapterDelay(args *AcquireArgs, key residency.Key, now time.Time) time.Duration {
	if args.Adapter == "" && w.planner.Ready() {
		return 0
	}
	delay := w.planner.Delay(key, now)
	if delay > 0 && now.Before(w.ordersFrom) {
		delay += w.ordersFrom.Sub(now)
	}
	return delay
}

const (
	// prefetchUrgency ranks prefetches behind all loads that requests wait for.
	prefetchUrgency = 100
	// prefetchLifetime is how long the planner tries to load a prefetched adapter.
	prefetchLifetime = 500 * time.Millisecond
)

// prefetch requests the load of an adapter that is likely to be needed soon, unless requests are waiting for
// others and the adapter is not moved from evacuated engines. w.mu must be held.
func (w *worker) prefetch(key residency.Key, moving bool, now time.Time) {
	if !w.planner.Ready() || w.planner.Usable(key) || len(w.waiters) > 0 && !moving {
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

// work returns what the engine has to do for a request. w.mu must be held.
func (w *worker) work(args *AcquireArgs) placement.Work {
	unread := w.load.Unread(args.Adapter, args.Prompt, args.Tokens)
	output := args.Output
	if args.Expected > 0 {
		output = args.Expected
	}
	return placement.Work{Unread: unread, Prompt: args.Tokens, Memory: unread + output, Events: args.Events, Urgency: args.Urgency}
}

// grant grants a permit if the adapter is usable now. w.mu must be held.
func (w *worker) grant(args *AcquireArgs, key residency.Key, now time.Time) (AcquireReply, bool) {
	work := w.work(args)
	f := w.load.Forecast(work, now)
	reply := AcquireReply{Status: Granted, Estimate: f.First, Run: f.Run}
	if _, gone := w.cancelled[placement.PermitKey{Incarnation: args.Incarnation, Permit: args.Permit}]; gone || !w.planner.Ready() {
		return AcquireReply{}, false
	}
	if args.Adapter != "" {
		version, ok := w.planner.Acquire(key, now)
		if !ok {
			return AcquireReply{}, false
		}
		reply.Version = version
	}
	w.load.CachePrompt(args.Adapter, args.Prompt)
	w.load.Add(placement.PermitKey{Incarnation: args.Incarnation, Permit: args.Permit}, args.Adapter, work, f, now, now.Add(args.Life+permitGrace))
	return reply, true
}

// abandonWait removes a waiter and returns the reply to its caller.
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
	return AcquireReply{Status: Waiting, Waited: now.Sub(wt.startedAt), Delay: w.planner.Delay(key, now)}
}

// applyUpdate applies an update to a permit. It reports whether the permit is known.
func (w *worker) applyUpdate(incarnation string, n PermitUpdate) bool {
	now := time.Now()
	key := placement.PermitKey{Incarnation: incarnation, Permit: n.Permit}
	w.mu.Lock()
	defer w.mu.Unlock()
	adapter, ok := w.load.Adapter(key)
	if !ok {
		return false
	}
	if n.Started {
		w.load.MarkStarted(key, n.First, now)
	}
	if n.Missing {
		w.planner.MarkMissing(residency.Key{Model: w.model, Name: adapter}, now)
		w.signal()
	}
	if n.Ended {
		w.load.RecordRun(key, n.Ran, n.Events, now)
		w.endPermit(key, now)
		if len(w.waiters) > 0 {
			w.signal()
		}
	}
	return true
}

package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/mallowlink/mallowlink/pkg/chart"
)

// recheckAdapter makes startLoads check the lanes of a again. It is called when the set of endpoints
// that have a, or that may run it, has changed.
func (s *scheduler) recheckAdapter(a *adapter) {
	if a.waitingIndex >= 0 {
		s.recheck = append(s.recheck, a)
	}
	s.loadsDue = true
}

// recheckEndpoint calls recheckAdapter for every adapter on e.
func (s *scheduler) recheckEndpoint(e *endpointView) {
	for _, p := range e.placements {
		s.recheckAdapter(p.adapter)
	}
}

// startLoads starts every load that is due, has a destination and gets a permit.
func (s *scheduler) startLoads(now time.Time) {
	s.updateRechecked()
	if now.Before(s.nextPermitAt) {
		return
	}
	if !s.loadsDue && (s.nextLoadAt.IsZero() || now.Before(s.nextLoadAt)) {
		return
	}
	s.loadsDue, s.nextLoadAt = false, time.Time{}
	for r := range rankCount {
		if s.batchLoadCredit >= 1 && !s.startRank(now, rankBatch, 1) {
			return
		}
		if !s.startRank(now, r, len(s.pendingLoads[r])) {
			return
		}
	}
}

// updateRechecked updates the pending loads of the adapters in recheck.
func (s *scheduler) updateRechecked() {
	for i, a := range s.recheck {
		for _, l := range a.lanes {
			s.updatePendingLoad(l)
		}
		s.recheck[i] = nil
	}
	s.recheck = s.recheck[:0]
}

// startRank starts at most limit loads that lanes of rank r need. It reports false when no permit is
// left.
func (s *scheduler) startRank(now time.Time, r loadRank, limit int) bool {
	h := &s.pendingLoads[r]
	for limit > 0 && len(*h) > 0 {
		l := (*h)[0]
		if !s.refresh(l) {
			continue
		}
		if s.mustWait(now, l) {
			s.nextLoadAt = earliest(s.nextLoadAt, l.loadDue)
			return true
		}
		if s.replicaUnneeded(l) {
			s.dropPendingLoad(l)
			continue
		}
		e, victim, ok := s.destination(now, l)
		if !ok && l.constrained {
			s.postpone(now, l)
			continue
		}
		if !ok {
			s.nextLoadAt = earliest(s.nextLoadAt, now.Add(s.cfg.VictimPoll))
			return true
		}
		if !s.permits.TryTake(now) {
			s.nextPermitAt = now.Add(s.cfg.PermitPoll)
			s.loadBudget.deniedAt = now
			s.nextLoadAt = earliest(s.nextLoadAt, s.nextPermitAt)
			return false
		}
		s.creditBatchLoad(now, r)
		s.load(now, l.adapter, e, victim)
		limit--
	}
	return true
}

// creditBatchLoad accounts for a load of rank r. While a batch load is due, each load of another rank
// adds BatchLoadShare to the batch credit. A batch load uses up a credit of one.
func (s *scheduler) creditBatchLoad(now time.Time, r loadRank) {
	h := s.pendingLoads[rankBatch]
	switch {
	case r == rankBatch:
		s.batchLoadCredit = max(0, s.batchLoadCredit-1)
	case len(h) > 0 && !s.mustWait(now, h[0]):
		s.batchLoadCredit = min(1, s.batchLoadCredit+s.cfg.BatchLoadShare)
	}
}

// refresh updates the pending load of l. It reports false if the position of l in the heap has
// changed.
func (s *scheduler) refresh(l *lane) bool {
	r, at := l.loadRank, l.loadDue
	s.updatePendingLoad(l)
	return l.loadIndex == 0 && l.loadRank == r && l.loadDue.Equal(at)
}

// mustWait reports whether the load of l is not due yet. A load tag in the future only orders
// interactive lanes: if nobody else is waiting, the load budget may serve them before that time.
func (s *scheduler) mustWait(now time.Time, l *lane) bool {
	if l.loadRank == rankInteractive {
		return now.Before(s.earliestLoad(l))
	}
	return now.Before(l.loadDue)
}

// replicaUnneeded reports whether l no longer needs a replica because an endpoint has room.
func (s *scheduler) replicaUnneeded(l *lane) bool {
	if l.loadRank != rankReplica {
		return false
	}
	e, _ := s.pick(l)
	return e != nil
}

// postpone delays the next attempt for a constrained lane for whose adapter there is no destination.
func (s *scheduler) postpone(now time.Time, l *lane) {
	s.dropPendingLoad(l)
	l.notBefore = now.Add(s.cfg.VictimPoll)
	s.updatePendingLoad(l)
}

// destination returns the endpoint on which to load the adapter of l, and the adapter to evict there,
// which is nil if a slot is free. Endpoints on which the load has failed come last.
func (s *scheduler) destination(now time.Time, l *lane) (*endpointView, *placement, bool) {
	e, victim, ok := s.destinationExcluding(now, l, l.adapter.failedOn)
	if !ok && len(l.adapter.failedOn) > 0 {
		return s.destinationExcluding(now, l, nil)
	}
	return e, victim, ok
}

// destinationExcluding works like destination but skips the endpoints named in failed.
func (s *scheduler) destinationExcluding(now time.Time, l *lane, failed []string) (*endpointView, *placement, bool) {
	var best *endpointView
	var victim *placement
	bestValue := 0.0
	for _, e := range s.endpoints {
		if now.Before(e.loadsNotBefore) || !s.mayLoad(l, e) || slices.Contains(failed, e.spec.Name) {
			continue
		}
		v, value, ok := s.victim(now, e)
		if !ok {
			continue
		}
		if best == nil || value < bestValue || value == bestValue && e.utilisation() < best.utilisation() {
			best, victim, bestValue = e, v, value
		}
	}
	return best, victim, best != nil
}

// mayLoad reports whether the adapter of l may be loaded on e.
func (s *scheduler) mayLoad(l *lane, e *endpointView) bool {
	a := l.adapter
	if e.spec.Service || !s.mayRun(l, e) || a.placementOn(e) != nil || e.openOrders[a.version] > 0 {
		return false
	}
	return l.loadRank != rankReplica || e.hasRoom(l.class, s.cfg.BatchRunningShare)
}

// victim returns the evictable adapter on e with the lowest retention value, and that value. If a
// slot is free, the adapter is nil and the value is below that of any adapter.
func (s *scheduler) victim(now time.Time, e *endpointView) (*placement, float64, bool) {
	if e.usedSlots() < e.spec.Slots {
		return nil, -1, true
	}
	var best *placement
	bestValue := 0.0
	for _, p := range e.placements {
		if !p.evictable() {
			continue
		}
		value := s.retentionValue(now, p)
		if best == nil || value < bestValue {
			best, bestValue = p, value
		}
	}
	return best, bestValue, best != nil
}

// evictable reports whether p may be evicted: nothing runs on it and nothing is queued for it.
func (p *placement) evictable() bool {
	return p.state == adapterResident && p.running == 0 && !p.foreignUse && !p.idleUnconfirmed && p.adapter.queued() == 0
}

// retentionValue returns the decayed request rate per replica that would make it necessary to load
// the adapter again. It is discounted by the odds that an adapter without requests for so long is no
// longer in demand.
func (s *scheduler) retentionValue(now time.Time, p *placement) float64 {
	a := p.adapter
	expected := a.rate * math.Ln2 * float64(now.Sub(a.rateAsOf)) / float64(s.cfg.RateHalfLife)
	odds := s.cfg.ShiftOdds * math.Exp(expected)
	return a.rateAt(now, s.cfg.RateHalfLife) / float64(len(a.placements)) / (1 + odds)
}

// load starts loading a on e. If victim is not nil, it is evicted for a.
func (s *scheduler) load(now time.Time, a *adapter, e *endpointView, victim *placement) {
	action := Action{Kind: Load, Endpoint: e.spec.Name, Adapter: a.version}
	if victim != nil {
		s.mustFire(now, victim, eventUnload)
		victim.replacedBy = a
		action.Victim = victim.adapter.version
	}
	s.mustFire(now, s.ensurePlacement(now, a, e), eventLoad)
	e.openOrders[a.version]++
	s.actions = append(s.actions, action)
	for _, l := range a.lanes {
		s.dropPendingLoad(l)
	}
}

// mustFire applies an event that the caller knows to be possible in the state of p.
func (s *scheduler) mustFire(now time.Time, p *placement, event chart.Event) {
	if err := s.fire(now, p, event); err != nil {
		panic(err)
	}
}

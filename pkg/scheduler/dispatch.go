package scheduler

import (
	"slices"
	"time"

	"github.com/mallowlink/mallowlink/pkg/result"
)

// Decide implements Scheduler.
func (s *scheduler) Decide(now time.Time) []Action {
	s.expire(now)
	s.retryServices(now)
	s.refuseWithoutEndpoint(now)
	s.dispatchNew(now)
	s.fillEndpoints(now)
	s.startLoads(now)
	actions := s.actions
	s.actions = nil
	return actions
}

// expire refuses the queued items whose deadline has passed.
func (s *scheduler) expire(now time.Time) {
	for len(s.deadlines) > 0 && !s.deadlines[0].Deadline.After(now) {
		s.refuse(s.deadlines[0], refusal(result.DeadlineTooNear, "the deadline has passed in the queue", s.retryAfter(now)))
	}
}

// retryServices makes plain services usable again whose retry time has come.
func (s *scheduler) retryServices(now time.Time) {
	for _, e := range s.endpoints {
		if e.spec.Service && e.state == endpointDown && !now.Before(e.downUntil) {
			e.fire(eventRetry)
		}
	}
}

// refuseWithoutEndpoint refuses every queued item if no endpoint has been usable for EndpointGrace.
func (s *scheduler) refuseWithoutEndpoint(now time.Time) {
	if slices.ContainsFunc(s.endpoints, (*endpointView).alive) {
		s.noEndpointSince = time.Time{}
		return
	}
	if s.noEndpointSince.IsZero() {
		s.noEndpointSince = now
	}
	if now.Sub(s.noEndpointSince) < s.cfg.EndpointGrace {
		return
	}
	for len(s.waitingAdapters) > 0 {
		r := s.waitingAdapters[0].lanes[0].head
		s.refuse(r, refusal(result.NoEndpoint, "no endpoint of the group answers", s.cfg.EndpointGrace))
	}
}

// dispatchNew dispatches the new items for which an endpoint has room. No older item can be waiting
// for that room, because it would have been dispatched earlier.
func (s *scheduler) dispatchNew(now time.Time) {
	for i, r := range s.newRequests {
		s.newRequests[i] = nil
		if r.lane != nil {
			s.dispatchOrWait(now, r)
		}
	}
	s.newRequests = s.newRequests[:0]
}

// dispatchOrWait dispatches the new item r, refuses it, or leaves it queued and records the load that
// it needs.
func (s *scheduler) dispatchOrWait(now time.Time, r *request) {
	if r.Endpoint != "" {
		s.dispatchPinned(now, r)
		return
	}
	if len(r.Exclude) > 0 && !slices.ContainsFunc(s.endpoints, func(e *endpointView) bool { return satisfiesConstraints(r, e) }) {
		s.refuse(r, refusal(result.NoEndpoint, "every endpoint of the group has failed the request", 0))
		return
	}
	if r.lane.head == r {
		if e, p := s.pick(r.lane); e != nil {
			s.dispatch(now, r, e, p)
			return
		}
	}
	s.updatePendingLoad(r.lane)
	if r.class == batch && r.lane.adapter.waiting[batch] == s.cfg.GatherItems {
		s.recheckAdapter(r.lane.adapter)
	}
	s.refuseUnmeetableDeadline(now, r)
}

// dispatchPinned dispatches an item that resumes a stream, or refuses it at once. The endpoint of the
// stream needs no room for the item.
func (s *scheduler) dispatchPinned(now time.Time, r *request) {
	e, a := s.endpoint(r.Endpoint), r.lane.adapter
	if e == nil || !e.alive() && e.state != endpointLeaving {
		s.refuse(r, refusal(result.NoEndpoint, "the endpoint of the stream does not answer", 0))
		return
	}
	p := a.placementOn(e)
	if a.version != noAdapter && (p == nil || p.state != adapterResident) {
		s.refuse(r, refusal(result.NoEndpoint, "the endpoint of the stream has lost the adapter", 0))
		return
	}
	s.dispatch(now, r, e, p)
}

// dispatch starts the queued request r on e.
func (s *scheduler) dispatch(now time.Time, r *request, e *endpointView, p *placement) {
	a := r.lane.account
	s.dequeue(r)
	s.chargeTokens(a, r)
	r.runsOn, r.placement = e, p
	if p != nil {
		p.running++
		p.lastUsed = now
	}
	e.start(now, r)
	if r.Isolated {
		s.recheckEndpoint(e)
	}
	s.actions = append(s.actions, Action{Kind: Dispatch, ID: r.ID, Endpoint: e.spec.Name, Adapter: r.Adapter})
}

// fillEndpoints dispatches queued items to the endpoints that may have got room since the last
// Decide.
func (s *scheduler) fillEndpoints(now time.Time) {
	for _, e := range s.endpoints {
		if !e.mayHaveRoom {
			continue
		}
		e.mayHaveRoom = false
		for s.queuedItems > 0 {
			l, p := s.nextLane(e)
			if l == nil {
				break
			}
			s.dispatch(now, l.head, e, p)
		}
	}
}

// nextLane returns the lane whose head e should run next, and the placement of its adapter. Lanes are
// ordered by class, then by the virtual token count of the account, then by arrival.
func (s *scheduler) nextLane(e *endpointView) (*lane, *placement) {
	if !e.hasRoom(interactive, s.cfg.BatchRunningShare) {
		return nil, nil
	}
	var best [classCount]*lane
	var placements [classCount]*placement
	for _, p := range e.placements {
		if p.state == adapterResident && p.adapter.waitingIndex >= 0 {
			s.bestLanes(e, p.adapter, p, &best, &placements)
		}
	}
	if a := s.adapters[noAdapter]; a != nil && a.waitingIndex >= 0 {
		s.bestLanes(e, a, nil, &best, &placements)
	}
	if best[batch] != nil && !e.hasRoom(batch, s.cfg.BatchRunningShare) {
		best[batch] = nil
	}
	class := e.nextClass(best, s.cfg.BatchShare)
	return best[class], placements[class]
}

// bestLanes replaces the entries of best by those lanes of a that come before them.
func (s *scheduler) bestLanes(e *endpointView, a *adapter, p *placement, best *[classCount]*lane, placements *[classCount]*placement) {
	for _, l := range a.lanes {
		c := l.class
		if best[c] != nil && !runsBefore(l, best[c]) {
			continue
		}
		if s.mayRun(l, e) {
			best[c], placements[c] = l, p
		}
	}
}

// runsBefore reports whether the head of l runs before the head of m. Both lanes are of the same
// class.
func runsBefore(l, m *lane) bool {
	a, b := l.account.virtualTokens[l.class], m.account.virtualTokens[m.class]
	if l.account != m.account && a != b {
		return a < b
	}
	return l.head.seq < m.head.seq
}

// nextClass returns the class to serve next. Interactive items go first, but each one dispatched
// while batch items wait gives these credit for a share of its tokens.
func (e *endpointView) nextClass(best [classCount]*lane, share float64) int {
	if best[interactive] == nil {
		return batch
	}
	if best[batch] == nil {
		return interactive
	}
	if e.batchCredit >= float64(best[batch].head.Tokens) {
		e.batchCredit -= float64(best[batch].head.Tokens)
		return batch
	}
	e.batchCredit += share * float64(best[interactive].head.Tokens)
	return interactive
}

// mayRun reports whether e, which has the adapter, may run items of l. It does not check whether e
// has room.
func (s *scheduler) mayRun(l *lane, e *endpointView) bool {
	if !e.alive() {
		return false
	}
	if len(e.avoided) > 0 && e.avoided[l.adapter.version] {
		return false
	}
	return !l.constrained || satisfiesConstraints(l.head, e)
}

// satisfiesConstraints reports whether e meets the constraints of r, which is not pinned to an
// endpoint.
func satisfiesConstraints(r *request, e *endpointView) bool {
	if r.Isolated && e.runningIsolated > 0 {
		return false
	}
	return !slices.Contains(r.Exclude, e.spec.Name)
}

// countUsableEndpoints counts the endpoints that have l's adapter and may run its items.
func (s *scheduler) countUsableEndpoints(l *lane) int {
	n := 0
	if l.adapter.version == noAdapter {
		for _, e := range s.endpoints {
			if s.mayRun(l, e) {
				n++
			}
		}
		return n
	}
	for _, p := range l.adapter.placements {
		if p.state == adapterResident && s.mayRun(l, p.endpoint) {
			n++
		}
	}
	return n
}

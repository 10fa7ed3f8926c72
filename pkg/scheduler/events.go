package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/result"
)

// fire applies event to the state of the endpoint. The chart accepts or ignores every event in every
// state, so there is no error to handle.
func (e *endpointView) fire(event chart.Event) {
	next, err := endpointChart.Next(e.state, event)
	if err != nil {
		return
	}
	if next == endpointAlive && e.state != endpointAlive {
		e.mayHaveRoom = true
	}
	e.state = next
}

// syncState updates the state of e according to whether it is leaving and whether it is a plain
// service, which sends no reports.
func (s *scheduler) syncState(e *endpointView) {
	if e.spec.Leaving || e.draining {
		e.fire(eventLeave)
		return
	}
	e.fire(eventReturn)
	if e.spec.Service && e.state == endpointUnknown {
		e.fire(eventReport)
	}
}

func (e *endpointView) start(now time.Time, r *request) {
	e.running++
	if r.class == batch {
		e.runningBatch++
	}
	if r.Isolated {
		e.runningIsolated++
	}
	e.load.add(now, 1)
}

func (e *endpointView) finish(now time.Time, r *request) {
	e.running--
	e.hasOrphans = e.hasOrphans && e.running > 0
	if r.class == batch {
		e.runningBatch--
	}
	if r.Isolated {
		e.runningIsolated--
	}
	e.load.add(now, -1)
}

// ensurePlacement returns the placement of a on e and creates it if there is none.
func (s *scheduler) ensurePlacement(now time.Time, a *adapter, e *endpointView) *placement {
	if p := a.placementOn(e); p != nil {
		return p
	}
	p := &placement{adapter: a, endpoint: e, state: adapterAbsent, stateChanged: now}
	a.placements = append(a.placements, p)
	e.placements = append(e.placements, p)
	if e.hasOrphans {
		s.adoptRequests(p)
	}
	return p
}

// adoptRequests assigns to p the running requests that were dispatched to an earlier placement of its
// adapter on the same endpoint.
func (s *scheduler) adoptRequests(p *placement) {
	for _, r := range s.requests {
		if r.lane == nil && r.runsOn == p.endpoint && r.Adapter == p.adapter.version {
			r.placement = p
			p.running++
		}
	}
}

// fire applies event to the state of the placement, and deletes the placement if it has become
// absent.
func (s *scheduler) fire(now time.Time, p *placement, event chart.Event) error {
	next, err := adapterChart.Next(p.state, event)
	if err != nil {
		return err
	}
	if next != p.state {
		p.state, p.stateChanged = next, now
		s.recheckAdapter(p.adapter)
		p.endpoint.mayHaveRoom = true
	}
	if next == adapterAbsent {
		p.endpoint.removedAt[p.adapter.version] = now
		p.endpoint.hasOrphans = p.endpoint.hasOrphans || p.running > 0
		p.adapter.placements = remove(p.adapter.placements, p)
		p.endpoint.placements = remove(p.endpoint.placements, p)
	}
	return nil
}

func remove(placements []*placement, p *placement) []*placement {
	if i := slices.Index(placements, p); i >= 0 {
		return slices.Delete(placements, i, i+1)
	}
	return placements
}

// markLost records that the adapter of p is no longer on the endpoint. The chart ignores or accepts
// this event in every state.
func (s *scheduler) markLost(now time.Time, p *placement) {
	_ = s.fire(now, p, eventLost)
}

// clearView discards the placements, cached prefixes and load records of e. Requests of this owner
// that are still running stay counted.
func (s *scheduler) clearView(now time.Time, e *endpointView) {
	for _, p := range slices.Clone(e.placements) {
		s.markLost(now, p)
	}
	clear(e.removedAt)
	clear(e.prefixes)
	e.load.reset()
	for range e.running {
		e.load.add(now, 1)
	}
}

// handleRefusal updates the view of e after it refused a request that was dispatched to it.
func (s *scheduler) handleRefusal(now time.Time, e *endpointView, p *placement, refused error) {
	switch {
	case errors.Is(refused, endpoint.ErrNotLoaded) && p != nil:
		s.markLost(now, p)
	case errors.Is(refused, endpoint.ErrRefused):
		s.Unreachable(now, e.spec.Name)
	case errors.Is(refused, endpoint.ErrBusy):
		e.load.reported = max(e.load.reported, e.spec.MaxRunning-e.load.sum)
	}
}

// Loaded implements Scheduler.
func (s *scheduler) Loaded(now time.Time, name string, version endpoint.AdapterVersion, err error) {
	e, a := s.endpoint(name), s.adapters[version]
	s.loadsDue = true
	s.nextPermitAt = time.Time{}
	if e == nil || a == nil {
		return
	}
	e.endOrder(version)
	s.finishEviction(now, e, a, err)
	p := a.placementOn(e)
	if p == nil || p.state != adapterLoading {
		return
	}
	if err == nil {
		s.loadBudget.recordLoad(now, now.Sub(p.stateChanged))
		_ = s.fire(now, p, eventLoaded)
		a.failures, a.failedOn, a.notBefore = 0, nil, time.Time{}
		e.loadFailures, e.loadsNotBefore = 0, time.Time{}
		return
	}
	_ = s.fire(now, p, eventLoadFailed)
	if errors.Is(err, endpoint.ErrRefused) {
		s.Unreachable(now, name)
	}
	if notAttempted(err) {
		a.notBefore = now.Add(s.cfg.LoadBackoff)
		return
	}
	s.loadFailed(now, e, a)
}

// notAttempted reports whether a load failed for a reason that does not concern the adapter.
func notAttempted(err error) bool {
	return errors.Is(err, endpoint.ErrInUse) || errors.Is(err, endpoint.ErrFenced) ||
		errors.Is(err, endpoint.ErrNoSlot) || errors.Is(err, endpoint.ErrRefused)
}

// endOrder records that a load order has ended.
func (e *endpointView) endOrder(version endpoint.AdapterVersion) {
	e.openOrders[version]--
	if e.openOrders[version] <= 0 {
		delete(e.openOrders, version)
	}
}

// finishEviction finishes unloading the adapter whose slot on e was given to a.
func (s *scheduler) finishEviction(now time.Time, e *endpointView, a *adapter, err error) {
	for _, p := range e.placements {
		if p.replacedBy != a {
			continue
		}
		p.replacedBy = nil
		if errors.Is(err, endpoint.ErrInUse) || errors.Is(err, endpoint.ErrFenced) {
			p.foreignUse = true
			_ = s.fire(now, p, eventUnloadFailed)
			return
		}
		_ = s.fire(now, p, eventUnloaded)
		return
	}
}

// loadFailed records a failed load of a on e and sets the backoff of both.
func (s *scheduler) loadFailed(now time.Time, e *endpointView, a *adapter) {
	a.failures++
	e.loadsNotBefore = now.Add(backoff(s.cfg.EndpointBackoff, e.loadFailures, s.cfg.EndpointBackoffMax))
	e.loadFailures++
	if !slices.Contains(a.failedOn, e.spec.Name) {
		a.failedOn = append(a.failedOn, e.spec.Name)
	}
	a.notBefore = now.Add(backoff(s.cfg.LoadBackoff, a.failures-1, s.cfg.LoadCooldown))
	if a.failures < s.cfg.LoadAttempts {
		return
	}
	a.failures, a.failedOn = 0, nil
	a.brokenUntil = now.Add(s.cfg.LoadCooldown)
	a.notBefore = a.brokenUntil
	s.refuseUnloadable(a)
}

// backoff returns first, doubled once for each failure, up to limit.
func backoff(first time.Duration, failures int, limit time.Duration) time.Duration {
	for range failures {
		if first >= limit {
			break
		}
		first *= 2
	}
	return min(first, limit)
}

// refuseUnloadable refuses the queued items of an adapter whose loads have failed, except for those
// that may run on an endpoint that already has it.
func (s *scheduler) refuseUnloadable(a *adapter) {
	for _, l := range slices.Clone(a.lanes) {
		if s.countUsableEndpoints(l) > 0 {
			continue
		}
		for l.size > 0 {
			s.refuse(l.head, refusal(result.LoadFailed, "loads of the adapter fail", s.cfg.LoadCooldown))
		}
	}
}

// Unloaded implements Scheduler.
func (s *scheduler) Unloaded(now time.Time, name string, version endpoint.AdapterVersion, err error) {
	e, a := s.endpoint(name), s.adapters[version]
	if e == nil || a == nil {
		return
	}
	p := a.placementOn(e)
	if p == nil {
		return
	}
	if err != nil {
		p.foreignUse = true
		_ = s.fire(now, p, eventUnloadFailed)
		return
	}
	_ = s.fire(now, p, eventUnloaded)
}

// Report implements Scheduler.
func (s *scheduler) Report(now time.Time, name string, report endpoint.LoadReport) {
	e := s.endpoint(name)
	if e == nil {
		return
	}
	takenAt := now.Add(-report.Age)
	if e.incarnation != "" && e.incarnation != report.Incarnation {
		s.clearView(now, e)
		e.fire(eventRestart)
	}
	e.incarnation = report.Incarnation
	e.draining = report.Draining
	e.load.report(takenAt, report.Running+report.Waiting)
	if report.Slots > 0 && e.spec.Slots == 0 {
		e.spec.Slots = report.Slots
	}
	s.reconcile(now, takenAt, e, report.Loaded)
	before := e.state
	s.syncState(e)
	e.fire(eventReport)
	if e.state != before {
		s.recheckEndpoint(e)
	}
	e.mayHaveRoom = true
	s.loadsDue = true
}

// reconcile updates the placements on e from a report taken at takenAt. It does not touch placements
// that changed after that time.
func (s *scheduler) reconcile(now, takenAt time.Time, e *endpointView, loaded []endpoint.LoadedAdapter) {
	for _, p := range slices.Clone(e.placements) {
		if p.state == adapterResident && p.stateChanged.Before(takenAt) && !reported(loaded, p.adapter.version) {
			s.markLost(now, p)
		}
	}
	for _, l := range loaded {
		s.recordLoaded(now, takenAt, e, l)
	}
	maps.DeleteFunc(e.removedAt, func(_ endpoint.AdapterVersion, at time.Time) bool { return at.Before(takenAt) })
	if !e.takenOverAt.IsZero() && takenAt.After(e.takenOverAt) {
		e.takenOverAt = time.Time{}
	}
}

// reported reports whether loaded contains version.
func reported(loaded []endpoint.LoadedAdapter, version endpoint.AdapterVersion) bool {
	for _, l := range loaded {
		if l.AdapterVersion == version {
			return true
		}
	}
	return false
}

// recordLoaded records that e had l loaded at takenAt.
func (s *scheduler) recordLoaded(now, takenAt time.Time, e *endpointView, l endpoint.LoadedAdapter) {
	a := s.adapter(l.AdapterVersion)
	p := a.placementOn(e)
	if p == nil {
		if removed, ok := e.removedAt[l.AdapterVersion]; ok && !removed.Before(takenAt) {
			return
		}
		p = s.ensurePlacement(now, a, e)
		p.idleUnconfirmed = !e.takenOverAt.IsZero()
		p.lastUsed = takenAt.Add(-1)
		_ = s.fire(now, p, eventSeen)
	}
	if p.state != adapterResident {
		return
	}
	if p.running == 0 && p.lastUsed.Before(takenAt) {
		p.foreignUse = l.Running > 0
	}
	if l.Running == 0 && (e.takenOverAt.IsZero() || takenAt.After(e.takenOverAt)) {
		p.idleUnconfirmed = false
	}
}

// Unreachable implements Scheduler.
func (s *scheduler) Unreachable(now time.Time, name string) {
	e := s.endpoint(name)
	if e == nil {
		return
	}
	e.fire(eventUnreachable)
	e.downUntil = now.Add(s.cfg.ServiceRetry)
	s.recheckEndpoint(e)
}

// TakenOver implements Scheduler.
func (s *scheduler) TakenOver(now time.Time, _ bool) {
	for _, e := range s.endpoints {
		e.takenOverAt = now
		for _, p := range e.placements {
			p.idleUnconfirmed = true
		}
	}
}

// AvoidAdapter implements Scheduler.
func (s *scheduler) AvoidAdapter(name string, version endpoint.AdapterVersion) {
	if e := s.endpoint(name); e != nil {
		e.avoided[version] = true
		s.recheckAdapter(s.adapter(version))
	}
}

// AllowAdapter implements Scheduler.
func (s *scheduler) AllowAdapter(name string, version endpoint.AdapterVersion) {
	if e := s.endpoint(name); e != nil {
		delete(e.avoided, version)
		e.mayHaveRoom = true
		s.recheckAdapter(s.adapter(version))
	}
}

package gatewayd

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/evacuation"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// Names of the gauge of evacuated failure domains, and of the counter of requests, orders and probes that were about to be sent
// to one and were withheld.
const (
	metricEvacuatedDomains  = "gateway.evacuated_domains"
	metricEvacuatedWithheld = "upstream.withheld"
)

// applyEvacuations applies the operator's rows that evacuate failure domains, as read at a position of their table; see
// evacuation.Update.
func (v *fleetView) applyEvacuations(rows []evacuation.Row, position uint64) {
	v.changeEvacuations(func(now time.Time) evacuation.Change {
		return v.evacuations.Apply(evacuation.Update{
			Rows: rows, Position: position, Current: v.operatorConfirmedAt, Now: now, Within: v.evacuateWithin(),
		})
	})
}

// expireEvacuations ends the evacuations that were kept although their rows are missing.
func (v *fleetView) expireEvacuations() {
	if v.changeEvacuations(v.evacuations.Expire) {
		v.onChange()
	}
}

// changeEvacuations changes the set of evacuated domains and applies the change to the endpoint list. It reports whether there was
// a change.
func (v *fleetView) changeEvacuations(apply func(now time.Time) evacuation.Change) bool {
	v.replaceMu.Lock()
	defer v.replaceMu.Unlock()
	now := time.Now()
	v.mu.Lock()
	change := apply(now)
	next := v.evacuations.NextExpiry()
	if change.Any() {
		v.evacuationChanges++
	}
	v.mu.Unlock()
	if !next.IsZero() {
		time.AfterFunc(next.Sub(now), v.expireEvacuations)
	}
	if !change.Any() {
		return false
	}
	old := v.roster.View()
	v.logEvacuations(change, old)
	if restored := endpointsIn(old, change.Restored); len(restored) > 0 {
		// Before the endpoints get requests again, because they may be cold.
		v.onRestored(restored)
	}
	v.setEndpoints(old, slices.Clone(old.All()))
	return true
}

// endpointsIn returns the endpoints in the domains.
func endpointsIn(view *roster.View, domains []evacuation.Domain) []roster.Endpoint {
	var list []roster.Endpoint
	for _, e := range view.All() {
		if slices.ContainsFunc(domains, func(d evacuation.Domain) bool { return d.Name == e.FailureDomain }) {
			list = append(list, e)
		}
	}
	return list
}

func (v *fleetView) logEvacuations(c evacuation.Change, view *roster.View) {
	for _, d := range c.Emptied {
		endpoints := len(endpointsIn(view, []evacuation.Domain{d}))
		entry := v.log.WithFields(logrus.Fields{
			"event": "failure_domain_emptied", "domain": d.Name, "version": platform.CounterOf(d.Position), "endpoints": endpoints,
			"nothing_sent_after": d.From.Sub(d.Since).Round(time.Millisecond),
		})
		if endpoints == 0 && view.Len() > 0 {
			entry.Warn("operator evacuates a failure domain that contains no endpoint now")
			continue
		}
		entry.Info("operator evacuates a failure domain")
	}
	for _, d := range c.Restored {
		v.log.WithFields(logrus.Fields{
			"event": "failure_domain_restored", "domain": d.Name, "version": platform.CounterOf(v.evacuationPosition()),
			"endpoints": len(endpointsIn(view, []evacuation.Domain{d})), "evacuated_for": time.Since(d.Since).Round(time.Millisecond),
		}).Info("evacuation of a failure domain ended")
	}
}

// markEvacuated sets for each endpoint from when on nothing may be sent to it, whatever the list says.
func (v *fleetView) markEvacuated(list []roster.Endpoint) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for i := range list {
		domain, _ := v.evacuations.Domain(list[i].FailureDomain)
		list[i].EvacuatedFrom = domain.From
	}
}

// evacuationPosition returns the position of the operator's table that the set of evacuated domains corresponds to.
func (v *fleetView) evacuationPosition() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.evacuations.Position()
}

// evacuatedDomains returns the evacuated domains, sorted by name.
func (v *fleetView) evacuatedDomains() []evacuation.Domain {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.evacuations.Domains()
}

// evacuationState returns the evacuated domains for the dump of the process's state.
func (v *fleetView) evacuationState(now time.Time) []EvacuatedDomainState {
	view := v.roster.View()
	var states []EvacuatedDomainState
	for _, d := range v.evacuatedDomains() {
		states = append(states, EvacuatedDomainState{
			Domain: d.Name, Since: d.Since.UTC().Format(time.RFC3339Nano), For: formatDuration(now.Sub(d.Since)),
			Moving: formatDuration(max(d.From.Sub(now), 0)), Kept: d.Kept(), Endpoints: len(endpointsIn(view, []evacuation.Domain{d})),
		})
	}
	return states
}

// evacuationChangeCount returns how often the set of evacuated domains has changed.
func (v *fleetView) evacuationChangeCount() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.evacuationChanges
}

// mayReach returns an error that wraps upstream.ErrWithheld if nothing may be sent to an endpoint now. The time for which this VM
// was suspended since it learned of an evacuation counts.
func (v *fleetView) mayReach(target upstream.Target) error {
	e, listed := v.roster.View().Endpoint(target.ID)
	if !listed || !e.Evacuating() {
		return nil
	}
	v.mu.RLock()
	d, evacuated := v.evacuations.Domain(e.FailureDomain)
	v.mu.RUnlock()
	if !evacuated || clock.Elapsed(d.Since, time.Now()) < d.From.Sub(d.Since) {
		return nil
	}
	return errors.Wrap(upstream.ErrWithheld, fmt.Sprintf("failure domain %s is evacuated", e.FailureDomain))
}

// mayRun returns an error that wraps upstream.ErrWithheld if no request of a caller may be sent to an endpoint any more. It may have
// been placed there before the endpoint left.
func (v *fleetView) mayRun(target upstream.Target) error {
	e, listed := v.roster.View().Endpoint(target.ID)
	switch {
	case !listed || e.Started != target.Started:
		return errors.Wrap(upstream.ErrWithheld, "the endpoint is no longer on the list")
	case e.Draining:
		return errors.Wrap(upstream.ErrWithheld, "the endpoint is leaving")
	}
	return nil
}

// evacuateWithin returns the time within which nothing more may reach an evacuated domain.
func (b Bounds) evacuateWithin() time.Duration {
	if b.Evacuation > 0 {
		return b.Evacuation
	}
	return evacuation.DefaultWithin
}

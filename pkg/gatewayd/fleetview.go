package gatewayd

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/allowance"
	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/suspect"
)

// fleetView are what the process knows of the operator's rows and the endpoints.
type fleetView struct {
	platform Platform
	log      logrus.FieldLogger
	roster   *roster.Roster
	rules    atomic.Pointer[gateway.Rules]
	// onChange is called after the list of endpoints or the configuration has changed. It is set before
	// the followers run.
	onChange func()
	// onEndpointRead is called with each endpoint that this VM itself has read from the list. It is set before
	// anything is read.
	onEndpointRead func(roster.Endpoint)

	// replaceMu is held while the list of endpoints is replaced.
	replaceMu sync.Mutex

	mu sync.RWMutex
	// The fields below are guarded by mu.

	newestVersions map[residency.Key]int
	// leaving are the runs of endpoints that have said in an answer that they leave, each with when it was last listed.
	leaving   map[roster.Incarnation]time.Time
	malformed map[string][]byte
	// operatorConfirmedAt and endpointsConfirmedAt are the moments up to which the operator's rows and the list of
	// endpoints are known to be current.
	operatorConfirmedAt, endpointsConfirmedAt time.Time
	// endpointsPosition is that of the table that the list of endpoints is of.
	endpointsPosition uint64
}

func newFleetView(p Platform, log logrus.FieldLogger) *fleetView {
	return &fleetView{
		platform: p, log: log, roster: roster.New(), onChange: func() {}, onEndpointRead: func(roster.Endpoint) {},
		newestVersions: map[residency.Key]int{}, leaving: map[roster.Incarnation]time.Time{}, malformed: map[string][]byte{},
	}
}

// applyOperatorRows takes in the operator's rows. Versions never go back.
func (v *fleetView) applyOperatorRows(rows map[string][]byte) {
	for key, value := range rows {
		decoded, err := v.platform.DecodeOperator(key, value)
		if err != nil {
			v.logMalformed("operator_row_malformed", key, value, err)
			continue
		}
		if decoded.Config != nil {
			v.applyConfig(decoded.Config)
		}
		if decoded.Version != nil {
			v.applyAdapterVersion(*decoded.Version)
		}
	}
	v.onChange()
}

func (v *fleetView) applyConfig(config *bundle.Bundle) {
	old := v.rules.Load()
	if old != nil && old.Bundle.Version >= config.Version {
		return
	}
	v.rules.Store(gateway.NewRules(config))
	for _, a := range config.Accounts {
		if old == nil || old.Bundle.Accounts[a.Name] != a {
			v.log.WithFields(logrus.Fields{"event": "account_limit", "account": a.Name, "rate": a.Rate, "burst": a.Burst}).Info()
		}
	}
	v.log.WithFields(logrus.Fields{
		"event": "config_in_force", "version": config.Version, "routes": len(config.Routes),
		"accounts": len(config.Accounts), "keys": len(config.Keys),
	}).Info()
}

func (v *fleetView) applyAdapterVersion(a roster.Adapter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	key := residency.KeyOf(a)
	if v.newestVersions[key] >= a.Version {
		return
	}
	v.newestVersions[key] = a.Version
	v.log.WithFields(logrus.Fields{"event": "adapter_version", "adapter": a.Name, "version": a.Version}).Info()
}

// newestVersion returns the newest version of an adapter that the operator has declared; 0 if none.
func (v *fleetView) newestVersion(key residency.Key) int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.newestVersions[key]
}

// logMalformed logs a row that cannot be read, once for each value of it.
func (v *fleetView) logMalformed(event, key string, value []byte, err error) {
	v.mu.Lock()
	known := bytes.Equal(v.malformed[key], value)
	v.malformed[key] = value
	v.mu.Unlock()
	if !known {
		v.log.WithError(err).WithFields(logrus.Fields{"event": event, "key": key}).Warn()
	}
}

// applyEndpoints takes in the list of endpoints as of a position of its table, which was current at confirmed.
// A list of another VM may be older than the one known: it is left out. An endpoint that has been seen to leave
// does not come back, and one that this VM knows to be off the list is not listed again because another VM,
// for which the store was away, keeps it.
func (v *fleetView) applyEndpoints(list []roster.Endpoint, position uint64, confirmed time.Time) {
	if v.replaceEndpoints(list, position, confirmed) {
		v.onChange()
	}
}

// replaceEndpoints is applyEndpoints without telling others. It reports false if the list is left out.
func (v *fleetView) replaceEndpoints(list []roster.Endpoint, position uint64, confirmed time.Time) bool {
	v.replaceMu.Lock()
	defer v.replaceMu.Unlock()
	if !v.acceptPosition(position, confirmed) {
		return false
	}
	old := v.roster.View()
	first := len(old.All()) == 0
	list = slices.DeleteFunc(list, func(e roster.Endpoint) bool {
		before, known := old.Endpoint(e.ID)
		return e.Kept && !first && (!known || before.Incarnation != e.Incarnation)
	})
	for i, e := range list {
		before, known := old.Endpoint(e.ID)
		if known && before.Incarnation == e.Incarnation && before.Draining {
			list[i].Draining = true
		}
	}
	v.setEndpoints(old, list)
	return true
}

// setEndpoints replaces the list of endpoints. b.lists is held.
func (v *fleetView) setEndpoints(old *roster.View, list []roster.Endpoint) {
	v.markLeaving(list, time.Now())
	view := roster.NewView(list)
	v.logEndpointChanges(old, view)
	v.roster.Set(view)
}

// leavingRetention is how long it is known that a run of an endpoint has said that it leaves after it was last listed: lists
// of a VM that was cut off may bring it back.
const leavingRetention = 10 * time.Minute

// markLeaving marks the endpoints that have said that they leave, whatever the list says.
func (v *fleetView) markLeaving(list []roster.Endpoint, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, e := range list {
		if _, left := v.leaving[e.Incarnation]; left {
			list[i].Draining = true
			v.leaving[e.Incarnation] = now
		}
	}
	maps.DeleteFunc(v.leaving, func(_ roster.Incarnation, listed time.Time) bool { return now.Sub(listed) > leavingRetention })
}

// recordLeaving takes in that a run of an endpoint has said in an answer that it leaves. It reports false if that was known.
func (v *fleetView) recordLeaving(id roster.Incarnation) bool {
	v.mu.Lock()
	_, known := v.leaving[id]
	v.leaving[id] = time.Now()
	v.mu.Unlock()
	if known {
		return false
	}
	v.log.WithFields(logrus.Fields{"event": "endpoint_leaves", "endpoint": id.ID, "started": id.Started}).Info()
	v.replaceMu.Lock()
	old := v.roster.View()
	v.setEndpoints(old, slices.Clone(old.All()))
	v.replaceMu.Unlock()
	v.onChange()
	return true
}

// acceptPosition reports whether a list of endpoints is no older than the one known, and notes its position. A lower
// position that is confirmed later is one of a table that was made anew.
func (v *fleetView) acceptPosition(position uint64, confirmed time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if position < v.endpointsPosition && !confirmed.After(v.endpointsConfirmedAt) {
		v.log.WithFields(logrus.Fields{
			"event": "endpoints_outdated", "position": position, "known": v.endpointsPosition,
			"behind": v.endpointsConfirmedAt.Sub(confirmed).Round(time.Millisecond),
		}).Info()
		return false
	}
	v.endpointsPosition = position
	return true
}

// confirm notes the moments up to which what is believed is known to be current.
func (v *fleetView) confirm(operator, endpoints time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if operator.After(v.operatorConfirmedAt) {
		v.operatorConfirmedAt = operator
	}
	if endpoints.After(v.endpointsConfirmedAt) {
		v.endpointsConfirmedAt = endpoints
	}
}

// rulesAge returns how old what is believed of the operator's rows may be.
func (v *fleetView) rulesAge() time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return ageSince(v.operatorConfirmedAt)
}

// endpointsAge returns how old the list of endpoints may be.
func (v *fleetView) endpointsAge() time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return ageSince(v.endpointsConfirmedAt)
}

// unknownAge is the age of what was never known.
const unknownAge = 24 * time.Hour

func ageSince(confirmed time.Time) time.Duration {
	if confirmed.IsZero() {
		return unknownAge
	}
	return clock.Elapsed(confirmed, time.Now())
}

// logEndpointChanges logs the endpoints that have come, gone, or changed their state.
func (v *fleetView) logEndpointChanges(old, view *roster.View) {
	for _, e := range view.All() {
		before, known := old.Endpoint(e.ID)
		if known && before.Incarnation == e.Incarnation && before.Draining == e.Draining {
			continue
		}
		v.log.WithFields(logrus.Fields{
			"event": "endpoint_listed", "endpoint": e.ID, "group": e.Group, "address": e.Address,
			"started": e.Started, "draining": e.Draining,
		}).Info()
	}
	for _, e := range old.All() {
		if _, still := view.Endpoint(e.ID); !still {
			v.log.WithFields(logrus.Fields{"event": "endpoint_unlisted", "endpoint": e.ID, "group": e.Group}).Info()
		}
	}
}

// accountLimit returns a client account's limit.
func (v *fleetView) accountLimit(account string) (allowance.Limit, bool) {
	rules := v.rules.Load()
	if rules == nil {
		return allowance.Limit{}, false
	}
	a, ok := rules.Bundle.Accounts[account]
	return allowance.Limit{Rate: a.Rate, Burst: a.Burst}, ok
}

// accountNames returns the names of the client accounts.
func (v *fleetView) accountNames() []string {
	rules := v.rules.Load()
	if rules == nil {
		return nil
	}
	names := make([]string, 0, len(rules.Bundle.Accounts))
	for name := range rules.Bundle.Accounts {
		names = append(names, name)
	}
	return names
}

// engineSpec returns what is known of a group's engines.
func (v *fleetView) engineSpec(group string) (orders.Spec, bool) {
	rules := v.rules.Load()
	if rules == nil || rules.Bundle.Groups[group].Engine == nil {
		return orders.Spec{}, false
	}
	g := rules.Bundle.Groups[group]
	return orders.Spec{
		Places: g.Engine.MaxAdapters, Slots: g.Engine.Slots, CacheTokens: g.Engine.CacheTokens, Model: g.Model, ModelLoad: g.Engine.ModelLoad,
	}, true
}

// group returns what the configuration says of an endpoint group.
func (v *fleetView) group(name string) (bundle.Group, bool) {
	rules := v.rules.Load()
	if rules == nil {
		return bundle.Group{}, false
	}
	g, ok := rules.Bundle.Groups[name]
	return g, ok
}

// listing returns what the list says of a run of an endpoint.
func (v *fleetView) listing(e roster.Endpoint) suspect.Listing {
	now, listed := v.roster.View().Endpoint(e.ID)
	switch {
	case !listed || now.Started == e.Started && now.Draining:
		return suspect.Leaving
	case now.Started > e.Started:
		return suspect.Replaced
	}
	return suspect.Current
}

// configVersion returns the version of the configuration in force; 0 before the first.
func (v *fleetView) configVersion() uint64 {
	rules := v.rules.Load()
	if rules == nil {
		return 0
	}
	return rules.Bundle.Version
}

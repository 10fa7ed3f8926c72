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

// beliefs are what the process knows of the operator's rows and the endpoints.
type beliefs struct {
	platform Platform
	log      logrus.FieldLogger
	roster   *roster.Roster
	rules    atomic.Pointer[gateway.Rules]
	// changed is called after the list of endpoints or the configuration has changed. It is set before
	// the followers run.
	changed func()
	// seen is called with each endpoint that this VM itself has read from the list. It is set before
	// anything is read.
	seen func(roster.Endpoint)

	// lists is held while the list of endpoints is replaced.
	lists sync.Mutex

	mu sync.RWMutex
	// The fields below are guarded by mu.

	newest map[residency.Key]int
	// leaving are the runs of endpoints that have said in an answer that they leave, each with when it was last listed.
	leaving   map[roster.Incarnation]time.Time
	malformed map[string][]byte
	// operatorAt and endpointsAt are the moments up to which the operator's rows and the list of
	// endpoints are known to be current.
	operatorAt, endpointsAt time.Time
	// position is that of the table that the list of endpoints is of.
	position uint64
}

func newBeliefs(p Platform, log logrus.FieldLogger) *beliefs {
	return &beliefs{
		platform: p, log: log, roster: roster.New(), changed: func() {}, seen: func(roster.Endpoint) {},
		newest: map[residency.Key]int{}, leaving: map[roster.Incarnation]time.Time{}, malformed: map[string][]byte{},
	}
}

// takeOperator takes in the operator's rows. Versions never go back.
func (b *beliefs) takeOperator(rows map[string][]byte) {
	for key, value := range rows {
		decoded, err := b.platform.DecodeOperator(key, value)
		if err != nil {
			b.logMalformed("operator_row_malformed", key, value, err)
			continue
		}
		if decoded.Config != nil {
			b.takeConfig(decoded.Config)
		}
		if decoded.Version != nil {
			b.takeVersion(*decoded.Version)
		}
	}
	b.changed()
}

func (b *beliefs) takeConfig(config *bundle.Bundle) {
	old := b.rules.Load()
	if old != nil && old.Bundle.Version >= config.Version {
		return
	}
	b.rules.Store(gateway.NewRules(config))
	for _, a := range config.Accounts {
		if old == nil || old.Bundle.Accounts[a.Name] != a {
			b.log.WithFields(logrus.Fields{"event": "account_limit", "account": a.Name, "rate": a.Rate, "burst": a.Burst}).Info()
		}
	}
	b.log.WithFields(logrus.Fields{
		"event": "config_in_force", "version": config.Version, "routes": len(config.Routes),
		"accounts": len(config.Accounts), "keys": len(config.Keys),
	}).Info()
}

func (b *beliefs) takeVersion(a roster.Adapter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := residency.KeyOf(a)
	if b.newest[key] >= a.Version {
		return
	}
	b.newest[key] = a.Version
	b.log.WithFields(logrus.Fields{"event": "adapter_version", "adapter": a.Name, "version": a.Version}).Info()
}

// newestOf returns the newest version of an adapter that the operator has declared; 0 if none.
func (b *beliefs) newestOf(key residency.Key) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.newest[key]
}

// logMalformed logs a row that cannot be read, once for each value of it.
func (b *beliefs) logMalformed(event, key string, value []byte, err error) {
	b.mu.Lock()
	known := bytes.Equal(b.malformed[key], value)
	b.malformed[key] = value
	b.mu.Unlock()
	if !known {
		b.log.WithError(err).WithFields(logrus.Fields{"event": event, "key": key}).Warn()
	}
}

// takeEndpoints takes in the list of endpoints as of a position of its table, which was current at confirmed.
// A list of another VM may be older than the one known: it is left out. An endpoint that has been seen to leave
// does not come back, and one that this VM knows to be off the list is not listed again because another VM,
// for which the store was away, keeps it.
func (b *beliefs) takeEndpoints(list []roster.Endpoint, position uint64, confirmed time.Time) {
	if b.replaceEndpoints(list, position, confirmed) {
		b.changed()
	}
}

// replaceEndpoints is takeEndpoints without telling others. It reports false if the list is left out.
func (b *beliefs) replaceEndpoints(list []roster.Endpoint, position uint64, confirmed time.Time) bool {
	b.lists.Lock()
	defer b.lists.Unlock()
	if !b.advance(position, confirmed) {
		return false
	}
	old := b.roster.View()
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
	b.setEndpoints(old, list)
	return true
}

// setEndpoints replaces the list of endpoints. b.lists is held.
func (b *beliefs) setEndpoints(old *roster.View, list []roster.Endpoint) {
	b.markLeaving(list, time.Now())
	view := roster.NewView(list)
	b.logEndpoints(old, view)
	b.roster.Set(view)
}

// leavingMemory is how long it is known that a run of an endpoint has said that it leaves after it was last listed: lists
// of a VM that was cut off may bring it back.
const leavingMemory = 10 * time.Minute

// markLeaving marks the endpoints that have said that they leave, whatever the list says.
func (b *beliefs) markLeaving(list []roster.Endpoint, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, e := range list {
		if _, left := b.leaving[e.Incarnation]; left {
			list[i].Draining = true
			b.leaving[e.Incarnation] = now
		}
	}
	maps.DeleteFunc(b.leaving, func(_ roster.Incarnation, listed time.Time) bool { return now.Sub(listed) > leavingMemory })
}

// takeLeaving takes in that a run of an endpoint has said in an answer that it leaves. It reports false if that was known.
func (b *beliefs) takeLeaving(id roster.Incarnation) bool {
	b.mu.Lock()
	_, known := b.leaving[id]
	b.leaving[id] = time.Now()
	b.mu.Unlock()
	if known {
		return false
	}
	b.log.WithFields(logrus.Fields{"event": "endpoint_leaves", "endpoint": id.ID, "started": id.Started}).Info()
	b.lists.Lock()
	old := b.roster.View()
	b.setEndpoints(old, slices.Clone(old.All()))
	b.lists.Unlock()
	b.changed()
	return true
}

// advance reports whether a list of endpoints is no older than the one known, and notes its position. A lower
// position that is confirmed later is one of a table that was made anew.
func (b *beliefs) advance(position uint64, confirmed time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if position < b.position && !confirmed.After(b.endpointsAt) {
		b.log.WithFields(logrus.Fields{
			"event": "endpoints_outdated", "position": position, "known": b.position,
			"behind": b.endpointsAt.Sub(confirmed).Round(time.Millisecond),
		}).Info()
		return false
	}
	b.position = position
	return true
}

// confirm notes the moments up to which what is believed is known to be current.
func (b *beliefs) confirm(operator, endpoints time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if operator.After(b.operatorAt) {
		b.operatorAt = operator
	}
	if endpoints.After(b.endpointsAt) {
		b.endpointsAt = endpoints
	}
}

// rulesAge returns how old what is believed of the operator's rows may be.
func (b *beliefs) rulesAge() time.Duration {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return age(b.operatorAt)
}

// endpointsAge returns how old the list of endpoints may be.
func (b *beliefs) endpointsAge() time.Duration {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return age(b.endpointsAt)
}

// unknownAge is the age of what was never known.
const unknownAge = 24 * time.Hour

func age(confirmed time.Time) time.Duration {
	if confirmed.IsZero() {
		return unknownAge
	}
	return clock.Elapsed(confirmed, time.Now())
}

// logEndpoints logs the endpoints that have come, gone, or changed their state.
func (b *beliefs) logEndpoints(old, view *roster.View) {
	for _, e := range view.All() {
		before, known := old.Endpoint(e.ID)
		if known && before.Incarnation == e.Incarnation && before.Draining == e.Draining {
			continue
		}
		b.log.WithFields(logrus.Fields{
			"event": "endpoint_listed", "endpoint": e.ID, "group": e.Group, "address": e.Address,
			"started": e.Started, "draining": e.Draining,
		}).Info()
	}
	for _, e := range old.All() {
		if _, still := view.Endpoint(e.ID); !still {
			b.log.WithFields(logrus.Fields{"event": "endpoint_unlisted", "endpoint": e.ID, "group": e.Group}).Info()
		}
	}
}

// limit returns a client account's limit.
func (b *beliefs) limit(account string) (allowance.Limit, bool) {
	rules := b.rules.Load()
	if rules == nil {
		return allowance.Limit{}, false
	}
	a, ok := rules.Bundle.Accounts[account]
	return allowance.Limit{Rate: a.Rate, Burst: a.Burst}, ok
}

// accounts returns the names of the client accounts.
func (b *beliefs) accounts() []string {
	rules := b.rules.Load()
	if rules == nil {
		return nil
	}
	names := make([]string, 0, len(rules.Bundle.Accounts))
	for name := range rules.Bundle.Accounts {
		names = append(names, name)
	}
	return names
}

// spec returns what is known of a group's engines.
func (b *beliefs) spec(group string) (orders.Spec, bool) {
	rules := b.rules.Load()
	if rules == nil || rules.Bundle.Groups[group].Engine == nil {
		return orders.Spec{}, false
	}
	g := rules.Bundle.Groups[group]
	return orders.Spec{
		Places: g.Engine.MaxAdapters, Slots: g.Engine.Slots, CacheTokens: g.Engine.CacheTokens, Model: g.Model, ModelLoad: g.Engine.ModelLoad,
	}, true
}

// group returns what the configuration says of an endpoint group.
func (b *beliefs) group(name string) (bundle.Group, bool) {
	rules := b.rules.Load()
	if rules == nil {
		return bundle.Group{}, false
	}
	g, ok := rules.Bundle.Groups[name]
	return g, ok
}

// listed returns what the list says of a run of an endpoint.
func (b *beliefs) listed(e roster.Endpoint) suspect.Listing {
	now, listed := b.roster.View().Endpoint(e.ID)
	switch {
	case !listed || now.Started == e.Started && now.Draining:
		return suspect.Leaving
	case now.Started > e.Started:
		return suspect.Replaced
	}
	return suspect.Current
}

// version returns the version of the configuration in force; 0 before the first.
func (b *beliefs) version() uint64 {
	rules := b.rules.Load()
	if rules == nil {
		return 0
	}
	return rules.Bundle.Version
}

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
	"github.com/mallowlink/mallowlink/pkg/evacuation"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/ratelimit"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/suspect"
)

// fleetView is this VM's view of the operator's rows (the configuration and the declared adapter versions) and
// of the endpoints. It is safe for concurrent use.
type fleetView struct {
	platform Platform
	log      logrus.FieldLogger
	roster   *roster.Roster
	rules    atomic.Pointer[gateway.Rules]
	// coldCache holds the last result of coldLimits.
	coldCache atomic.Pointer[coldLimitCache]
	// onChange is called after the endpoint list or the operator's rows have been applied. It is set before any
	// component starts.
	onChange func()
	// onEndpointRead is called with each endpoint that this VM itself has read from the platform's list. It is
	// set before any component starts.
	onEndpointRead func(roster.Endpoint)
	// onEndpoints is called with each list of endpoints that is applied, before requests go to endpoints that it adds, and
	// with a time at which the list was current. It is set before any component starts.
	onEndpoints func(list []roster.Endpoint, confirmed time.Time)
	// onList is the same with the position of the list in its table, onListConfirmed is called when the list is known to be still
	// current.
	onList          func(list []roster.Endpoint, position uint64, confirmed time.Time)
	onListConfirmed func(confirmed time.Time)

	// onRestored is called with the endpoints of a failure domain whose evacuation has ended, before they get requests
	// again. It is set before any component starts.
	onRestored func([]roster.Endpoint)
	// evacuateWithin returns the time within which nothing more may reach an evacuated domain. It is set before any
	// component starts.
	evacuateWithin func() time.Duration
	// storeFailedAt returns when this VM's last failed read of the list was sent; zero if none has failed. It is set before any
	// component starts.
	storeFailedAt func() time.Time
	// contact returns how long after an outage the bounds hold again; it is set before any component starts.
	contact func() time.Duration
	// minOutage returns the length from which on an outage of the store may have made entries of endpoints expire. It is
	// set before any component starts.
	minOutage func() time.Duration
	// replaceMu is held while the endpoint list is replaced.
	replaceMu sync.Mutex

	mu sync.RWMutex
	// The fields below are guarded by mu.

	// operatorRows are the newest rows of the operator, by key.
	operatorRows map[string]versionedRow
	// newestVersions are the newest versions of adapters that the operator has declared.
	newestVersions map[residency.Key]int
	// evacuations are the evacuated failure domains. evacuationChanges counts the changes of the set.
	evacuations       evacuation.Set
	evacuationChanges uint64
	// leaving maps the endpoint incarnations that have announced in a response that they are about to terminate
	// to the time of the announcement or of their last listing, whichever is later.
	leaving map[roster.Incarnation]time.Time
	// malformed maps the keys of rows that could not be decoded to the values that were logged last.
	malformed map[string][]byte
	// operatorConfirmedAt and endpointsConfirmedAt are the times up to which the operator's rows and the
	// endpoint list are known to be current.
	operatorConfirmedAt, endpointsConfirmedAt time.Time
	// endpointsPosition is the position in the table's history that the endpoint list corresponds to.
	endpointsPosition uint64
	// keepUntil is the time until which endpoints that are missing from the list may be kept.
	keepUntil time.Time
}

// coldLimitCache holds the limits for cold endpoints of a configuration. They are looked up with each response.
type coldLimitCache struct {
	bundle *bundle.Bundle
	limits map[string]ratelimit.ColdLimit
}

// versionedRow is a row of the operator with the operator's own version of its content; 0 if it cannot be decoded.
type versionedRow struct {
	value   []byte
	version uint64
}

func newFleetView(p Platform, log logrus.FieldLogger) *fleetView {
	return &fleetView{
		platform: p, log: log, roster: roster.New(), onChange: func() {}, onEndpointRead: func(roster.Endpoint) {},
		onRestored: func([]roster.Endpoint) {}, evacuateWithin: Bounds{}.evacuateWithin,
		onEndpoints: func([]roster.Endpoint, time.Time) {}, minOutage: Bounds{}.minOutage, contact: Bounds{}.contact,
		onList: func([]roster.Endpoint, uint64, time.Time) {}, onListConfirmed: func(time.Time) {},
		storeFailedAt: time.Now,
		operatorRows:  map[string]versionedRow{}, newestVersions: map[residency.Key]int{}, leaving: map[roster.Incarnation]time.Time{}, malformed: map[string][]byte{},
	}
}

// applyOperatorRows applies the operator's rows as read at a position of their table; zero if the position is not known. kept
// are the keys of rows that are missing in the store and kept by the VM that read it. A
// configuration or an adapter version older than the known one is ignored. Evacuations are applied first: this VM sends no
// requests before it has a configuration.
func (v *fleetView) applyOperatorRows(rows map[string][]byte, position uint64, kept map[string]bool) {
	decoded := v.decodeOperatorRows(rows)
	v.applyEvacuations(evacuationRows(rows, decoded, kept), position)
	for key, d := range decoded {
		if d.EvacuatedDomain != "" {
			continue
		}
		row := versionedRow{value: rows[key]}
		if d.Config != nil {
			row.version = d.Config.Version
			v.applyConfig(d.Config)
		}
		if d.AdapterVersion != nil {
			row.version = uint64(max(d.AdapterVersion.Version, 0))
			v.applyAdapterVersion(*d.AdapterVersion)
		}
		v.keepOperatorRow(key, row)
	}
	v.onChange()
}

// decodeOperatorRows returns the decoded rows by key. Rows that cannot be decoded are logged, and kept for VMs that can.
func (v *fleetView) decodeOperatorRows(rows map[string][]byte) map[string]OperatorRow {
	decoded := make(map[string]OperatorRow, len(rows))
	for key, value := range rows {
		row, err := v.platform.DecodeOperator(key, value)
		if err != nil {
			v.keepOperatorRow(key, versionedRow{value: value})
			v.logMalformed("operator_row_malformed", key, value, err)
			continue
		}
		decoded[key] = row
	}
	return decoded
}

// evacuationRows returns the rows that evacuate a failure domain.
func evacuationRows(rows map[string][]byte, decoded map[string]OperatorRow, kept map[string]bool) []evacuation.Row {
	var list []evacuation.Row
	for key, d := range decoded {
		if d.EvacuatedDomain != "" {
			list = append(list, evacuation.Row{Domain: d.EvacuatedDomain, Key: key, Value: rows[key], Kept: kept[key]})
		}
	}
	return list
}

// addEvacuations applies only those of the operator's rows that evacuate a failure domain, and ends no evacuation: the rows may be
// stale.
func (v *fleetView) addEvacuations(rows map[string][]byte) {
	if list := evacuationRows(rows, v.decodeOperatorRows(rows), nil); len(list) > 0 {
		v.applyEvacuations(list, 0)
		v.onChange()
	}
}

// keepOperatorRow keeps a row of the operator unless a newer one is known.
func (v *fleetView) keepOperatorRow(key string, row versionedRow) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known, ok := v.operatorRows[key]; !ok || known.version <= row.version {
		v.operatorRows[key] = row
	}
}

// newestOperatorRows returns the newest rows of the operator, by key, the position of their table to which the evacuations
// among them correspond, and the keys of those that are kept although they are missing in the store. The rows may be newer than those of the store if that has returned from an older copy.
func (v *fleetView) newestOperatorRows() (rows map[string][]byte, position uint64, kept []string) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	rows = make(map[string][]byte, len(v.operatorRows))
	for key, row := range v.operatorRows {
		rows[key] = row.value
	}
	for _, d := range v.evacuations.Domains() {
		rows[d.Key] = d.Value
		if d.Kept() {
			kept = append(kept, d.Key)
		}
	}
	return rows, v.evacuations.Position(), kept
}

func (v *fleetView) applyConfig(config *bundle.Bundle) {
	old := v.rules.Load()
	if old != nil && old.Bundle.Version >= config.Version {
		return
	}
	v.rules.Store(gateway.NewRules(config))
	for _, warning := range config.Warnings {
		v.log.WithFields(logrus.Fields{"event": "config_value_ignored", "version": config.Version, "warning": warning}).Warn("a value of the configuration is out of range and is bounded or ignored")
	}
	for _, a := range config.Accounts {
		if old == nil || old.Bundle.Accounts[a.Name] != a {
			v.log.WithFields(logrus.Fields{"event": "account_limit", "account": a.Name, "rate": a.Rate, "burst": a.Burst}).Info("limit of a client account set")
		}
	}
	v.log.WithFields(logrus.Fields{
		"event": "config_in_force", "version": config.Version, "routes": len(config.Routes),
		"accounts": len(config.Accounts), "keys": len(config.Keys),
	}).Info("new configuration in force")
}

func (v *fleetView) applyAdapterVersion(a roster.Adapter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	key := residency.KeyOf(a)
	if v.newestVersions[key] >= a.Version {
		return
	}
	v.newestVersions[key] = a.Version
	v.log.WithFields(logrus.Fields{"event": "adapter_version", "adapter": a.Name, "version": a.Version}).Info("operator declared a new adapter version")
}

// newestVersion returns the newest version of an adapter that the operator has declared, or 0 if there is none.
func (v *fleetView) newestVersion(key residency.Key) int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.newestVersions[key]
}

// logMalformed logs a row that cannot be decoded, once for each value of the row.
func (v *fleetView) logMalformed(event, key string, value []byte, err error) {
	v.logOnce(event, key, value, err, "cannot decode a row of the store; the row is ignored")
}

// logOnce logs an error in a value of a row, once until the value changes.
func (v *fleetView) logOnce(event, key string, value []byte, err error, message string) {
	v.mu.Lock()
	known := bytes.Equal(v.malformed[key], value)
	v.malformed[key] = value
	v.mu.Unlock()
	if !known {
		v.log.WithError(err).WithFields(logrus.Fields{"event": event, "key": key}).Warn(message)
	}
}

// applyEndpoints applies the endpoint list that corresponds to a position of its table and was current at the
// time confirmed. Lists of other VMs that are older than the known one are ignored. An endpoint incarnation
// that was seen draining stays draining. An endpoint that another VM keeps, because that one lost contact with the store, is
// kept here only if it is known and this VM got no list during an outage either.
func (v *fleetView) applyEndpoints(list []roster.Endpoint, position uint64, confirmed time.Time) {
	if v.replaceEndpoints(list, position, confirmed) {
		v.onChange()
	}
}

// replaceEndpoints does the work of applyEndpoints without calling onChange. It returns false if the list is
// ignored.
func (v *fleetView) replaceEndpoints(list []roster.Endpoint, position uint64, confirmed time.Time) bool {
	v.replaceMu.Lock()
	defer v.replaceMu.Unlock()
	if !v.acceptPosition(position, confirmed) {
		return false
	}
	old := v.roster.View()
	first := len(old.All()) == 0
	now := time.Now()
	if first {
		v.keepMissing(now)
	}
	until := v.missingKeptUntil(confirmed, now)
	list = slices.DeleteFunc(list, func(e roster.Endpoint) bool {
		before, known := old.Endpoint(e.ID)
		return e.Kept && !first && (!now.Before(until) || !known || before.Incarnation != e.Incarnation)
	})
	if slices.ContainsFunc(list, func(e roster.Endpoint) bool { return e.Kept }) {
		time.AfterFunc(until.Sub(now), v.dropKept)
	}
	for i, e := range list {
		before, known := old.Endpoint(e.ID)
		if known && before.Incarnation == e.Incarnation && before.Draining {
			list[i].Draining = true
		}
	}
	v.onEndpoints(list, confirmed)
	v.onList(list, position, confirmed)
	v.setEndpoints(old, list)
	v.confirm(time.Time{}, confirmed)
	return true
}

// setEndpoints replaces the endpoint list. The caller holds v.replaceMu.
func (v *fleetView) setEndpoints(old *roster.View, list []roster.Endpoint) {
	v.markLeaving(list, time.Now())
	v.markEvacuated(list)
	view := roster.NewView(list)
	v.logEndpointChanges(old, view)
	v.roster.Set(view)
}

// leavingRetention is how long after it was last listed an endpoint incarnation that has announced its
// termination is remembered. A VM that was cut off may still send lists that contain it.
const leavingRetention = 10 * time.Minute

// markLeaving marks the endpoints that have announced their termination as draining, whatever the list says.
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

// recordLeaving records that an endpoint incarnation has announced in a response that it is about to terminate.
// It returns false if this was known.
func (v *fleetView) recordLeaving(id roster.Incarnation) bool {
	v.mu.Lock()
	_, known := v.leaving[id]
	v.leaving[id] = time.Now()
	v.mu.Unlock()
	if known {
		return false
	}
	v.log.WithFields(logrus.Fields{"event": "endpoint_leaves", "endpoint": id.ID, "started": id.Started}).Info("endpoint announced that it is about to terminate")
	v.replaceMu.Lock()
	old := v.roster.View()
	v.setEndpoints(old, slices.Clone(old.All()))
	v.replaceMu.Unlock()
	v.onChange()
	return true
}

// acceptPosition reports whether an endpoint list is at least as recent as the known one, and records its
// position. A lower position that was confirmed later than the known list belongs to a table that was created
// anew.
func (v *fleetView) acceptPosition(position uint64, confirmed time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if position < v.endpointsPosition && !confirmed.After(v.endpointsConfirmedAt) {
		v.log.WithFields(logrus.Fields{
			"event": "endpoints_outdated", "position": position, "known": v.endpointsPosition,
			"behind": v.endpointsConfirmedAt.Sub(confirmed).Round(time.Millisecond),
		}).Info("ignored an endpoint list that is older than the known one")
		return false
	}
	if v.endpointsPosition != 0 && platform.GenerationOf(position) > platform.GenerationOf(v.endpointsPosition) {
		v.keepUntil = time.Now().Add(lapseGrace)
	}
	v.endpointsPosition = position
	return true
}

// missingKeptUntil returns the time until which endpoints that are missing from the list may be kept. They may be for a while
// after this VM got no list for so long that entries may have expired in an outage of the store, but no longer than the outage,
// which lasted until the last failed call at least, excuses it. confirmed is the time at which the list that is about to be applied
// was current.
func (v *fleetView) missingKeptUntil(confirmed, now time.Time) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if confirmed.Sub(v.endpointsConfirmedAt) >= v.minOutage() && now.After(v.keepUntil) {
		v.keepUntil = earlier(now.Add(lapseGrace), v.storeFailedAt().Add(v.contact()))
	}
	return v.keepUntil
}

// dropKept removes the endpoints that are missing from the list, once they may be kept no longer: the next list may be late.
func (v *fleetView) dropKept() {
	v.replaceMu.Lock()
	defer v.replaceMu.Unlock()
	v.mu.RLock()
	over := !time.Now().Before(v.keepUntil)
	v.mu.RUnlock()
	old := v.roster.View()
	list := slices.DeleteFunc(slices.Clone(old.All()), func(e roster.Endpoint) bool { return e.Kept })
	if over && len(list) < old.Len() {
		v.setEndpoints(old, list)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// keepMissing records that endpoints that are missing from the list may be kept for a while from now on.
func (v *fleetView) keepMissing(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.keepUntil = now.Add(lapseGrace)
}

// confirm records the times up to which the operator's rows and the endpoint list are known to be current.
func (v *fleetView) confirm(operator, endpoints time.Time) {
	v.mu.Lock()
	if operator.After(v.operatorConfirmedAt) {
		v.operatorConfirmedAt = operator
	}
	later := endpoints.After(v.endpointsConfirmedAt)
	if later {
		v.endpointsConfirmedAt = endpoints
	}
	v.mu.Unlock()
	if later {
		v.onListConfirmed(endpoints)
	}
}

// rulesAge returns the time since the operator's rows were last known to be current.
func (v *fleetView) rulesAge() time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return ageSince(v.operatorConfirmedAt)
}

// endpointsAge returns the time since the endpoint list was last known to be current.
func (v *fleetView) endpointsAge() time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return ageSince(v.endpointsConfirmedAt)
}

// ages returns the ages of the operator's rows and of the list of endpoints, and false while this VM does not have both.
func (v *fleetView) ages() (operator, endpoints time.Duration, known bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	known = !v.operatorConfirmedAt.IsZero() && !v.endpointsConfirmedAt.IsZero()
	return ageSince(v.operatorConfirmedAt), ageSince(v.endpointsConfirmedAt), known
}

// updatesFrom describes the updates in force, which come from a source.
func (v *fleetView) updatesFrom(source string) gateway.Updates {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return gateway.Updates{
		Source: source, List: platform.CounterOf(v.endpointsPosition),
		RulesAge: ageSince(v.operatorConfirmedAt), ListAge: ageSince(v.endpointsConfirmedAt),
	}
}

// unknownAge is the age of information that was never received.
const unknownAge = 24 * time.Hour

func ageSince(confirmed time.Time) time.Duration {
	if confirmed.IsZero() {
		return unknownAge
	}
	return clock.Elapsed(confirmed, time.Now())
}

// logEndpointChanges logs the endpoints that were added, were removed, were restarted, or have changed whether
// they are draining.
func (v *fleetView) logEndpointChanges(old, view *roster.View) {
	for _, e := range view.All() {
		before, known := old.Endpoint(e.ID)
		if known && before.Incarnation == e.Incarnation && before.Draining == e.Draining {
			continue
		}
		v.log.WithFields(logrus.Fields{
			"event": "endpoint_listed", "endpoint": e.ID, "group": e.Group, "address": e.Address,
			"started": e.Started, "draining": e.Draining,
		}).Info("endpoint added to the list, restarted or changed")
	}
	for _, e := range old.All() {
		if _, still := view.Endpoint(e.ID); !still {
			v.log.WithFields(logrus.Fields{"event": "endpoint_unlisted", "endpoint": e.ID, "group": e.Group}).Info("endpoint removed from the list")
		}
	}
}

// accountLimit returns a client account's limit, or false if there is no configuration or no such account.
func (v *fleetView) accountLimit(account string) (allowance.Limit, bool) {
	rules := v.rules.Load()
	if rules == nil {
		return allowance.Limit{}, false
	}
	a, ok := rules.Bundle.Accounts[account]
	return allowance.Limit{Rate: a.Rate, Burst: a.Burst}, ok
}

// accountNames returns the names of all client accounts in the configuration.
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

// engineSpec returns the specification of a group's engines, or false if the group has none.
func (v *fleetView) engineSpec(group string) (orders.EngineSpec, bool) {
	rules := v.rules.Load()
	if rules == nil || rules.Bundle.Groups[group].Engine == nil {
		return orders.EngineSpec{}, false
	}
	g := rules.Bundle.Groups[group]
	return orders.EngineSpec{
		AdapterSlots: g.Engine.MaxAdapters, RequestSlots: g.Engine.Slots, CacheTokens: g.Engine.CacheTokens, Model: g.Model, ModelLoad: g.Engine.ModelLoad,
	}, true
}

// group returns the configuration of an endpoint group, or false if there is none.
func (v *fleetView) group(name string) (bundle.Group, bool) {
	rules := v.rules.Load()
	if rules == nil {
		return bundle.Group{}, false
	}
	g, ok := rules.Bundle.Groups[name]
	return g, ok
}

// coldLimits returns the limits for cold endpoints by group; groups without one are missing.
func (v *fleetView) coldLimits() map[string]ratelimit.ColdLimit {
	rules := v.rules.Load()
	if rules == nil {
		return nil
	}
	if cached := v.coldCache.Load(); cached != nil && cached.bundle == rules.Bundle {
		return cached.limits
	}
	limits := map[string]ratelimit.ColdLimit{}
	for name, g := range rules.Bundle.Groups {
		if g.ColdRate > 0 {
			limits[name] = ratelimit.ColdLimit{Rate: g.ColdRate, Duration: g.ColdDuration}
		}
	}
	v.coldCache.Store(&coldLimitCache{bundle: rules.Bundle, limits: limits})
	return limits
}

// groupOf returns the group of a listed endpoint, or false if it is not listed.
func (v *fleetView) groupOf(endpoint string) (string, bool) {
	e, ok := v.roster.View().Endpoint(endpoint)
	return e.Group, ok
}

// listing returns whether the endpoint list contains this incarnation of an endpoint, a later one, or one that
// is draining or evacuated.
func (v *fleetView) listing(e roster.Endpoint) suspect.Listing {
	now, listed := v.roster.View().Endpoint(e.ID)
	switch {
	case !listed || now.Started == e.Started && now.Draining:
		return suspect.Leaving
	case now.Started > e.Started:
		return suspect.Replaced
	case now.Evacuated(time.Now()):
		return suspect.Evacuated
	}
	return suspect.Current
}

// configVersion returns the version of the configuration in force, or 0 before the first one.
func (v *fleetView) configVersion() uint64 {
	rules := v.rules.Load()
	if rules == nil {
		return 0
	}
	return rules.Bundle.Version
}

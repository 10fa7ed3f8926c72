package residency_test

import (
	"math/rand"
	"slices"
	"time"

	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	baseModel    = "base"
	adapterSlots = 4
	// engineMaxLoading is the number of loads that the simulated engine accepts at once.
	engineMaxLoading = 4
	coldLoad         = 250 * time.Millisecond
	warmLoad         = 25 * time.Millisecond
	roundTrip        = 4 * time.Millisecond
)

// simulatedEngine is an engine in virtual time that handles orders as the platform specifies.
type simulatedEngine struct {
	now           time.Time
	accepted      int64
	modelLoaded   bool
	modelLoadedAt time.Time
	loaded        map[string]bool
	pending       map[string]time.Time
	// evicting holds the adapters that are dropped once the requests that use them have ended.
	evicting map[string]bool
	users    map[string]int
	cached   map[string]bool
	// lateOrders are orders that got no reply and will still be carried out.
	lateOrders []lateOrder
	// acceptsRepeats makes the engine reply Holds to an order to load an adapter that it already holds,
	// whatever order count the order names.
	acceptsRepeats bool
	// slowdown is the factor by which cold loads take longer than at full speed.
	slowdown int
	// reports are the recent reports, the newest last.
	reports []datedReport
	// overfull is set once the engine has been ordered to hold more adapters than it has slots.
	overfull bool
}

type lateOrder struct {
	at     time.Time
	action residency.Action
}

func newSimulatedEngine(now time.Time) *simulatedEngine {
	return &simulatedEngine{
		now: now, modelLoaded: true, slowdown: 1, loaded: map[string]bool{}, pending: map[string]time.Time{},
		evicting: map[string]bool{}, users: map[string]int{}, cached: map[string]bool{},
	}
}

// restart discards the engine's state. Its copies of adapters in memory are kept.
func (e *simulatedEngine) restart() {
	e.accepted, e.modelLoaded = 0, false
	e.loaded, e.pending, e.evicting = map[string]bool{}, map[string]time.Time{}, map[string]bool{}
	e.users = map[string]int{}
}

// advance moves the engine's clock to now, and carries out what has become due.
func (e *simulatedEngine) advance(now time.Time) {
	e.now = now
	for name, done := range e.pending {
		if !done.After(now) {
			delete(e.pending, name)
			e.loaded[name], e.cached[name] = true, true
		}
	}
	if !e.modelLoadedAt.IsZero() && !e.modelLoadedAt.After(now) {
		e.modelLoaded, e.modelLoadedAt = true, time.Time{}
	}
	for name := range e.evicting {
		if e.users[name] == 0 {
			delete(e.evicting, name)
			delete(e.loaded, name)
		}
	}
	kept := e.lateOrders[:0]
	for _, l := range e.lateOrders {
		if l.at.After(now) {
			kept = append(kept, l)
			continue
		}
		e.handleOrder(l.action)
	}
	e.lateOrders = kept
	e.reports = append(e.reports, datedReport{now, e.report()})
	if len(e.reports) > maxReports {
		e.reports = e.reports[len(e.reports)/2:]
	}
}

// maxReports limits the number of reports kept.
const maxReports = 2000

// handleOrder carries out an order if the engine accepts it.
func (e *simulatedEngine) handleOrder(a residency.Action) engine.Reply {
	if a.Kind == residency.Evict || a.Kind == residency.ConfirmEvict {
		return e.evict(a)
	}
	if a.Adapter.Name == "" {
		return e.loadModel(a)
	}
	name := a.Adapter.Name
	if _, ok := e.pending[name]; ok {
		return engine.Accepted
	}
	if e.acceptsRepeats && e.loaded[name] {
		return engine.Holds
	}
	if a.Expected != e.accepted || !e.modelLoaded {
		return engine.Conflict
	}
	if e.loaded[name] {
		return engine.Holds
	}
	if len(e.pending) >= engineMaxLoading {
		return engine.Conflict
	}
	e.accepted++
	e.pending[name] = e.now.Add(time.Duration(e.slowdown) * coldLoad)
	if e.cached[name] {
		e.pending[name] = e.now.Add(warmLoad)
	}
	e.overfull = e.overfull || len(e.pending)+len(e.loaded) > adapterSlots
	return engine.Accepted
}

func (e *simulatedEngine) loadModel(a residency.Action) engine.Reply {
	if !e.modelLoadedAt.IsZero() {
		return engine.Accepted
	}
	if a.Expected != e.accepted {
		return engine.Conflict
	}
	if e.modelLoaded {
		return engine.Holds
	}
	e.accepted++
	e.modelLoadedAt = e.now.Add(time.Second)
	return engine.Accepted
}

func (e *simulatedEngine) evict(a residency.Action) engine.Reply {
	name := a.Adapter.Name
	if e.acceptsRepeats && !e.loaded[name] {
		return engine.Holds
	}
	if a.Expected != e.accepted {
		return engine.Conflict
	}
	if e.evicting[name] {
		return engine.Accepted
	}
	if !e.loaded[name] {
		return engine.Holds
	}
	e.accepted++
	if e.users[name] > 0 {
		e.evicting[name] = true
		return engine.Accepted
	}
	delete(e.loaded, name)
	return engine.Holds
}

// maxReportAge is the age below which reports are served, in nanoseconds.
const maxReportAge = int(250 * time.Millisecond)

// datedReport is a report with the time at which it was made.
type datedReport struct {
	at     time.Time
	report engine.Report
}

// reportBefore returns the latest report that is at least lag old.
func (e *simulatedEngine) reportBefore(lag time.Duration) engine.Report {
	for _, r := range slices.Backward(e.reports) {
		if !r.at.After(e.now.Add(-lag)) {
			return r.report
		}
	}
	return e.report()
}

func (e *simulatedEngine) report() engine.Report {
	r := engine.Report{Accepted: e.accepted}
	if e.modelLoaded {
		r.Models = []string{baseModel}
	}
	for name := range e.loaded {
		r.Loaded = append(r.Loaded, roster.Adapter{Model: baseModel, Name: name, Version: 1})
	}
	for name := range e.pending {
		r.Pending = append(r.Pending, roster.Adapter{Model: baseModel, Name: name, Version: 1})
	}
	return r
}

// simulation runs a planner against a simulated engine, one call after the other.
type simulation struct {
	now     time.Time
	planner *residency.Planner
	engine  *simulatedEngine
	rnd     *rand.Rand
	// lossRate is the fraction of orders that get no reply. Half of these are carried out at once, the others
	// 1 to 10 s later.
	lossRate float64
	orders   int
}

func newSimulation(seed int64) *simulation {
	now := time.Unix(1_700_000_000, 0)
	s := &simulation{now: now, engine: newSimulatedEngine(now), rnd: rand.New(rand.NewSource(seed))}
	s.engine.acceptsRepeats = seed%2 == 1
	s.changeOwner()
	return s
}

// changeOwner replaces the planner by a new one that does not know the engine's state.
func (s *simulation) changeOwner() {
	s.planner = residency.New(residency.Config{
		Model: baseModel, ModelLoad: time.Second, Slots: adapterSlots, MaxLoading: residency.DefaultMaxLoading,
		WarmCount: residency.DefaultWarmCount, Newest: func(residency.Key) int { return 0 },
	})
}

// run executes the planner's actions until the given time.
func (s *simulation) run(until time.Time) {
	for s.now.Before(until) {
		s.engine.advance(s.now)
		action, ok, due := s.planner.Next(s.now)
		if !ok {
			next := s.now.Add(20 * time.Millisecond)
			if !due.IsZero() && due.Before(next) && due.After(s.now) {
				next = due
			}
			s.now = next
			continue
		}
		s.execute(action)
	}
}

func (s *simulation) execute(a residency.Action) {
	s.now = s.now.Add(roundTrip)
	s.engine.advance(s.now)
	if a.Kind == residency.Report {
		s.planner.Sync(s.engine.reportBefore(time.Duration(s.rnd.Intn(maxReportAge))), s.now)
		return
	}
	s.orders++
	if s.rnd.Float64() < s.lossRate {
		s.loseReply(a)
		return
	}
	s.planner.HandleReply(a, s.engine.handleOrder(a), s.now)
}

// loseReply sends an order that gets no reply.
func (s *simulation) loseReply(a residency.Action) {
	if s.rnd.Intn(2) == 0 {
		s.engine.handleOrder(a)
	} else {
		late := time.Duration(1+s.rnd.Intn(10)) * time.Second
		s.engine.lateOrders = append(s.engine.lateOrders, lateOrder{at: s.now.Add(late), action: a})
	}
	s.now = s.now.Add(30 * time.Millisecond)
	s.planner.HandleLost(a, s.now)
}

func key(name string) residency.Key { return residency.Key{Model: baseModel, Name: name} }

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
	baseModel = "base"
	places    = 4
	// modelMaxLoading is what the engine of the model takes at once.
	modelMaxLoading = 4
	coldLoad        = 250 * time.Millisecond
	warmLoad        = 25 * time.Millisecond
	trip            = 4 * time.Millisecond
)

// modelEngine is an engine as the platform describes it, in virtual time.
type modelEngine struct {
	now      time.Time
	accepted int64
	model    bool
	modelAt  time.Time
	loaded   map[string]bool
	pending  map[string]time.Time
	// leaving are adapters that are dropped once their users have ended.
	leaving map[string]bool
	users   map[string]int
	held    map[string]bool
	// late are orders without an answer that may still be carried out.
	late []lateOrder
	// lenient says that an order that holds already is not held against the expected count.
	lenient bool
	// slowdown is how many times longer cold loads take than at full speed.
	slowdown int
	// reports are those of the past, the newest last.
	reports []datedReport
	// overfull says that the engine was ordered to hold more than it has places.
	overfull bool
}

type lateOrder struct {
	at     time.Time
	action residency.Action
}

func newModelEngine(now time.Time) *modelEngine {
	return &modelEngine{
		now: now, model: true, slowdown: 1, loaded: map[string]bool{}, pending: map[string]time.Time{},
		leaving: map[string]bool{}, users: map[string]int{}, held: map[string]bool{},
	}
}

// restart empties the engine.
func (e *modelEngine) restart() {
	e.accepted, e.model = 0, false
	e.loaded, e.pending, e.leaving = map[string]bool{}, map[string]time.Time{}, map[string]bool{}
	e.users = map[string]int{}
}

// advance moves the engine to now.
func (e *modelEngine) advance(now time.Time) {
	e.now = now
	for name, done := range e.pending {
		if !done.After(now) {
			delete(e.pending, name)
			e.loaded[name], e.held[name] = true, true
		}
	}
	if !e.modelAt.IsZero() && !e.modelAt.After(now) {
		e.model, e.modelAt = true, time.Time{}
	}
	for name := range e.leaving {
		if e.users[name] == 0 {
			delete(e.leaving, name)
			delete(e.loaded, name)
		}
	}
	kept := e.late[:0]
	for _, l := range e.late {
		if l.at.After(now) {
			kept = append(kept, l)
			continue
		}
		e.order(l.action)
	}
	e.late = kept
	e.reports = append(e.reports, datedReport{now, e.report()})
	if len(e.reports) > maxReports {
		e.reports = e.reports[len(e.reports)/2:]
	}
}

// maxReports bounds the reports that are kept.
const maxReports = 2000

// order carries an order out.
func (e *modelEngine) order(a residency.Action) engine.Reply {
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
	if e.lenient && e.loaded[name] {
		return engine.Holds
	}
	if a.Expected != e.accepted || !e.model {
		return engine.Conflict
	}
	if e.loaded[name] {
		return engine.Holds
	}
	if len(e.pending) >= modelMaxLoading {
		return engine.Conflict
	}
	e.accepted++
	e.pending[name] = e.now.Add(time.Duration(e.slowdown) * coldLoad)
	if e.held[name] {
		e.pending[name] = e.now.Add(warmLoad)
	}
	e.overfull = e.overfull || len(e.pending)+len(e.loaded) > places
	return engine.Accepted
}

func (e *modelEngine) loadModel(a residency.Action) engine.Reply {
	if !e.modelAt.IsZero() {
		return engine.Accepted
	}
	if a.Expected != e.accepted {
		return engine.Conflict
	}
	if e.model {
		return engine.Holds
	}
	e.accepted++
	e.modelAt = e.now.Add(time.Second)
	return engine.Accepted
}

func (e *modelEngine) evict(a residency.Action) engine.Reply {
	name := a.Adapter.Name
	if e.lenient && !e.loaded[name] {
		return engine.Holds
	}
	if a.Expected != e.accepted {
		return engine.Conflict
	}
	if e.leaving[name] {
		return engine.Accepted
	}
	if !e.loaded[name] {
		return engine.Holds
	}
	e.accepted++
	if e.users[name] > 0 {
		e.leaving[name] = true
		return engine.Accepted
	}
	delete(e.loaded, name)
	return engine.Holds
}

// maxLag bounds how old reports are.
const maxLag = int(250 * time.Millisecond)

// datedReport is a report of that moment.
type datedReport struct {
	at     time.Time
	report engine.Report
}

// reportBefore returns the report of a moment that lies as far back.
func (e *modelEngine) reportBefore(lag time.Duration) engine.Report {
	for _, r := range slices.Backward(e.reports) {
		if !r.at.After(e.now.Add(-lag)) {
			return r.report
		}
	}
	return e.report()
}

func (e *modelEngine) report() engine.Report {
	r := engine.Report{Accepted: e.accepted}
	if e.model {
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

// keeper drives books against a model engine, one call after the other.
type keeper struct {
	now    time.Time
	books  *residency.Books
	engine *modelEngine
	rnd    *rand.Rand
	// lossShare is the share of orders that get no answer; half of these are carried out at once, the
	// rest seconds later.
	lossShare float64
	orders    int
}

func newKeeper(seed int64) *keeper {
	now := time.Unix(1_700_000_000, 0)
	k := &keeper{now: now, engine: newModelEngine(now), rnd: rand.New(rand.NewSource(seed))}
	k.engine.lenient = seed%2 == 1
	k.handOver()
	return k
}

// handOver gives the engine to a VM that knows nothing of it.
func (k *keeper) handOver() {
	k.books = residency.New(residency.Config{
		Model: baseModel, ModelLoad: time.Second, Places: places, MaxLoading: residency.DefaultMaxLoading,
		WarmCount: residency.DefaultWarmCount, Newest: func(residency.Key) int { return 0 },
	})
}

// run drives the books until a time.
func (k *keeper) run(until time.Time) {
	for k.now.Before(until) {
		k.engine.advance(k.now)
		action, ok, due := k.books.Next(k.now)
		if !ok {
			next := k.now.Add(20 * time.Millisecond)
			if !due.IsZero() && due.Before(next) && due.After(k.now) {
				next = due
			}
			k.now = next
			continue
		}
		k.act(action)
	}
}

func (k *keeper) act(a residency.Action) {
	k.now = k.now.Add(trip)
	k.engine.advance(k.now)
	if a.Kind == residency.Report {
		k.books.Sync(k.engine.reportBefore(time.Duration(k.rnd.Intn(maxLag))), k.now)
		return
	}
	k.orders++
	if k.rnd.Float64() < k.lossShare {
		k.lose(a)
		return
	}
	k.books.Took(a, k.engine.order(a), k.now)
}

// lose lets an order go without an answer.
func (k *keeper) lose(a residency.Action) {
	if k.rnd.Intn(2) == 0 {
		k.engine.order(a)
	} else {
		late := time.Duration(1+k.rnd.Intn(10)) * time.Second
		k.engine.late = append(k.engine.late, lateOrder{at: k.now.Add(late), action: a})
	}
	k.now = k.now.Add(30 * time.Millisecond)
	k.books.Lost(a, k.now)
}

func key(name string) residency.Key { return residency.Key{Model: baseModel, Name: name} }

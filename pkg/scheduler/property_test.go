package scheduler

import (
	"flag"
	"fmt"
	"math"
	"math/rand"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/work"
)

// TestMain fixes the seed of the property tests unless one is given by flag.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// Limits of the simulated group.
const (
	modelEndpoints  = 3
	modelSlots      = 2
	modelMaxRunning = 3
	modelAdapters   = 6
	modelMaxLoads   = 2
)

// model drives a scheduler with random events and keeps a simple record of its own to check it
// against.
type model struct {
	t         *rapid.T
	s         *scheduler
	now       time.Time
	next      int
	queued    map[work.AttemptID]Item
	running   map[work.AttemptID]Action
	openLoads []Action
	// permitsHeld counts the permits of loads that have not ended.
	permitsHeld int
	// loaded records, for each endpoint, the adapters that are really loaded there.
	loaded       map[string]map[endpoint.AdapterVersion]bool
	incarnations map[string]int
	ended        map[work.AttemptID]int
}

// TryTake implements LoadPermits.
func (m *model) TryTake(time.Time) bool {
	if m.permitsHeld >= modelMaxLoads {
		return false
	}
	m.permitsHeld++
	return true
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: epoch,
		queued: map[work.AttemptID]Item{}, running: map[work.AttemptID]Action{},
		loaded: map[string]map[endpoint.AdapterVersion]bool{}, incarnations: map[string]int{},
		ended: map[work.AttemptID]int{},
	}
	cfg := Config{AccountQueueLimit: 12, QueueLimit: 30, GatherDelay: time.Second, GatherItems: 2}
	m.s = New(cfg, rand.New(rand.NewSource(1)), m).(*scheduler)
	m.s.SetEndpoints(m.now, endpointSpecs(modelEndpoints, modelSlots, modelMaxRunning))
	for _, e := range m.s.endpoints {
		m.loaded[e.spec.Name] = map[endpoint.AdapterVersion]bool{}
		m.report(e.spec.Name)
	}
	return m
}

func (m *model) enqueue(t *rapid.T) {
	m.next++
	it := item(m.next, accountOf(rapid.IntRange(0, 2).Draw(t, "account")), rapid.IntRange(0, modelAdapters-1).Draw(t, "adapter"))
	it.Tokens = rapid.Int64Range(1, 500).Draw(t, "tokens")
	it.PrefixHash = rapid.Uint64Range(0, 3).Draw(t, "prefix")
	if rapid.Bool().Draw(t, "batch") {
		it.Class = bundle.Batch
	}
	if rapid.IntRange(0, 4).Draw(t, "deadline") == 0 {
		it.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
	}
	switch rapid.IntRange(0, 9).Draw(t, "constraint") {
	case 0:
		it.Isolated = true
	case 1:
		it.Exclude = []string{m.someEndpoint(t)}
	case 2:
		it.Endpoint = m.someEndpoint(t)
	}
	if m.s.Enqueue(m.now, it) == nil {
		m.queued[it.ID] = it
	}
}

func (m *model) someEndpoint(t *rapid.T) string {
	return fmt.Sprintf("e%d", rapid.IntRange(0, modelEndpoints-1).Draw(t, "endpoint"))
}

// someRunning returns the first running item at or after a random number, wrapping around.
func (m *model) someRunning(t *rapid.T) (work.AttemptID, bool) {
	from := rapid.IntRange(0, m.next).Draw(t, "running")
	for i := range m.next + 1 {
		id := work.AttemptID{Request: fmt.Sprint((from + i) % (m.next + 1))}
		if _, ok := m.running[id]; ok {
			return id, true
		}
	}
	return work.AttemptID{}, false
}

func (m *model) finish(t *rapid.T) {
	id, ok := m.someRunning(t)
	if !ok {
		return
	}
	a := m.running[id]
	delete(m.running, id)
	var refused error
	if !m.loaded[a.Endpoint][a.Adapter] {
		refused = endpoint.ErrNotLoaded
	}
	m.s.Finished(m.now, id, rapid.Int64Range(0, 500).Draw(t, "used"), refused)
}

func (m *model) endLoad(t *rapid.T) {
	if len(m.openLoads) == 0 {
		return
	}
	a := m.openLoads[0]
	m.openLoads = m.openLoads[1:]
	m.permitsHeld--
	var err error
	if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
		err = endpoint.ErrLoadFailed
	} else if m.s.endpoint(a.Endpoint).alive() && m.state(a) == adapterLoading {
		m.loaded[a.Endpoint][a.Adapter] = true
	}
	m.s.Loaded(m.now, a.Endpoint, a.Adapter, err)
}

func (m *model) state(a Action) any {
	p := m.s.adapters[a.Adapter].placementOn(m.s.endpoint(a.Endpoint))
	if p == nil {
		return adapterAbsent
	}
	return p.state
}

func (m *model) restart(t *rapid.T) {
	name := m.someEndpoint(t)
	m.incarnations[name]++
	clear(m.loaded[name])
	if rapid.Bool().Draw(t, "noticed") {
		m.s.Unreachable(m.now, name)
	}
	m.report(name)
}

func (m *model) unreachable(t *rapid.T) {
	m.s.Unreachable(m.now, m.someEndpoint(t))
}

func (m *model) reportSome(t *rapid.T) {
	m.report(m.someEndpoint(t))
}

func (m *model) report(name string) {
	r := endpoint.LoadReport{Incarnation: fmt.Sprint(m.incarnations[name]), Slots: modelSlots}
	count := map[endpoint.AdapterVersion]int{}
	for _, a := range m.running {
		if a.Endpoint == name {
			r.Running++
			count[a.Adapter]++
		}
	}
	for n := range modelAdapters {
		if v := version(n); m.loaded[name][v] {
			r.Loaded = append(r.Loaded, endpoint.LoadedAdapter{AdapterVersion: v, Running: count[v]})
		}
	}
	m.s.Report(m.now, name, r)
}

func (m *model) remove(t *rapid.T) {
	id := work.AttemptID{Request: fmt.Sprint(rapid.IntRange(0, m.next).Draw(t, "removed"))}
	_, queued := m.queued[id]
	require.Equal(t, queued, m.s.Remove(m.now, id))
	if queued {
		delete(m.queued, id)
		m.ended[id]++
	}
}

func (m *model) avoid(t *rapid.T) {
	name, v := m.someEndpoint(t), version(rapid.IntRange(0, modelAdapters-1).Draw(t, "avoided"))
	if rapid.Bool().Draw(t, "allow") {
		m.s.AllowAdapter(name, v)
		return
	}
	m.s.AvoidAdapter(name, v)
}

func (m *model) cacheEvents(t *rapid.T) {
	events := []endpoint.CacheEvent{{Stored: rapid.Bool().Draw(t, "stored"), Prefix: rapid.Uint64Range(1, 3).Draw(t, "prefix")}}
	m.s.CacheEvents(m.now, m.someEndpoint(t), events, rapid.Bool().Draw(t, "gap"))
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
}

// decide carries out the actions of Decide and checks each against the record.
func (m *model) decide(t *rapid.T) {
	for _, a := range m.s.Decide(m.now) {
		switch a.Kind {
		case Dispatch:
			m.checkDispatch(t, a)
		case Load:
			m.checkLoad(t, a)
		case Refuse:
			require.Contains(t, m.queued, a.ID)
			require.Equal(t, "not-run", string(a.Err.Outcome))
			delete(m.queued, a.ID)
			m.ended[a.ID]++
		default:
			t.Fatalf("action %d", a.Kind)
		}
	}
	require.Equal(t, m.permitsHeld, len(m.openLoads), "each permit is used")
	m.checkState(t)
}

func (m *model) checkDispatch(t *rapid.T, a Action) {
	it, ok := m.queued[a.ID]
	require.True(t, ok, "dispatched once, and only what is queued")
	delete(m.queued, a.ID)
	m.ended[a.ID]++
	e := m.s.endpoint(a.Endpoint)
	p := m.s.adapters[a.Adapter].placementOn(e)
	require.NotNil(t, p)
	require.Equal(t, adapterResident, p.state)
	require.Equal(t, it.Adapter, a.Adapter)
	require.NotContains(t, it.Exclude, a.Endpoint)
	if it.Endpoint != "" {
		require.Equal(t, it.Endpoint, a.Endpoint)
	} else {
		require.True(t, e.alive())
		require.False(t, e.avoided[a.Adapter])
		require.LessOrEqual(t, e.running, modelMaxRunning)
	}
	if it.Isolated && it.Endpoint == "" {
		require.Equal(t, 1, e.runningIsolated)
	}
	m.running[a.ID] = a
}

func (m *model) checkLoad(t *rapid.T, a Action) {
	for _, other := range m.openLoads {
		require.False(t, other.Endpoint == a.Endpoint && other.Adapter == a.Adapter && m.state(other) == adapterLoading)
	}
	for _, r := range m.running {
		require.False(t, r.Endpoint == a.Endpoint && r.Adapter == a.Victim, "victim in use")
	}
	for _, it := range m.queued {
		require.NotEqual(t, a.Victim, it.Adapter, "victim with queued work")
	}
	delete(m.loaded[a.Endpoint], a.Victim)
	m.openLoads = append(m.openLoads, a)
}

// checkState compares the indexes of the scheduler with plain scans.
func (m *model) checkState(t *rapid.T) {
	require.Equal(t, len(m.queued), m.s.queuedItems)
	for id := range m.queued {
		r := m.s.requests[id]
		require.NotNil(t, r)
		if r.lane.head != r {
			continue
		}
		e, _ := m.s.pick(r.lane)
		require.Nil(t, e, "an item waits although an endpoint could run it")
		rank, at, needed := m.s.loadDemand(r.lane)
		require.Equal(t, needed, r.lane.loadIndex >= 0, "a lane that needs a load is in a heap")
		if needed {
			require.Equal(t, rank, r.lane.loadRank)
			require.False(t, r.lane.loadDue.After(at), "a pending load is recorded no later than it is due")
		}
	}
	for _, e := range m.s.endpoints {
		require.LessOrEqual(t, e.usedSlots(), modelSlots)
		m.checkVictim(t, e)
	}
}

// checkVictim compares the victim with the minimum found by a plain scan.
func (m *model) checkVictim(t *rapid.T, e *endpointView) {
	p, value, ok := m.s.victim(m.now, e)
	least := math.Inf(1)
	for _, other := range e.placements {
		if other.state == adapterResident && other.running == 0 && other.adapter.queued() == 0 && !other.foreignUse && !other.idleUnconfirmed {
			least = min(least, m.s.retentionValue(m.now, other))
		}
	}
	if e.usedSlots() < modelSlots {
		require.True(t, ok)
		require.Nil(t, p)
		return
	}
	require.Equal(t, !math.IsInf(least, 1), ok)
	if ok {
		require.Equal(t, least, value)
	}
}

// drain completes all loads successfully and finishes all items, and checks that every item has ended
// exactly once.
func (m *model) drain(t *rapid.T) {
	for n := range modelEndpoints {
		name := fmt.Sprintf("e%d", n)
		for i := range modelAdapters {
			m.s.AllowAdapter(name, version(i))
		}
		m.report(name)
	}
	for range 2000 {
		for len(m.openLoads) > 0 {
			a := m.openLoads[0]
			m.openLoads = m.openLoads[1:]
			m.permitsHeld--
			if m.state(a) == adapterLoading {
				m.loaded[a.Endpoint][a.Adapter] = true
			}
			m.s.Loaded(m.now, a.Endpoint, a.Adapter, nil)
		}
		for id, a := range m.running {
			delete(m.running, id)
			var refused error
			if !m.loaded[a.Endpoint][a.Adapter] {
				refused = endpoint.ErrNotLoaded
			}
			m.s.Finished(m.now, id, 1, refused)
		}
		m.decide(t)
		if len(m.queued) == 0 && len(m.running) == 0 && len(m.openLoads) == 0 {
			break
		}
		m.now = m.now.Add(100 * time.Millisecond)
	}
	require.Empty(t, m.queued, "an item starved")
	for id, n := range m.ended {
		require.Equal(t, 1, n, id)
	}
}

// TestSchedulerMatchesModel applies random events and checks that every item ends exactly once, that
// no adapter in use is evicted, that no item waits although an endpoint has room for it, and that the
// indexes agree with plain scans.
func TestSchedulerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		steps := []func(*rapid.T){
			m.enqueue, m.enqueue, m.enqueue, m.finish, m.finish, m.endLoad, m.endLoad,
			m.restart, m.unreachable, m.reportSome, m.remove, m.avoid, m.cacheEvents, m.advance,
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](t)
			m.decide(t)
		}
		m.drain(t)
	})
}

package gatewayd

import (
	"context"
	"errors"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/evacuation"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/relay"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/suspect"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// operatorStore is the operator's table as a fake. It can return from an older copy of itself.
type operatorStore struct {
	mu                  sync.Mutex
	rows                map[string]platform.Row
	generation, counter uint64
}

func newOperatorStore() *operatorStore {
	s := &operatorStore{rows: map[string]platform.Row{}, generation: 1}
	s.put("config", `{"Version":1}`)
	return s
}

func (s *operatorStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter++
	s.rows[key] = platform.Row{Key: key, Version: platform.VersionIn(s.generation, s.counter), Value: []byte(value)}
}

func (s *operatorStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter++
	delete(s.rows, key)
}

// copy returns a function that makes the store return from a copy as it is now.
func (s *operatorStore) copy() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows, counter := maps.Clone(s.rows), s.counter
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.rows, s.counter = maps.Clone(rows), counter
		s.generation++
	}
}

// Snapshot implements platform.Feed.
func (s *operatorStore) Snapshot(context.Context) ([]platform.Row, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []platform.Row
	for _, row := range s.rows {
		rows = append(rows, row)
	}
	return rows, platform.VersionIn(s.generation, s.counter), nil
}

// Changes implements platform.Feed. The fake keeps no history, so that every change needs a snapshot.
func (s *operatorStore) Changes(ctx context.Context, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; {
		s.mu.Lock()
		changed := after != platform.VersionIn(s.generation, s.counter)
		s.mu.Unlock()
		if changed {
			return nil, 0, platform.ErrCompacted
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, after, nil
}

// evacuationVM is a VM that reads the store, or one that pulls from such a VM if source is set.
type evacuationVM struct {
	*fleetView
	reader   *readingVM
	applier  *updateApplier
	restored []string

	mu sync.Mutex
	// source is the VM that is polled, log and revision what was received of its update log; all are guarded by mu.
	source   *readingVM
	log      string
	revision uint64
}

// evacuationFleet is a fleet in virtual time: stewards read the store, the other VMs pull from them.
type evacuationFleet struct {
	t     *testing.T
	store *operatorStore
	ctx   context.Context
	loops sync.WaitGroup
}

// runFleet runs a test with a fleet, and ends the loops of its VMs.
func runFleet(t *testing.T, run func(f *evacuationFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &evacuationFleet{t: t, store: newOperatorStore(), ctx: ctx}
		defer func() {
			cancel()
			f.loops.Wait()
			time.Sleep(time.Minute)
		}()
		run(f)
	})
}

func decodeTestRow(p Platform) func(key string, data []byte) (OperatorRow, error) {
	return func(key string, data []byte) (OperatorRow, error) {
		if domain, ok := strings.CutPrefix(key, "evacuate/"); ok {
			return OperatorRow{EvacuatedDomain: domain}, nil
		}
		return p.DecodeOperator(key, data)
	}
}

// steward starts a VM that reads the store.
func (f *evacuationFleet) steward() *evacuationVM {
	f.t.Helper()
	reader := newReadingVM(f.t, f.store)
	reader.settle(1)
	reader.view.platform.DecodeOperator = decodeTestRow(reader.view.platform)
	vm := &evacuationVM{fleetView: reader.view, reader: reader}
	f.addEndpoints(vm)
	f.loops.Go(func() { reader.operator.Run(f.ctx) })
	f.loops.Go(func() { reader.propagateConfirmations(f.ctx) })
	return vm
}

// follower starts a VM that pulls from a steward.
func (f *evacuationFleet) follower(source *evacuationVM) *evacuationVM {
	f.t.Helper()
	log, _ := test.NewNullLogger()
	view := newFleetView(source.platform, log)
	vm := &evacuationVM{fleetView: view, source: source.reader, applier: newUpdateApplier(view, &stewardSet{log: log, vms: map[string]knownVM{}}, log)}
	f.addEndpoints(vm)
	f.loops.Go(func() {
		for f.ctx.Err() == nil {
			vm.pull()
			time.Sleep(50 * time.Millisecond)
		}
	})
	return vm
}

// addEndpoints gives the VM's view two endpoints in different failure domains.
func (f *evacuationFleet) addEndpoints(vm *evacuationVM) {
	vm.onRestored = func(list []roster.Endpoint) { vm.restored = append(vm.restored, ids(list)...) }
	vm.applyEndpoints(domainEndpoints(), 1, time.Now())
}

func domainEndpoints() []roster.Endpoint {
	a, b := listedEndpoint("a", false), listedEndpoint("b", false)
	a.FailureDomain, b.FailureDomain = "north", "east"
	return []roster.Endpoint{a, b}
}

// pull applies what the VM's source has published since the last pull.
func (vm *evacuationVM) pull() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	entries, revision, full := vm.source.updateLog.Since(vm.log, vm.revision)
	age, _ := vm.source.Ages()
	vm.applier.apply(entries, full, time.Now().Add(-age), time.Now())
	vm.log, vm.revision = "x", revision
}

// switchTo makes the VM pull from another steward.
func (vm *evacuationVM) switchTo(steward *evacuationVM) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.source, vm.log = steward.reader, ""
}

// accepts reports whether requests may go to the endpoint now.
func (v *fleetView) accepts(id string) bool {
	e, _ := v.roster.View().Endpoint(id)
	return e.AcceptsRequests(time.Now()) && v.mayReach(upstream.Target{ID: id, Started: 1}) == nil
}

func (f *evacuationFleet) requireEvacuated(want bool, vms ...*evacuationVM) {
	f.t.Helper()
	for i, vm := range vms {
		require.Equal(f.t, !want, vm.accepts("a"), "VM %d", i)
		require.True(f.t, vm.accepts("b"), "VM %d", i)
	}
}

// Guards against VMs that do not learn of an evacuation in time, or not of its end, from a steward.
func TestEvacuationReachesAllVMsAndEnds(t *testing.T) {
	runFleet(t, func(f *evacuationFleet) {
		s := f.steward()
		vms := []*evacuationVM{s, f.follower(s), f.follower(s)}
		time.Sleep(2 * time.Second)
		f.requireEvacuated(false, vms...)
		f.store.put("evacuate/north", "{}")
		time.Sleep(500 * time.Millisecond)
		for i, vm := range vms {
			e, _ := vm.roster.View().Endpoint("a")
			require.True(t, e.Evacuating(), "VM %d moves work away at once", i)
			require.EqualValues(t, platform.VersionIn(1, 2), vm.evacuatedDomains()[0].Position, "VM %d", i)
		}
		f.requireEvacuated(false, vms...)
		time.Sleep(evacuation.DefaultWithin - 500*time.Millisecond)
		f.requireEvacuated(true, vms...)
		joined := []*evacuationVM{f.steward(), f.follower(s)}
		time.Sleep(100 * time.Millisecond)
		f.requireEvacuated(true, joined...)
		time.Sleep(30 * time.Second)
		vms = append(vms, joined...)
		f.requireEvacuated(true, vms...)
		f.store.remove("evacuate/north")
		time.Sleep(time.Second)
		f.requireEvacuated(false, vms...)
		for _, vm := range vms {
			require.Equal(t, []string{"a"}, vm.restored)
		}
	})
}

// Guards against requests to an evacuated domain after the store has returned from a copy that does not have the row: the VMs that
// know the row keep to it until the operator has written it again, also those that switch to a steward that has never seen it.
func TestEvacuationHoldsWhenTheStoreReturnsFromACopyWithoutIt(t *testing.T) {
	runFleet(t, func(f *evacuationFleet) {
		s := f.steward()
		vms := []*evacuationVM{s, f.follower(s), f.follower(s)}
		time.Sleep(time.Second)
		restore := f.store.copy()
		f.store.put("evacuate/north", "{}")
		time.Sleep(evacuation.DefaultWithin)
		restore()
		late := f.steward()
		late.reader.settle(2)
		time.Sleep(time.Second)
		vms[2].switchTo(late)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			f.requireEvacuated(true, vms...)
		}
		f.store.put("evacuate/north", "{}")
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			f.requireEvacuated(true, vms...)
		}
		f.store.remove("evacuate/north")
		time.Sleep(time.Second)
		f.requireEvacuated(false, append(vms, late)...)
	})
}

// Guards against a domain that stays evacuated for ever because its row was lost with the store and is not written again.
func TestEvacuationEndsIfTheRowIsNotWrittenAgain(t *testing.T) {
	runFleet(t, func(f *evacuationFleet) {
		s := f.steward()
		vms := []*evacuationVM{s, f.follower(s)}
		time.Sleep(time.Second)
		restore := f.store.copy()
		f.store.put("evacuate/north", "{}")
		time.Sleep(evacuation.DefaultWithin)
		restore()
		time.Sleep(5 * time.Second)
		f.requireEvacuated(true, vms...)
		time.Sleep(2 * time.Second)
		f.requireEvacuated(false, vms...)
		require.Equal(t, []string{"a"}, vms[1].restored)
	})
}

// Guards against VMs that disagree when a copy brings a removed row back: it counts until the operator removes it again.
func TestRemovedEvacuationThatACopyBringsBack(t *testing.T) {
	runFleet(t, func(f *evacuationFleet) {
		f.store.put("evacuate/north", "{}")
		s := f.steward()
		vms := []*evacuationVM{s, f.follower(s)}
		time.Sleep(time.Second)
		f.requireEvacuated(true, vms...)
		restore := f.store.copy()
		f.store.remove("evacuate/north")
		time.Sleep(time.Second)
		f.requireEvacuated(false, vms...)
		restore()
		time.Sleep(evacuation.DefaultWithin)
		f.requireEvacuated(true, vms...)
		f.store.remove("evacuate/north")
		time.Sleep(time.Second)
		f.requireEvacuated(false, vms...)
	})
}

// Guards against an evacuation that is not used while the operator's rows are held back after a return of the store: open routes
// are served meanwhile.
func TestEvacuationCountsWhileOperatorRowsAreHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := newReadingVM(t, nil)
		vm.view.platform.DecodeOperator = decodeTestRow(vm.view.platform)
		vm.settle(1)
		vm.view.applyEndpoints(domainEndpoints(), 1, time.Now())
		rows := map[string]platform.Row{"config": vm.row(2, bundle.Bundle{Version: 7}), "evacuate/north": vm.row(2, struct{}{})}
		vm.onOperatorRows(rows, platform.VersionIn(2, vm.counter))
		require.Nil(t, vm.view.rules.Load(), "the rows are held back")
		require.False(t, vm.view.accepts("a"))
		require.True(t, vm.view.accepts("b"))
		require.Zero(t, vm.publishedVersion())
		time.Sleep(maxTestWait)
		vm.publishOperatorRows()
		require.EqualValues(t, 7, vm.view.configVersion())
		require.False(t, vm.view.accepts("a"))
	})
}

// Guards against a VM that takes its first configuration and serves before it knows which domains are evacuated.
func TestEvacuationIsKnownBeforeTheConfiguration(t *testing.T) {
	vm := newReadingVM(t, nil)
	vm.view.platform.DecodeOperator = decodeTestRow(vm.view.platform)
	vm.view.applyEndpoints(domainEndpoints(), 1, time.Now())
	known := false
	vm.view.evacuateWithin = func() time.Duration {
		known = vm.view.rules.Load() == nil
		return evacuation.DefaultWithin
	}
	vm.view.applyOperatorRows(map[string][]byte{"config": []byte(`{"Version":7}`), "evacuate/north": []byte("{}")}, 5, nil)
	require.True(t, known)
	require.NotNil(t, vm.view.rules.Load())
}

// Guards against endpoints that lose the mark when the list is replaced, join without it, or pass it on to other VMs; against
// probes and crash reports of endpoints that must not be reached; and against a restored domain that gets requests before the
// hook has run.
func TestEndpointsOfEvacuatedDomains(t *testing.T) {
	log, lines := test.NewNullLogger()
	v := newFleetView(Platform{}, log)
	v.applyEndpoints(domainEndpoints(), 1, time.Now())
	v.applyEvacuations([]evacuation.Row{{Domain: "north", Key: "evacuate/north"}, {Domain: "west", Key: "evacuate/west"}}, 5)
	event := func(i int) any { return lines.AllEntries()[i].Data["event"] }
	require.Equal(t, "failure_domain_emptied", event(2))
	require.Equal(t, 1, lines.AllEntries()[2].Data["endpoints"])
	require.Equal(t, 0, lines.AllEntries()[3].Data["endpoints"], "a domain without endpoints is kept")
	require.False(t, v.accepts("a"))
	require.ErrorIs(t, v.mayReach(upstream.Target{ID: "a"}), upstream.ErrWithheld)
	a, _ := v.roster.View().Endpoint("a")
	require.Equal(t, suspect.Evacuated, v.listing(a))

	state := v.evacuationState(time.Now())
	require.Len(t, state, 2)
	require.Equal(t, "north", state[0].Domain)
	require.Equal(t, 1, state[0].Endpoints)
	require.Equal(t, "0s", state[0].Moving)

	joined := listedEndpoint("c", false)
	joined.FailureDomain = "west"
	v.applyEndpoints(append(domainEndpoints(), joined), 2, time.Now())
	require.False(t, v.accepts("a"))
	require.False(t, v.accepts("c"))
	require.True(t, v.accepts("b"))

	v.onRestored = func(list []roster.Endpoint) {
		require.Equal(t, []string{"a"}, ids(list))
		require.False(t, v.accepts("a"))
	}
	v.applyEvacuations([]evacuation.Row{{Domain: "west", Key: "evacuate/west"}}, 6)
	require.True(t, v.accepts("a"))
	require.False(t, v.accepts("c"))
	require.Equal(t, "failure_domain_restored", lines.LastEntry().Data["event"])
}

// Guards against malformed rows that stop the others from being applied.
func TestMalformedEvacuationIsIgnored(t *testing.T) {
	log, lines := test.NewNullLogger()
	v := newFleetView(Platform{DecodeOperator: func(key string, _ []byte) (OperatorRow, error) {
		if key == "evacuate/" {
			return OperatorRow{}, errors.New("empty")
		}
		return OperatorRow{EvacuatedDomain: strings.TrimPrefix(key, "evacuate/")}, nil
	}}, log)
	v.applyOperatorRows(map[string][]byte{"evacuate/": []byte("{}"), "evacuate/north": []byte("{}")}, 5, nil)
	require.Len(t, v.evacuatedDomains(), 1)
	require.Equal(t, "operator_row_malformed", lines.AllEntries()[0].Data["event"])
}

// Guards against entries of the operator's topic that are replaced one by one: a VM that starts must not get the configuration
// without the evacuations.
func TestOperatorRowsArePublishedTogether(t *testing.T) {
	l := relay.NewUpdateLog("x")
	var loops sync.WaitGroup
	done := make(chan struct{})
	loops.Go(func() {
		defer close(done)
		for i := range 2000 {
			rows := map[string][]byte{"config": {byte(i)}, "evacuate/a": {byte(i)}, "evacuate/b": {byte(i)}}
			if i%2 == 1 {
				rows = map[string][]byte{}
			}
			l.Replace(relay.Operator, rows)
		}
	})
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		entries, _, _ := l.Since("", 0)
		require.Contains(t, []int{0, 3}, len(entries))
	}
	loops.Wait()
}

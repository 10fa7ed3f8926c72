package software

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	modelGroup = "writers"
	// modelLife is for how long a stream may be taken up, modelContact how long a VM must have been without disruption to be in touch.
	modelLife    = 12 * time.Second
	modelContact = 3 * time.Second
	// modelStoreTime is the time that the store takes to respond, modelPeerTime that of a call between VMs.
	modelStoreTime = 4 * time.Millisecond
	modelPeerTime  = time.Millisecond
)

// model is a fleet of VMs with their Keepers, the fleet's table, a list of endpoints and callers, in virtual time.
type model struct {
	t      *testing.T
	rng    *rand.Rand
	timing Timing
	bound  time.Duration
	vms    []*modelVM
	// lone says that each VM gets no calls from others, as if they had no memory of streams.
	lone bool

	mu sync.Mutex
	// The fields below are guarded by mu.

	rows       map[string]platform.Row
	counter    uint64
	generation uint64
	// backups are earlier states of rows, oldest first.
	backups   []map[string]platform.Row
	storeDown bool
	endpoints map[string]roster.Endpoint
	nextID    int
	reads     int
	writes    int

	// events tell what happened, oldest first; eventsUntil is their number at the first violation.
	events      []string
	eventsUntil int

	streams    int
	refused    int
	violations []string
	// takeUps counts those at VMs in touch while two endpoints of the version are listed, wentOn those of them that go on.
	takeUps, wentOn int
	sources         map[string]int
}

// modelVM is a VM. Its process starts anew with each boot.
type modelVM struct {
	m  *model
	id string

	// The fields below are guarded by m.mu.

	keeper *Keeper
	cancel context.CancelFunc
	boot   int
	killed bool
	// cut says that the VM reaches neither the store nor other VMs, noStore only the store; frozen, that it stands still.
	cut, noStore, frozen bool
	disturbed            time.Time
	// rows are those that the process listed when it started, at rowsSent.
	rows           []platform.Row
	rowsSent       time.Time
	rowsGeneration uint64
}

func newModel(t *testing.T, seed uint64, n int, timing Timing, bound time.Duration) *model {
	m := &model{
		t: t, rng: rand.New(rand.NewPCG(seed, uint64(n))), timing: timing, bound: bound, rows: map[string]platform.Row{},
		endpoints: map[string]roster.Endpoint{}, sources: map[string]int{},
	}
	for i := range n {
		m.vms = append(m.vms, &modelVM{m: m, id: fmt.Sprintf("vm-%d", i)})
	}
	return m
}

func (m *model) random(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.IntN(n)
}

// event notes what happened. m.mu is held.
func (m *model) event(format string, args ...any) {
	m.events = append(m.events, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// report returns the last events before the first violation.
func (m *model) report() string {
	return strings.Join(m.events[max(0, m.eventsUntil-60):m.eventsUntil], "\n")
}

// add lists an endpoint of a version, and returns its ID.
func (m *model) add(version string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextID++
	m.counter++
	id := fmt.Sprintf("e%d", m.nextID)
	m.endpoints[id] = roster.Endpoint{Incarnation: roster.Incarnation{ID: id, Started: time.Now().UnixMilli()}, Group: modelGroup, Software: version, Slots: 8}
	return id
}

func (m *model) remove(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter++
	delete(m.endpoints, id)
}

func (m *model) withVersion(version string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, e := range m.endpoints {
		if e.Software == version {
			n++
		}
	}
	return n
}

// awaitThaw returns when the VM does not stand still.
func (vm *modelVM) awaitThaw() {
	for {
		vm.m.mu.Lock()
		frozen := vm.frozen
		vm.m.mu.Unlock()
		if !frozen {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// reachesStore waits as long as a call to the store takes and reports whether it has a response.
func (vm *modelVM) reachesStore(ctx context.Context) bool {
	vm.awaitThaw()
	vm.m.mu.Lock()
	lost := vm.cut || vm.noStore || vm.killed || vm.m.storeDown
	vm.m.mu.Unlock()
	if lost {
		clock.Sleep(ctx, 300*time.Millisecond)
		return false
	}
	clock.Sleep(ctx, modelStoreTime)
	return ctx.Err() == nil
}

// List implements Rows.
func (vm *modelVM) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	if !vm.reachesStore(ctx) {
		return nil, platform.ErrUnavailable
	}
	m := vm.m
	m.mu.Lock()
	m.reads++
	var rows []platform.Row
	for key, r := range m.rows {
		if strings.HasPrefix(key, prefix) {
			r.Version = platform.VersionIn(m.generation, r.Version)
			rows = append(rows, r)
		}
	}
	m.mu.Unlock()
	clock.Sleep(ctx, modelStoreTime)
	vm.awaitThaw()
	return rows, nil
}

// listed implements Config.Listed.
func (vm *modelVM) listed(string) ([]platform.Row, time.Time, uint64) {
	vm.m.mu.Lock()
	defer vm.m.mu.Unlock()
	return vm.rows, vm.rowsSent, vm.rowsGeneration
}

// Generation implements Rows.
func (vm *modelVM) Generation() uint64 {
	vm.m.mu.Lock()
	defer vm.m.mu.Unlock()
	return vm.m.generation
}

// Commit implements Rows. Some writes are made although their responses are lost.
func (vm *modelVM) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if !vm.reachesStore(ctx) {
		return 0, platform.ErrUnavailable
	}
	m := vm.m
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	for _, c := range txn.Conditions {
		r, ok := m.rows[c.Key]
		if c.Version == 0 && ok || c.Version != 0 && (!ok || platform.VersionIn(m.generation, r.Version) != c.Version) {
			return 0, platform.ErrConflict
		}
	}
	m.counter++
	for _, w := range txn.Writes {
		m.event("%s writes %s", vm.id, w.Value)
		if w.Delete {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = platform.Row{Key: w.Key, Version: m.counter, Value: w.Value}
	}
	if m.rng.IntN(10) == 0 {
		return 0, platform.ErrUnknown
	}
	return platform.VersionIn(m.generation, m.counter), nil
}

// Call implements peer.Client.
func (vm *modelVM) Call(ctx context.Context, address, method string, args, reply any) error {
	m := vm.m
	m.mu.Lock()
	target := m.vms[slices.IndexFunc(m.vms, func(v *modelVM) bool { return v.id == address })]
	m.mu.Unlock()
	clock.Sleep(ctx, modelPeerTime)
	for {
		m.mu.Lock()
		keeper, killed, lost := target.keeper, target.killed, target.frozen || target.cut || vm.cut || vm.frozen || m.lone
		m.mu.Unlock()
		switch {
		case killed:
			return peer.ErrRefused
		case lost && ctx.Err() != nil:
			return peer.ErrUnreachable
		case lost:
			clock.Sleep(ctx, 20*time.Millisecond)
			continue
		case strings.HasSuffix(method, ".Record"):
			return keeper.Service().Record(args.(*RecordArgs), reply.(*RecordReply))
		}
		return keeper.Service().Lookup(args.(*LookupArgs), reply.(*LookupReply))
	}
}

// start starts the VM's process.
func (vm *modelVM) start() {
	m := vm.m
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	members := make([]membership.Member, 0, len(m.vms))
	for _, other := range m.vms {
		members = append(members, membership.Member{ID: other.id, PeerAddress: other.id})
	}
	keeper := NewKeeper(Config{
		Self: vm.id, Rows: vm, Listed: vm.listed,
		WritesFirst: func() bool { return vm.id == "vm-0" }, Settled: func(uint64) bool { return false },
		FirstStart: func() bool { return false },
		Life:       func(string) (time.Duration, bool) { return modelLife, true }, Members: func() []membership.Member { return members }, PeerClient: vm,
		Timing: m.timing, ReadInterval: m.bound / 5, ReadTimeout: 3 * m.bound / 20, Log: log,
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.mu.Lock()
	if vm.cancel != nil {
		// Another disruption has started it already.
		vm.cancel()
	}
	vm.keeper, vm.cancel, vm.killed = keeper, cancel, false
	vm.boot++
	vm.rows, vm.rowsSent = nil, time.Time{}
	m.mu.Unlock()
	go func() {
		// A VM that starts lists the fleet's table, to find the leases.
		sent := time.Now()
		if rows, err := vm.List(ctx, rowPrefix); err == nil {
			m.mu.Lock()
			vm.rows, vm.rowsSent, vm.rowsGeneration = rows, sent, m.generation
			m.mu.Unlock()
		}
	}()
	go keeper.Run(ctx)
	go vm.follow(ctx, keeper)
}

// follow passes the list of endpoints on to the VM, at most as old as at a VM in step.
func (vm *modelVM) follow(ctx context.Context, keeper *Keeper) {
	m := vm.m
	for ctx.Err() == nil {
		if vm.reachesStore(ctx) {
			confirmed := time.Now()
			m.mu.Lock()
			list, position := slices.Collect(maps.Values(m.endpoints)), platform.VersionIn(m.generation, m.counter)
			m.mu.Unlock()
			clock.Sleep(ctx, time.Duration(m.random(int(m.bound/3))))
			vm.awaitThaw()
			if ctx.Err() == nil {
				keeper.List(list, position, confirmed)
			}
		}
		clock.Sleep(ctx, m.bound/5)
	}
}

func (vm *modelVM) kill() {
	vm.m.mu.Lock()
	defer vm.m.mu.Unlock()
	vm.killed, vm.disturbed = true, time.Now()
	vm.cancel()
}

// disturb changes a VM, and records that it is disrupted now.
func (vm *modelVM) disturb(change func()) {
	vm.m.mu.Lock()
	defer vm.m.mu.Unlock()
	change()
	vm.disturbed = time.Now()
}

func (vm *modelVM) inTouch() bool {
	m := vm.m
	return !vm.killed && !vm.cut && !vm.noStore && !vm.frozen && !m.storeDown && time.Since(vm.disturbed) >= modelContact
}

// run sends a request for a stream to a VM, and returns the version of the endpoint that serves it; false if the stream does not
// begin, or go on. id is that of this attempt, resumes that of the first one or empty.
func (vm *modelVM) run(id, resumes string) (Decision, bool) {
	m := vm.m
	m.mu.Lock()
	keeper, boot, killed, touch := vm.keeper, vm.boot, vm.killed, vm.inTouch()
	m.mu.Unlock()
	if killed {
		return Decision{}, false
	}
	vm.awaitThaw()
	ctx, cancel := context.WithTimeout(context.Background(), modelLife/2)
	defer cancel()
	var d Decision
	var err error
	if resumes == "" {
		d, err = keeper.Begin(ctx, modelGroup, id)
	} else {
		d, err = keeper.TakeUp(ctx, modelGroup, resumes)
	}
	if err == nil {
		// The request waits for an endpoint, and the VM may stand still meanwhile.
		time.Sleep(time.Duration(m.random(150)) * time.Millisecond)
		vm.awaitThaw()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	serving := 0
	for _, e := range m.endpoints {
		if err == nil && e.Software == d.Version {
			serving++
		}
	}
	ok := err == nil && serving > 0 && ctx.Err() == nil && vm.boot == boot && !vm.killed && !vm.cut
	if resumes == "" {
		m.streams++
		if !ok && touch {
			m.refused++
		}
	}
	if !ok {
		m.event("%s refuses %s, %s: %v", vm.id, id, resumes, err)
		return Decision{}, false
	}
	m.sources[d.Source]++
	m.mu.Unlock()
	keeper.Began(modelGroup, id, d.Version)
	if resumes != "" {
		keeper.Began(modelGroup, resumes, d.Version)
	}
	m.mu.Lock()
	return d, true
}

// caller runs one stream that breaks off after a while, and takes it up at other VMs.
func (m *model) caller(id string) {
	first := m.vms[m.random(len(m.vms))]
	begun, ok := first.run(id, "")
	if !ok {
		return
	}
	version := begun.Version
	began := time.Now()
	for try := 1; try <= 3 && time.Since(began) < modelLife/2; try++ {
		time.Sleep(time.Duration(m.random([]int{200, 2500}[m.random(2)])) * time.Millisecond)
		vm := m.vms[m.random(len(m.vms))]
		m.mu.Lock()
		counts := vm.inTouch()
		m.mu.Unlock()
		counts = counts && m.withVersion(version) >= 2
		at, ok := vm.run(fmt.Sprintf("%s/%d", id, try), id)
		m.mu.Lock()
		if counts && vm.inTouch() {
			m.takeUps++
			if ok {
				m.wentOn++
			}
		}
		if ok && at.Version != version {
			if m.eventsUntil == 0 {
				m.eventsUntil = len(m.events)
			}
			m.event("violation")
			m.violations = append(m.violations, fmt.Sprintf("stream %s began at %s (%s, %+v) and went on %v later at %v at %s (%s, %+v)",
				id, version, first.id, begun, time.Since(began), time.Now().Format("05.000"), at.Version, vm.id, at))
		}
		m.mu.Unlock()
	}
}

// callers run streams until ctx ends.
func (m *model) callers(ctx context.Context, perSecond int) {
	var all sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		all.Go(func() { m.caller(fmt.Sprintf("s%d", i)) })
		clock.Sleep(ctx, time.Second/time.Duration(perSecond))
	}
	all.Wait()
}

// release replaces endpoints by ones of a version.
func (m *model) release(version string, share int, gap time.Duration) {
	m.mu.Lock()
	ids := slices.Sorted(maps.Keys(m.endpoints))
	m.rng.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
	m.event("release of %s, %d of 100, each %v", version, share, gap)
	m.mu.Unlock()
	for _, id := range ids[:len(ids)*share/100] {
		m.add(version)
		time.Sleep(gap)
		m.remove(id)
	}
}

// goBack makes the table return from an older copy.
func (m *model) goBack() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.backups) > 0 {
		m.rows = maps.Clone(m.backups[max(0, len(m.backups)-2-m.rng.IntN(5))])
		m.generation++
		m.event("store returns with %s", m.rows[rowPrefix+modelGroup].Value)
	}
}

// backUp keeps the state of the table each second.
func (m *model) backUp(ctx context.Context) {
	clock.Every(ctx, time.Second, func(time.Time) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.backups = append(m.backups, maps.Clone(m.rows))
	})
}

// disrupt disrupts one to three VMs, or all, in a way drawn at random.
func (m *model) disrupt() {
	n := 1 + m.random(3)
	way := m.random(7)
	if way >= 5 {
		n = len(m.vms)
	}
	m.mu.Lock()
	vms := slices.Clone(m.vms)
	m.rng.Shuffle(len(vms), func(i, k int) { vms[i], vms[k] = vms[k], vms[i] })
	length := time.Duration(500+m.rng.IntN(6500)) * time.Millisecond
	m.mu.Unlock()
	set := func(on bool) {
		for _, vm := range vms[:n] {
			switch way {
			case 0:
				vm.disturb(func() { vm.cut = on })
			case 1:
				vm.disturb(func() { vm.noStore = on })
			case 2:
				vm.disturb(func() { vm.frozen = on })
			case 3, 5:
				if on {
					vm.kill()
				} else {
					vm.start()
					vm.disturb(func() {})
				}
			case 4, 6:
				vm.disturb(func() { m.storeDown = on })
			}
		}
	}
	if way == 3 || way == 5 {
		length = time.Second
	}
	set(true)
	m.mu.Lock()
	ids := ""
	for _, vm := range vms[:n] {
		ids += " " + vm.id
	}
	m.event("disruption %d of%s for %v", way, ids, length)
	m.mu.Unlock()
	time.Sleep(length)
	if way == 6 {
		m.goBack()
	}
	set(false)
}

// stop ends all processes.
func (m *model) stop() {
	m.mu.Lock()
	for _, vm := range m.vms {
		vm.frozen = false
		vm.cancel()
	}
	m.mu.Unlock()
	time.Sleep(time.Minute)
}

// begin starts a fleet before endpoints of one version that have been up for long.
func (m *model) begin(versions ...string) {
	for i := range 9 {
		m.add(versions[i%len(versions)])
	}
	time.Sleep(time.Minute)
	for _, vm := range m.vms {
		vm.start()
		vm.disturb(func() {})
	}
	time.Sleep(2 * modelContact)
}

// play runs releases, which overlap and go back, beside disruptions.
func (m *model) play(length time.Duration) {
	m.begin("v1")
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var loops sync.WaitGroup
	loops.Go(func() { m.callers(ctx, 20) })
	loops.Go(func() { m.backUp(ctx) })
	for range 2 {
		loops.Go(func() {
			for ctx.Err() == nil {
				clock.Sleep(ctx, time.Duration(m.random(12000))*time.Millisecond)
				m.release([]string{"v1", "v2", "v3"}[m.random(3)], 10+m.random(90), time.Duration(100+m.random(900))*time.Millisecond)
			}
		})
		loops.Go(func() {
			for ctx.Err() == nil {
				clock.Sleep(ctx, time.Duration(1000+m.random(7000))*time.Millisecond)
				m.disrupt()
			}
		})
	}
	loops.Wait()
}

var modelSeeds = flag.Uint64("software-seeds", 1, "how many times as many seeds the model of software versions plays")

// Guards against streams with events of two software versions, at VMs in step or not, and against take-ups that are refused at VMs
// in touch: releases overlap and go back while VMs are killed, cut off, frozen and without the store, and the store returns from
// older copies.
func TestStreamsKeepToTheirSoftwareVersion(t *testing.T) {
	for _, fleet := range []struct {
		vms   int
		bound time.Duration
		seeds uint64
	}{{3, 2 * time.Second, 6}, {7, 2 * time.Second, 12}, {30, 3 * time.Second, 2}} {
		for seed := range fleet.seeds * *modelSeeds {
			t.Run(fmt.Sprintf("%d/%d", fleet.vms, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newModel(t, seed, fleet.vms, NewTiming(fleet.bound), fleet.bound)
					defer m.stop()
					m.play(2 * time.Minute)
					t.Logf("%d streams, %d of them refused at VMs in touch; take-ups there %d, went on %d; %v", m.streams, m.refused, m.takeUps, m.wentOn, m.sources)
					require.Empty(t, m.violations, m.report())
					require.Greater(t, m.takeUps, 12)
					require.GreaterOrEqual(t, float64(m.wentOn)/float64(m.takeUps), 0.5*(1-float64(m.refused)/float64(m.streams)))
				})
			})
		}
	}
}

// outOfStep is how a VM gets out of step.
var outOfStep = map[string]func(vm *modelVM, on bool){
	"cut off":           func(vm *modelVM, on bool) { vm.cut = on },
	"without the store": func(vm *modelVM, on bool) { vm.noStore = on },
	"frozen":            func(vm *modelVM, on bool) { vm.frozen = on },
}

// releaseBeside plays a release while one VM is out of step. Streams begin through other VMs some time after, and are taken up at the
// VM at once, and again once it is in step.
func (m *model) releaseBeside(set func(vm *modelVM, on bool), after time.Duration) (begun map[string]string, wrong, wentOn int) {
	m.begin("v1")
	out := m.vms[6]
	time.Sleep(time.Second)
	out.disturb(func() { set(out, true) })
	go m.release("v2", 60, 400*time.Millisecond)
	time.Sleep(after)
	begun = map[string]string{}
	var starts sync.WaitGroup
	for i := range 200 {
		starts.Go(func() {
			id := fmt.Sprintf("s%d", i)
			if d, ok := m.vms[i%6].run(id, ""); ok {
				m.mu.Lock()
				defer m.mu.Unlock()
				begun[id] = d.Version
			}
		})
	}
	starts.Wait()
	takeUp := func() {
		var all sync.WaitGroup
		for id, version := range begun {
			all.Go(func() {
				if at, ok := out.run("again-"+id, id); ok {
					m.mu.Lock()
					defer m.mu.Unlock()
					wentOn++
					if at.Version != version {
						wrong++
					}
				}
			})
		}
		all.Wait()
	}
	go func() {
		time.Sleep(2 * time.Second)
		out.disturb(func() { set(out, false) })
	}()
	takeUp()
	time.Sleep(modelContact)
	takeUp()
	return begun, wrong, wentOn
}

// Guards against the reported case: while endpoints of a new version join, one VM is cut off, without the store or stands still.
// Streams that begin at the new version through other VMs are taken up there.
func TestVMOutOfStepDuringARelease(t *testing.T) {
	for name, set := range outOfStep {
		for _, memories := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, memories %t", name, memories), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newModel(t, 1, 7, NewTiming(2*time.Second), 2*time.Second)
					defer m.stop()
					m.lone = !memories
					begun, wrong, wentOn := m.releaseBeside(set, 4500*time.Millisecond)
					require.Contains(t, slices.Collect(maps.Values(begun)), "v2")
					require.Zero(t, wrong)
					if memories {
						require.GreaterOrEqual(t, wentOn, len(begun), "once the VM is in step again, its take-ups go on")
					}
				})
			})
		}
	}
}

// Guards against take-ups that are refused after a loss of all VMs although the streams' versions serve: during a release, when the
// tables do not agree, and all memories are gone.
func TestAllVMsLostDuringARelease(t *testing.T) {
	for _, after := range []time.Duration{3 * time.Second, 6 * time.Second, 9 * time.Second} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(t, 1, 7, NewTiming(2*time.Second), 2*time.Second)
				defer m.stop()
				m.begin("v1")
				go m.release("v2", 50, 200*time.Millisecond)
				time.Sleep(after - time.Second)
				begun := map[string]string{}
				var all sync.WaitGroup
				for i := range 200 {
					all.Go(func() {
						id := fmt.Sprintf("s%d", i)
						if d, ok := m.vms[i%7].run(id, ""); ok {
							m.mu.Lock()
							defer m.mu.Unlock()
							begun[id] = d.Version
						}
					})
				}
				all.Wait()
				time.Sleep(time.Second)
				for _, vm := range m.vms {
					vm.kill()
				}
				time.Sleep(time.Second)
				for _, vm := range m.vms {
					vm.start()
				}
				time.Sleep(1500 * time.Millisecond)
				wrong, wentOn := 0, 0
				for i, id := range slices.Sorted(maps.Keys(begun)) {
					all.Go(func() {
						if at, ok := m.vms[i%7].run("again-"+id, id); ok {
							m.mu.Lock()
							defer m.mu.Unlock()
							wentOn++
							if at.Version != begun[id] {
								wrong++
							}
						}
					})
				}
				all.Wait()
				require.Zero(t, wrong)
				require.Greater(t, wentOn, len(begun)*3/4)
			})
		})
	}
}

// twoVersions returns the keeper of a VM that has just started, a list of endpoints and the rows of the fleet's table.
func twoVersions(t *testing.T) (*Keeper, []roster.Endpoint, []platform.Row) {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	k := NewKeeper(Config{
		Self: "vm", Settled: func(uint64) bool { return false }, FirstStart: func() bool { return false },
		Life: func(string) (time.Duration, bool) { return modelLife, true }, Timing: NewTiming(2 * time.Second), Log: log,
	})
	list := []roster.Endpoint{
		{Incarnation: roster.Incarnation{ID: "a", Started: 1}, Group: modelGroup, Software: "v1", Slots: 8},
		{Incarnation: roster.Incarnation{ID: "b", Started: 1}, Group: modelGroup, Software: "v2", Slots: 8},
	}
	data, err := json.Marshal(row{Tables: []Table{
		{ID: "t0", Seq: 1, Shares: map[string]int{"v1": 32}, Settled: true}, {ID: "t1", Seq: 2, Shares: map[string]int{"v1": 16, "v2": 16}, Settled: true},
	}})
	require.NoError(t, err)
	return k, list, []platform.Row{{Key: rowPrefix + modelGroup, Version: platform.VersionIn(0, 9), Value: data}}
}

// Guards against tables that are forgotten because the store has returned from an older copy, if the list of endpoints is the first to
// show it: the VM keeps what it knows, and decides nothing by the store until all have written again what it has lost.
func TestTablesThatTheStoreLosesAreKept(t *testing.T) {
	k, list, stored := twoVersions(t)
	k.List(list, platform.VersionIn(0, 10), time.Now())
	k.applyRows(stored, time.Now(), 0)
	_, why := k.decide(modelGroup, "s")
	require.NotEqual(t, outOfDate, why)
	k.List(list, platform.VersionIn(1, 5), time.Now())
	k.applyRows(nil, time.Now(), 1)
	g := k.groups[modelGroup]
	require.NotNil(t, g.row)
	require.Len(t, g.row.Tables, 2)
	next, due := g.plan(modelLife, func() string { return "new" }, time.Now())
	require.True(t, due, "what the store has lost is written again")
	require.Len(t, next.Tables, 2)
}

// Guards against a take-up by tables that the store has lost the newest of: a VM that starts after the store has returned from an older
// copy cannot know whether another VM is left that writes it again.
func TestVMThatStartsAfterAReturnDoesNotTrustTheTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, list, stored := twoVersions(t)
		agreeing := ""
		for i := 0; agreeing == ""; i++ {
			if version, _ := (Table{Shares: map[string]int{"v1": 16, "v2": 16}}).VersionOf(KeyOf(modelGroup, fmt.Sprint(i))); version == "v1" {
				agreeing = fmt.Sprint(i)
			}
		}
		read := func() reason {
			k.List(list, platform.VersionIn(1, 10), time.Now())
			k.applyRows(stored, time.Now(), 1)
			_, why := k.decide(modelGroup, agreeing)
			return why
		}
		for began := time.Now(); time.Since(began) < modelLife; time.Sleep(time.Second) {
			require.Equal(t, outOfDate, read())
		}
		time.Sleep(k.cfg.Timing.Hold)
		require.Equal(t, decided, read(), "streams of then are over")
	})
}

// The model finds the faults that it guards against: tables that are used at once, and copies of any age that decide take-ups.
func TestModelFindsStreamsOfTwoVersions(t *testing.T) {
	for name, test := range map[string]struct {
		timing Timing
		after  time.Duration
	}{
		"tables settle at once": {Timing{Bound: 5 * time.Second, Margin: -5 * time.Second, BeginFor: 10 * time.Second, Hold: 3 * time.Second}, 3 * time.Second},
		"copies of any age":     {Timing{Bound: 20 * time.Second, Margin: -18 * time.Second, BeginFor: 30 * time.Second, Hold: 3 * time.Second}, 4500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(t, 1, 7, test.timing, 2*time.Second)
				defer m.stop()
				m.lone = true
				_, wrong, _ := m.releaseBeside(outOfStep["without the store"], test.after)
				require.Greater(t, wrong, 2)
			})
		})
	}
}

// Guards against calls, delays and refusals in a fleet with one version, also in the first second after a start.
func TestOneVersionCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newModel(t, 1, 7, NewTiming(2*time.Second), 2*time.Second)
		defer m.stop()
		m.begin("v1")
		calls := func() (reads, writes int) {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.reads, m.writes
		}
		reads, _ := calls()
		require.LessOrEqual(t, reads, len(m.vms), "a VM lists its table once, as it does for the leases")
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		m.callers(ctx, 20)
		readsNow, writes := calls()
		require.Equal(t, reads, readsNow)
		require.Zero(t, writes)
		require.Zero(t, m.refused)
		require.Equal(t, m.takeUps, m.wentOn)
		require.Greater(t, m.takeUps, 100)
		m.vms[0].kill()
		m.vms[0].start()
		ready := func() bool {
			m.mu.Lock()
			keeper := m.vms[0].keeper
			m.mu.Unlock()
			keeper.mu.Lock()
			defer keeper.mu.Unlock()
			return !keeper.listedAt.IsZero()
		}
		for !ready() {
			time.Sleep(time.Millisecond)
		}
		began := time.Now()
		d, ok := m.vms[0].run("again", "unknown")
		require.True(t, ok)
		require.Equal(t, "v1", d.Version)
		require.Less(t, time.Since(began), 200*time.Millisecond)
	})
}

package suspect

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// homeCalls is the number of calls that the first crash of a request costs: it is reported to the homes of the request, which
// report it to each other, and to the homes that record when the crash was first seen.
const homeCalls = homesPerRequest*homesPerRequest + homesPerRequest

// defaultListingVMs is the number of VMs that list the table, unless a test changes it.
const defaultListingVMs = 8

// syncDeadline is the time within which what one VM has learned must be known to every VM that it can reach.
const syncDeadline = 3 * time.Second

// testFleet is a fleet of VMs that dispatch directly and exchange crash reports, with their endpoints and the platform's
// table. Time is virtual.
type testFleet struct {
	t         *testing.T
	endpoints *fakeEndpoints

	mu sync.Mutex
	// The fields below are guarded by mu.

	vms []*testVM
	// down holds the IDs of the VMs that no other VM can reach.
	down  map[string]bool
	calls int
	rows  map[string]platform.Row
	// tableDown says that the table cannot be reached; listingVMs is the number of VMs that list it.
	tableDown  bool
	listingVMs int
	version    uint64
	generation uint64
	writes     int
}

// testVM is one VM of a testFleet. It implements peer.Client and rowTable.
type testVM struct {
	id, incarnation string
	fleet           *testFleet
	detector        *Detector
	syncer          *Syncer
	partSyncer      *Syncer
	stop            context.CancelFunc
	// earlier says that the VM is of a build without the service for parts; guarded by fleet.mu.
	earlier bool
}

// runFleet runs a test with a fleet of n VMs in virtual time.
func runFleet(t *testing.T, n int, do func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{t: t, endpoints: newFakeEndpoints(), down: map[string]bool{}, rows: map[string]platform.Row{}, listingVMs: defaultListingVMs}
		for i := range n {
			f.vms = append(f.vms, nil)
			f.start(i)
		}
		time.Sleep(time.Second)
		do(f)
		for i := range n {
			f.vms[i].stop()
		}
		time.Sleep(time.Minute)
	})
}

// start starts, or restarts, the process of a VM, which remembers nothing of earlier ones.
func (f *testFleet) start(i int) {
	ctx, cancel := context.WithCancel(f.t.Context())
	log, _ := test.NewNullLogger()
	vm := &testVM{id: fmt.Sprint("vm", i), incarnation: fmt.Sprint(time.Now().UnixNano()), fleet: f, stop: cancel}
	vm.detector = newTestDetector(f.t, f.endpoints)
	vm.syncer = NewSyncer(vm.id, vm.detector.cfg.Table, vm, f.members, log)
	vm.detector.cfg.OnChange = vm.syncer.Wake
	vm.syncer.Attach(vm.detector)
	vm.detector.cfg.Parts.self = vm.id
	vm.partSyncer = NewPartSyncer(vm.id, vm.detector.cfg.Parts, vm, f.members, log)
	vm.partSyncer.Attach(vm.detector)
	f.mu.Lock()
	if old := f.vms[i]; old != nil {
		old.stop()
	}
	f.vms[i] = vm
	f.mu.Unlock()
	go vm.syncer.Run(ctx)
	go NewStore(vm.syncer, vm).Run(ctx)
	go vm.partSyncer.Run(ctx)
	go NewStore(vm.partSyncer, vm).Run(ctx)
}

func (f *testFleet) members() []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []membership.Member
	for _, vm := range f.vms {
		list = append(list, membership.Member{ID: vm.id, Incarnation: vm.incarnation, PeerAddress: vm.id})
	}
	return list
}

// Call implements peer.Client.
func (vm *testVM) Call(ctx context.Context, address, method string, args, reply any) error {
	f := vm.fleet
	f.mu.Lock()
	f.calls++
	down := f.down[address] || f.down[vm.id]
	earlier := false
	var target *testVM
	for _, other := range f.vms {
		if other.id == address {
			target, earlier = other, other.earlier
		}
	}
	f.mu.Unlock()
	if down {
		<-ctx.Done()
		return peer.ErrUnreachable
	}
	if earlier && strings.HasPrefix(method, PartServiceName) {
		return rpc.ServerError("rpc: can't find service " + method)
	}
	switch method {
	case ServiceName + ".End":
		return target.syncer.Service().End(args.(*EndArgs), reply.(*EndReply))
	case PartServiceName + ".Tell":
		return target.partSyncer.Service().Tell(args.(*ReportArgs), reply.(*ListReply))
	case PartServiceName + ".Trial":
		return target.partSyncer.Service().Trial(args.(*TrialArgs), reply.(*TrialReply))
	}
	return target.syncer.Service().Tell(args.(*ReportArgs), reply.(*ListReply))
}

// Cached implements rowTable.
func (vm *testVM) Cached(prefix string) []platform.Row {
	f := vm.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []platform.Row
	for _, row := range f.rows {
		if !f.tableDown && slices.Index(f.vms, vm) < f.listingVMs && strings.HasPrefix(row.Key, prefix) {
			rows = append(rows, row)
		}
	}
	return rows
}

// CachedGeneration implements rowTable.
func (vm *testVM) CachedGeneration() uint64 {
	f := vm.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Index(f.vms, vm) < f.listingVMs {
		return f.generation
	}
	return 0
}

// Commit implements rowTable.
func (vm *testVM) Commit(_ context.Context, txn platform.Txn) (uint64, error) {
	f := vm.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tableDown {
		return 0, platform.ErrUnavailable
	}
	f.writes++
	if f.rows[txn.Conditions[0].Key].Version != txn.Conditions[0].Version {
		return 0, platform.ErrConflict
	}
	f.version++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = platform.Row{Key: w.Key, Version: f.version, Value: w.Value}
	}
	return f.version, nil
}

// crash makes an endpoint crash while it runs a request of the VM.
func (f *testFleet) crash(vm int, id string, fingerprint uint64) {
	f.endpoints.set(id, Terminated)
	f.vms[vm].detector.ConnectionLost(testEndpoint(id), account, fingerprint, time.Now(), 0)
}

// update changes the fleet under mu.
func (f *testFleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *testFleet) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// requireAll requires that every VM, except those listed, takes the given decision on the request.
func (f *testFleet) requireAll(want Decision, fingerprint uint64, except ...int) {
	f.t.Helper()
	excepted := map[int]bool{}
	for _, i := range except {
		excepted[i] = true
	}
	for i, vm := range f.vms {
		if !excepted[i] {
			decision, _ := vm.detector.Admit(fingerprint)
			require.Equal(f.t, want, decision, vm.id)
		}
	}
}

// Three crashes of one request, each seen by another VM, must be known to all VMs within syncDeadline. The first crash of a
// request must cost the same number of calls in a fleet of any size, and with nothing to report there are no calls.
func TestCrashesSeenByDifferentVMsAddUp(t *testing.T) {
	for _, n := range []int{1, 4, 83, 513} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runFleet(t, n, func(f *testFleet) {
				time.Sleep(syncDeadline)
				require.Zero(t, f.callCount(), "nothing to report")
				f.crash(0, "other", fp+1)
				time.Sleep(syncDeadline)
				require.LessOrEqual(t, f.callCount(), homeCalls)
				before := f.callCount()
				for i := range 3 {
					f.crash(i%n, fmt.Sprint("e", i), fp)
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(syncDeadline - 100*time.Millisecond)
				f.requireAll(Refuse, fp)
				f.requireAll(Allow, fp+2)
				require.LessOrEqual(t, f.callCount()-before, 3*homeCalls+2*homesPerRequest*n+homesPerRequest*defaultListingVMs)
				before = f.callCount()
				time.Sleep(syncDeadline)
				require.Equal(t, before, f.callCount(), "each report is sent once")
			})
		})
	}
}

// The crash of an endpoint under many requests of many VMs costs a few calls for each request, not for each pair of VMs.
func TestCrashUnderManyRequestsIsCheap(t *testing.T) {
	runFleet(t, 83, func(f *testFleet) {
		for i := range 64 {
			f.crash(i, "e", uint64(100+i))
		}
		time.Sleep(syncDeadline)
		require.LessOrEqual(t, f.callCount(), 64*homeCalls)
	})
}

// The row of a refused request that the table loses by returning from an older copy is written again, also if the VM that
// wrote it does not list the table. One that the copy brings back for a request that was cleared since does not count.
func TestRowsLostByAReturnOfTheTableAreWrittenAgain(t *testing.T) {
	runFleet(t, 7, func(f *testFleet) {
		home := slices.IndexFunc(f.vms, func(vm *testVM) bool { return vm.id == homesOf(f.members(), fp)[0] })
		f.update(func() { f.listingVMs = home })
		if home == 0 {
			f.update(func() { f.listingVMs = 7 })
		}
		for i := range 3 {
			f.crash(i, fmt.Sprint("e", i), fp)
		}
		time.Sleep(syncDeadline)
		var rows map[string]platform.Row
		f.update(func() {
			rows = maps.Clone(f.rows)
			f.rows, f.generation = map[string]platform.Row{}, 1
		})
		require.Len(t, rows, 1)
		time.Sleep(syncDeadline)
		var writes int
		f.update(func() {
			require.Len(t, f.rows, 1)
			writes = f.writes
		})
		time.Sleep(syncDeadline)
		f.update(func() { require.Equal(t, writes, f.writes, "nothing is left to write") })
		f.vms[home].detector.Served(fp)
		time.Sleep(syncDeadline)
		f.update(func() {
			require.Empty(t, f.rows)
			f.generation = 2
			for key, row := range rows {
				row.Version = platform.VersionIn(f.generation, row.Version)
				f.rows[key] = row
			}
		})
		time.Sleep(syncDeadline)
		f.requireAll(Allow, fp)
		f.update(func() { require.Empty(t, f.rows) })
	})
}

// VMs that start later, that were unreachable, or that are no homes of the request must learn of a refused request too.
func TestLateVMsLearnOfARefusedRequest(t *testing.T) {
	runFleet(t, 7, func(f *testFleet) {
		homes := homesOf(f.members(), fp)
		isolated := 0
		for fmt.Sprint("vm", isolated) == homes[0] || fmt.Sprint("vm", isolated) == homes[1] {
			isolated++
		}
		f.update(func() { f.down[fmt.Sprint("vm", isolated)] = true })
		for i := range 3 {
			f.crash((isolated+1+i)%7, fmt.Sprint("e", i), fp)
		}
		time.Sleep(syncDeadline)
		f.requireAll(Refuse, fp, isolated)
		f.update(func() { f.down = map[string]bool{} })
		time.Sleep(syncDeadline)
		f.requireAll(Refuse, fp)
		for i, vm := range f.vms {
			if vm.id == homes[0] || i == isolated {
				f.start(i)
			}
		}
		time.Sleep(syncDeadline)
		f.requireAll(Refuse, fp)
	})
}

// Crashes must add up even if one of the homes of the request is lost.
func TestOneHomeIsEnough(t *testing.T) {
	runFleet(t, 5, func(f *testFleet) {
		lost := homesOf(f.members(), fp)[0]
		f.update(func() { f.down[lost] = true })
		var alive []int
		var lostIndex int
		for i, vm := range f.vms {
			if vm.id != lost {
				alive = append(alive, i)
			} else {
				lostIndex = i
			}
		}
		for i := range 3 {
			f.crash(alive[i], fmt.Sprint("e", i), fp)
		}
		time.Sleep(syncDeadline)
		f.requireAll(Refuse, fp, lostIndex)
	})
}

// A complete response on one VM must clear the request on all VMs.
func TestClearancesReachAllVMs(t *testing.T) {
	runFleet(t, 6, func(f *testFleet) {
		for i := range 2 {
			f.crash(i, fmt.Sprint("e", i), fp)
		}
		time.Sleep(syncDeadline)
		f.requireAll(Isolate, fp)
		f.vms[4].detector.Served(fp)
		time.Sleep(syncDeadline)
		f.requireAll(Allow, fp)
		time.Sleep(2 * clearanceRetention)
		for _, vm := range f.vms {
			require.True(t, vm.detector.NoSuspects(), vm.id)
		}
	})
}

// A refused request must still be refused after all VMs have restarted, only a few of which list the table, even if the table
// was unreachable when the request was refused. A request that has received a complete response since must not be.
func TestRefusedRequestsOutliveAllVMs(t *testing.T) {
	for _, tableDown := range []bool{false, true} {
		runFleet(t, 12, func(f *testFleet) {
			f.update(func() { f.tableDown, f.listingVMs = tableDown, 2 })
			for i := range 3 {
				f.crash(i, fmt.Sprint("e", i), fp)
			}
			time.Sleep(syncDeadline)
			f.requireAll(Refuse, fp)
			f.update(func() { f.tableDown = false })
			time.Sleep(syncDeadline)
			f.update(func() { require.LessOrEqual(t, f.writes, homesPerRequest, "one row, rarely attempted twice") })
			for i := range f.vms {
				f.start(i)
			}
			time.Sleep(syncDeadline)
			f.requireAll(Refuse, fp)

			f.vms[5].detector.Served(fp)
			time.Sleep(syncDeadline)
			f.requireAll(Allow, fp)
			f.update(func() { require.Empty(t, f.rows) })
			for i := range f.vms {
				f.start(i)
			}
			time.Sleep(syncDeadline)
			f.requireAll(Allow, fp)
		})
	}
}

// A VM that reaches the table but no other VM must exchange refused requests with the others through the table.
func TestTableReachesIsolatedVMs(t *testing.T) {
	runFleet(t, 4, func(f *testFleet) {
		f.update(func() { f.down["vm0"] = true })
		for i := range 3 {
			f.crash(0, fmt.Sprint("e", i), fp)
			f.crash(1, fmt.Sprint("f", i), fp+1)
		}
		time.Sleep(syncDeadline)
		f.requireAll(Refuse, fp)
		f.requireAll(Refuse, fp+1)
	})
}

// Rows that are malformed or expired must be deleted, with at most one attempt per VM and row, and must refuse nothing.
func TestExpiredAndMalformedRowsAreDeleted(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		old, err := json.Marshal(storedRequest{Crashes: []string{"a", "b", "c"}, Seen: time.Now().Add(-2 * DirectRetention)})
		require.NoError(t, err)
		f.update(func() {
			f.rows[rowPrefix+FormatFingerprint(fp)] = platform.Row{Key: rowPrefix + FormatFingerprint(fp), Version: 1, Value: old}
			f.rows[rowPrefix+"x"] = platform.Row{Key: rowPrefix + "x", Version: 2, Value: []byte("{}")}
			f.rows[rowPrefix+"1"] = platform.Row{Key: rowPrefix + "1", Version: 3, Value: []byte("[")}
		})
		time.Sleep(5 * time.Second)
		f.requireAll(Allow, fp)
		f.update(func() {
			require.Empty(t, f.rows)
			require.LessOrEqual(t, f.writes, 3*3)
		})
	})
}

// VMs that have recently served a request must clear it of the crashes that others report, even if it is refused already.
func TestRecentlyServedRequestsAreCleared(t *testing.T) {
	for _, crashes := range []int{1, 2, 3} {
		runFleet(t, 6, func(f *testFleet) {
			homes := homesOf(f.members(), fp)
			serving := 0
			for fmt.Sprint("vm", serving) == homes[0] || fmt.Sprint("vm", serving) == homes[1] {
				serving++
			}
			f.vms[serving].detector.Served(fp)
			for i := range crashes {
				f.crash((serving+1)%6, fmt.Sprint("e", i), fp)
			}
			time.Sleep(syncDeadline)
			if crashes >= broadcastThreshold {
				f.requireAll(Allow, fp)
			}
			decision, _ := f.vms[serving].detector.Admit(fp)
			require.Equal(t, Allow, decision)
		})
	}
}

// A refused request must be tried again at long intervals, by one VM only, and be allowed on all VMs after a complete response.
func TestRefusedRequestsAreTried(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		for i := range 3 {
			f.crash(i, fmt.Sprint("e", i), fp)
		}
		time.Sleep(syncDeadline)
		home := slices.IndexFunc(f.vms, func(vm *testVM) bool { return vm.id == homesOf(f.members(), fp)[0] })
		tried := 0
		for range 58 {
			time.Sleep(time.Minute)
			for range 5 {
				for i, vm := range f.vms {
					if decision, _ := vm.detector.Admit(fp); decision != Refuse {
						require.Equal(t, home, i)
						tried++
					}
				}
			}
		}
		require.Equal(t, len(trialDelays), tried, "no trial receives a response")
		f.vms[home].detector.Served(fp)
		time.Sleep(syncDeadline)
		f.requireAll(Allow, fp)
	})
}

// An address may still accept connections after the endpoint behind it has crashed. The crash must not be held against
// requests that are sent there afterwards, even if they are the first that their VM sends to that endpoint.
func TestCrashIsNotHeldAgainstLaterRequests(t *testing.T) {
	runFleet(t, 4, func(f *testFleet) {
		for i := range 3 {
			id := fmt.Sprint("e", i)
			sent := time.Now()
			time.Sleep(5 * time.Millisecond)
			f.vms[0].detector.ConnectionLost(testEndpoint(id), account, fp, sent, 0)
			time.Sleep(100 * time.Millisecond)
			for n := range 20 {
				f.vms[n%4].detector.ConnectionLost(testEndpoint(id), account, fp+1, time.Now(), 0)
			}
			time.Sleep(presumeCrashedAfter + probeInterval + syncDeadline)
		}
		f.requireAll(Refuse, fp)
		f.requireAll(Allow, fp+1)
	})
}

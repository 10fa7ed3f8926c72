package suspect

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// partRig is a PartTable in virtual time.
type partRig struct {
	t     *testing.T
	table *PartTable
	now   time.Time
	next  int
}

func newPartRig(t *testing.T) *partRig {
	return &partRig{t: t, table: NewPartTable("vm0"), now: time.Unix(1e9, 0)}
}

func (r *partRig) pass(d time.Duration) { r.now = r.now.Add(d) }

// crash makes an endpoint crash under a request with the parts.
func (r *partRig) crash(parts ...string) {
	r.next++
	r.crashAs(fmt.Sprint("e", r.next), parts...)
}

func (r *partRig) crashAs(crash string, parts ...string) {
	for _, part := range parts {
		r.table.AddObservedCrash(r.now, account, part, crash)
	}
	for _, part := range parts {
		r.table.ConfirmCrash(r.now, PartFingerprint(part), crash)
	}
}

func (r *partRig) serve(parts ...string) { r.table.Served(r.now, account, parts) }

func (r *partRig) require(want Decision, parts ...string) {
	r.t.Helper()
	decision, _ := r.table.Admit(r.now, parts)
	require.Equal(r.t, want, decision, parts)
}

// A part under which three endpoints crashed is refused once the reports of other VMs must have arrived; a complete answer
// clears it.
func TestThreeCrashesHoldAPart(t *testing.T) {
	r := newPartRig(t)
	for range partCrashes {
		r.require(Allow, "bad")
		r.crash("bad")
		r.pass(time.Second)
	}
	r.require(Refuse, "other", "bad")
	r.require(Allow, "other")
	r.serve("bad")
	r.require(Allow, "bad")
}

// Requests wait, and are not refused, until the reports of other VMs must have arrived.
func TestRequestsWaitWhileAHoldSettles(t *testing.T) {
	r := newPartRig(t)
	for range partCrashes {
		r.crash("bad")
	}
	r.require(Wait, "bad")
	r.pass(2 * partSettleTime)
	r.require(Refuse, "bad")
}

// A crash counts only once the endpoint is known to have crashed: an endpoint that lives takes it back.
func TestPossibleCrashesHoldNoPart(t *testing.T) {
	r := newPartRig(t)
	for i := range 5 {
		r.table.AddObservedCrash(r.now, account, "part", fmt.Sprint("e", i))
	}
	r.pass(time.Second)
	r.require(Allow, "part")
	for i := range 5 {
		r.table.Retract(r.now, PartFingerprint("part"), fmt.Sprint("e", i))
	}
	require.True(t, r.table.Empty())
}

// The part that every request has, and those of large accounts, are not held when many endpoints end at the same moment.
func TestUsualPartsOutliveTheLossOfManyEndpoints(t *testing.T) {
	r := newPartRig(t)
	r.serve("first", "account")
	r.pass(10 * time.Second)
	for range 12 {
		r.crash("first", "account")
		r.pass(10 * time.Millisecond)
	}
	r.pass(time.Second)
	r.require(Allow, "first", "account")
}

// A part that has been served, and begins to crash each endpoint, is held as well.
func TestAPartThatTurnsBadIsHeld(t *testing.T) {
	r := newPartRig(t)
	r.serve("bad")
	for range 4 {
		r.pass(600 * time.Millisecond)
		r.crash("bad")
	}
	r.pass(time.Second)
	r.require(Refuse, "bad")
}

// Parts that only accompany the part to blame are not held with it: those that were served before, and those that were there at
// fewer crashes.
func TestPartsThatAccompanyABadOneAreNotHeld(t *testing.T) {
	r := newPartRig(t)
	r.serve("first", "account")
	for i := range 6 {
		r.pass(400 * time.Millisecond)
		if i < 4 {
			r.crash("first", "account", "new", "bad")
		} else {
			r.crash("first", "account", "bad")
		}
	}
	r.pass(time.Second)
	r.require(Refuse, "bad")
	r.require(Allow, "first", "account", "new")
	r.crash("first", "account", "bad")
	r.pass(time.Second)
	r.require(Allow, "first", "account", "new")
}

// Two parts that crash endpoints at the same time are both held.
func TestTwoBadPartsAreHeld(t *testing.T) {
	r := newPartRig(t)
	r.serve("first")
	for range 8 {
		r.crash("first", "bad1")
		r.pass(50 * time.Millisecond)
		r.crash("first", "bad2")
		r.pass(150 * time.Millisecond)
	}
	r.pass(time.Second)
	r.require(Refuse, "bad1")
	r.require(Refuse, "bad2")
	r.require(Allow, "first")
}

// A part that comes once in a quarter of an hour is held after three crashes too.
func TestARarePartIsHeld(t *testing.T) {
	r := newPartRig(t)
	for range partCrashes {
		r.crash("bad")
		r.pass(15 * time.Minute)
		r.table.Sweep(r.now)
	}
	r.require(Refuse, "bad")
}

// A sound part that has met crashes by chance, between answers, is never held.
func TestChanceMeetingsHoldNoPart(t *testing.T) {
	r := newPartRig(t)
	for range 20 {
		r.crash("rare")
		r.pass(time.Minute)
		r.crash("rare")
		r.pass(time.Minute)
		r.serve("rare")
		r.require(Allow, "rare")
	}
}

// Two new parts that always came together are both held, but a request with only one of them may be sent at once, and clears it;
// the requests beside it wait for that.
func TestAPartThatCannotBeToldFromAnotherIsTriedAtOnce(t *testing.T) {
	r := newPartRig(t)
	for range partCrashes {
		r.crash("sound", "bad")
	}
	r.pass(time.Second)
	r.require(Refuse, "sound", "bad")
	r.require(Wait, "sound")
	require.True(t, r.table.AllowTrial(r.now, PartFingerprint("sound")))
	r.require(Wait, "sound")
	require.False(t, r.table.AllowTrial(r.now, PartFingerprint("sound")), "one trial at a time")
	r.serve("sound")
	r.require(Allow, "sound")
	r.require(Refuse, "bad")
}

// The reports on the parts of one crash arrive one after the other. The part whose report comes first must not explain the crashes
// of the other, which may be the one to blame.
func TestReportsOnOneCrashMayArriveInAnyOrder(t *testing.T) {
	r := newPartRig(t)
	for range partCrashes {
		r.crash("companion", "bad")
	}
	r.pass(time.Second)
	r.require(Refuse, "companion", "bad")
	report := func(part string) {
		r.table.Record(r.now, CrashReport{Account: account, Fingerprint: PartFingerprint(part), Part: part, Crash: "late", SeenBy: "vm1"})
	}
	report("companion")
	r.pass(time.Millisecond)
	r.require(Refuse, "bad", "companion")
	report("bad")
	r.pass(time.Second)
	require.True(t, r.table.AllowTrial(r.now, PartFingerprint("companion")))
	r.serve("companion")
	r.require(Allow, "companion")
	r.require(Refuse, "bad")
}

// A part that cannot be distinguished from another one is tried again soon if a trial had no result, and refused once a trial has crashed an
// endpoint.
func TestTrialsWithoutAResultAreRepeated(t *testing.T) {
	r := newPartRig(t)
	for range partCrashes {
		r.crash("one", "other")
	}
	r.pass(time.Second)
	for range 4 {
		r.require(Wait, "one")
		require.True(t, r.table.AllowTrial(r.now, PartFingerprint("one")))
		require.False(t, r.table.AllowTrial(r.now, PartFingerprint("one")))
		r.pass(ambiguousTrialDelay)
	}
	require.True(t, r.table.AllowTrial(r.now, PartFingerprint("one")))
	r.pass(100 * time.Millisecond)
	r.crash("one")
	r.pass(time.Minute)
	r.require(Refuse, "one")
	require.False(t, r.table.AllowTrial(r.now, PartFingerprint("one")))
}

// At most three trials of a part are made for as long as it is held, and after one that has crashed an endpoint the next is far
// away.
func TestTrialsOfAPartAreFew(t *testing.T) {
	r := newPartRig(t)
	for range partCrashes {
		r.crash("bad")
	}
	var trials []time.Duration
	for began := r.now; r.now.Sub(began) < 20*time.Hour; r.pass(500 * time.Millisecond) {
		if r.table.AllowTrial(r.now, PartFingerprint("bad")) {
			trials = append(trials, r.now.Sub(began).Round(time.Minute))
			r.pass(100 * time.Millisecond)
			r.crash("bad")
		}
	}
	require.Equal(t, []time.Duration{0, 30 * time.Minute, time.Hour}, trials)
	r.require(Refuse, "bad")
}

// Parts that an account fills the table with displace neither the parts of other accounts nor a held one of its own.
func TestNoAccountFillsTheTable(t *testing.T) {
	r := newPartRig(t)
	r.table.AddObservedCrash(r.now, "other", "others", "e0")
	r.table.ConfirmCrash(r.now, PartFingerprint("others"), "e0")
	for range partCrashes {
		r.crash("bad")
	}
	r.pass(time.Second)
	for i := range 3 * maxPartEntries {
		r.crashAs("e9", fmt.Sprint("filler", i))
	}
	r.pass(time.Second)
	require.LessOrEqual(t, len(r.table.entries), maxPartEntries)
	require.Len(t, r.table.ReportsOf(r.now, PartFingerprint("others")), 1)
	r.require(Refuse, "bad")
}

// Of very many crashes the first and the latest are kept.
func TestCrashesOfAPartAreBounded(t *testing.T) {
	r := newPartRig(t)
	for range 3 * maxCrashesPerPart {
		r.crash("bad")
		r.pass(time.Second)
	}
	reports := r.table.ReportsOf(r.now, PartFingerprint("bad"))
	require.Len(t, reports, maxCrashesPerPart)
	require.Equal(t, "e1", reports[0].Crash)
	require.Equal(t, fmt.Sprint("e", 3*maxCrashesPerPart), reports[len(reports)-1].Crash)
}

// A VM that was cut off for minutes and reports crashes that were cleared meanwhile does not bring the hold back.
func TestClearedCrashesDoNotComeBack(t *testing.T) {
	r := newPartRig(t)
	for range partCrashes {
		r.crash("sound")
	}
	reports := r.table.ReportsOf(r.now, PartFingerprint("sound"))
	r.pass(time.Second)
	require.True(t, r.table.Release(r.now, "sound"))
	for range 4 {
		r.pass(time.Minute)
		r.table.Sweep(r.now)
	}
	for _, report := range reports {
		report.Age = 4*time.Minute + time.Second
		r.table.Record(r.now, report)
	}
	r.pass(time.Second)
	r.require(Allow, "sound")
}

// The memory of served parts is bounded, and an account cannot use up the places of others.
func TestServedPartsAreBounded(t *testing.T) {
	s, now := newServedParts(), time.Unix(1e9, 0)
	for i := range 10 * maxServedParts {
		s.add("greedy", []string{fmt.Sprint("greedy", i)}, now)
	}
	require.Len(t, s.current, maxServedPartsPerAccount)
	one := PartFingerprint("one")
	s.add("other", []string{"one"}, now)
	require.Equal(t, now, s.at(one))
	s.add("other", []string{"two"}, now.Add(servedPartsPeriod))
	require.Equal(t, now, s.at(one))
	s.add("other", []string{"two"}, now.Add(2*servedPartsPeriod))
	require.Zero(t, s.at(one))
}

// Guards against a part that is never held because it stands behind many others: three VMs each see one crash under a request with
// it, and each request has thousands of further parts, which come with no other crash.
func TestPartOfALongPromptIsHeldOnAllVMs(t *testing.T) {
	runFleet(t, 5, func(f *testFleet) {
		long := func(n int) []string {
			parts := []string{"first"}
			for i := range 3000 {
				parts = append(parts, fmt.Sprintf("%d-%d", n, i))
			}
			return append(parts, "bad")
		}
		for i := range 3 {
			f.crashPart(i, fmt.Sprint("e", i), long(i)...)
			time.Sleep(2 * time.Second)
			f.vms[i].detector.PartsServed("sound", account, []string{"first"})
		}
		time.Sleep(syncDeadline)
		f.requirePart(Refuse, "bad")
		f.requirePart(Allow, long(0)[:3001]...)
	})
}

// Guards against a caller whose long prompts push out what is known of its own or other accounts' parts, and against a full table
// that takes long to make room.
func TestLongPromptsDoNotPushOutOtherParts(t *testing.T) {
	r := newPartRig(t)
	r.table.AddObservedCrash(r.now, "other", "others", "e0")
	r.table.ConfirmCrash(r.now, PartFingerprint("others"), "e0")
	for n := range 2 {
		r.crash("bad")
		r.pass(time.Second)
		parts := make([]string, 4000)
		for i := range parts {
			parts[i] = fmt.Sprintf("%d-%d", n, i)
		}
		r.crashAs(fmt.Sprint("long", n), parts...)
	}
	r.crash("bad")
	r.pass(time.Second)
	r.require(Refuse, "bad")
	require.Len(t, r.table.ReportsOf(r.now, PartFingerprint("others")), 1)
	began := time.Now()
	for i := range 4 * maxPartEntries {
		r.crashAs("e9", fmt.Sprint("filler", i))
	}
	t.Logf("%d crashes of parts recorded in %v", 4*maxPartEntries, time.Since(began))
	require.LessOrEqual(t, len(r.table.entries), maxPartEntries)
	r.require(Refuse, "bad")
}

// A released part is sent again on every VM, and held again only after three further crashes.
func TestAnOperatorReleasesAPart(t *testing.T) {
	runFleet(t, 5, func(f *testFleet) {
		f.crashPart(0, "e0", "bad")
		f.crashPart(1, "e1", "bad")
		f.crashPart(2, "e2", "bad")
		time.Sleep(syncDeadline)
		f.requirePart(Refuse, "bad")
		require.Len(t, f.rowsWith(partRowPrefix), 1)
		held := f.vms[3].detector.HeldParts()
		require.Len(t, held, 1)
		require.Equal(t, []string{"vm0", "vm1", "vm2"}, held[0].SeenBy)
		require.True(t, f.vms[3].detector.ReleasePart("bad"))
		time.Sleep(syncDeadline)
		f.requirePart(Allow, "bad")
		require.Empty(t, f.rowsWith(partRowPrefix))
		require.False(t, f.vms[3].detector.ReleasePart("bad"))
	})
}

// Crashes of one part that different VMs see add up, whatever else the requests had in common, and no VM holds another part.
func TestCrashesUnderAPartAddUpOverTheFleet(t *testing.T) {
	for _, n := range []int{1, 4, 83} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runFleet(t, n, func(f *testFleet) {
				f.vms[n-1].detector.PartsServed("r", account, []string{"first", "account"})
				time.Sleep(time.Second)
				for i := range 4 {
					f.crashPart(i%n, fmt.Sprint("e", i), "first", "account", "bad")
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(syncDeadline)
				f.requirePart(Refuse, "bad")
				f.requirePart(Allow, "first", "account")
			})
		})
	}
}

// Reports of clearances end: with nothing new, no calls are made.
func TestReportsOnPartsEnd(t *testing.T) {
	runFleet(t, 7, func(f *testFleet) {
		for i := range 3 {
			f.crashPart(i, fmt.Sprint("e", i), "first", "bad")
			f.vms[6-i].detector.PartsServed("r", account, []string{"first"})
		}
		time.Sleep(2 * syncDeadline)
		before := f.callCount()
		time.Sleep(syncDeadline)
		require.Equal(t, before, f.callCount())
	})
}

// What is held outlives a restart of all VMs, is known to VMs that start later, and is not tried again at once.
func TestHeldPartsOutliveAllVMs(t *testing.T) {
	runFleet(t, 5, func(f *testFleet) {
		for i := range 3 {
			f.crashPart(i, fmt.Sprint("e", i), "bad")
		}
		time.Sleep(syncDeadline)
		for _, vm := range f.vms {
			vm.stop()
		}
		time.Sleep(time.Second)
		for i := range f.vms {
			f.start(i)
		}
		time.Sleep(syncDeadline)
		f.requirePart(Refuse, "bad")
		time.Sleep(10 * time.Second)
		f.requireNoTrial("bad")
		f.start(2)
		time.Sleep(syncDeadline)
		f.requirePart(Refuse, "bad")
	})
}

// One VM of the fleet tries a held part a second after the crashes; all others go on refusing it. A trial that is served clears the
// part everywhere.
func TestOneVMTriesAHeldPart(t *testing.T) {
	runFleet(t, 5, func(f *testFleet) {
		for i := range 3 {
			f.crashPart(i, fmt.Sprint("e", i), "sound")
		}
		time.Sleep(2 * time.Second)
		granted := 0
		for range 3 {
			for _, vm := range f.vms {
				if decision, _, trial := vm.detector.AdmitParts(f.t.Context(), []string{"sound"}, 0); decision == Allow {
					require.Equal(t, PartFingerprint("sound"), trial)
					granted++
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, 1, granted)
		f.vms[4].detector.PartsServed("r", account, []string{"sound"})
		time.Sleep(syncDeadline)
		f.requirePart(Allow, "sound")
	})
}

// crashPart makes an endpoint crash while it runs a request of the VM with the parts.
func (f *testFleet) crashPart(vm int, id string, parts ...string) {
	f.endpoints.set(id, Terminated)
	f.vms[vm].detector.PartsLost(testEndpoint(id), account, parts, time.Now(), 0)
}

// requirePart requires that every VM takes the given decision on each of the parts, without a trial.
func (f *testFleet) requirePart(want Decision, parts ...string) {
	f.t.Helper()
	for _, vm := range f.vms {
		for _, part := range parts {
			decision, _ := vm.detector.cfg.Parts.Admit(time.Now(), []string{part})
			require.Equal(f.t, want, decision, "%s on %s", part, vm.id)
		}
	}
}

// requireNoTrial requires that no VM may try a held part.
func (f *testFleet) requireNoTrial(part string) {
	f.t.Helper()
	for _, vm := range f.vms {
		before := vm.detector.HeldParts()
		decision, _, _ := vm.detector.AdmitParts(f.t.Context(), []string{part}, 0)
		require.Equal(f.t, Refuse, decision, "%s: %+v", vm.id, before)
	}
}

// rowsWith returns the keys of the rows with a prefix.
func (f *testFleet) rowsWith(prefix string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var keys []string
	for key := range f.rows {
		if len(key) > len(prefix) && key[:len(prefix)] == prefix {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// VMs of an earlier build do not know the service for parts: they are asked once, and the other VMs hold the part all the same.
func TestVMsOfEarlierBuildsGetNoReportsOnParts(t *testing.T) {
	runFleet(t, 5, func(f *testFleet) {
		f.update(func() { f.vms[4].earlier = true })
		for i := range 3 {
			f.crashPart(i, fmt.Sprint("e", i), "bad")
		}
		time.Sleep(syncDeadline)
		for _, vm := range f.vms[:4] {
			decision, _ := vm.detector.cfg.Parts.Admit(time.Now(), []string{"bad"})
			require.Equal(t, Refuse, decision, vm.id)
		}
		before := f.callCount()
		time.Sleep(syncDeadline)
		require.Equal(t, before, f.callCount())
	})
}

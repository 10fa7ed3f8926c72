package residency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

func TestLoadEvictsWhenSlotsAreFull(t *testing.T) {
	sim := newSimulation(1)
	for i := range 3 * adapterSlots {
		name := fmt.Sprintf("a%d", i)
		sim.planner.AddWaiter(key(name), 0, sim.now)
		sim.run(sim.now.Add(400 * time.Millisecond))
		version, ok := sim.planner.Acquire(key(name), sim.now)
		require.True(t, ok, name)
		require.Equal(t, 1, version)
		sim.planner.RemoveWaiter(key(name))
		sim.planner.Release(key(name), sim.now)
	}
	held, underWay := sim.planner.Count()
	require.Equal(t, adapterSlots, held)
	require.Zero(t, underWay)
	require.False(t, sim.engine.overfull)
}

func TestEvictionPicksLeastRecentlyUsedIdleAdapter(t *testing.T) {
	sim := newSimulation(1)
	for i := range adapterSlots {
		sim.planner.AddWaiter(key(fmt.Sprintf("a%d", i)), 0, sim.now)
	}
	sim.run(sim.now.Add(time.Second))
	for i := range adapterSlots {
		_, ok := sim.planner.Acquire(key(fmt.Sprintf("a%d", i)), sim.now)
		require.True(t, ok)
		sim.planner.RemoveWaiter(key(fmt.Sprintf("a%d", i)))
		sim.now = sim.now.Add(time.Millisecond)
	}
	// a0 is still in use; a1 is the least recently used of the others.
	for i := 1; i < adapterSlots; i++ {
		sim.planner.Release(key(fmt.Sprintf("a%d", i)), sim.now)
		sim.now = sim.now.Add(time.Millisecond)
	}
	sim.planner.AddWaiter(key("new"), 0, sim.now)
	sim.run(sim.now.Add(time.Second))
	require.True(t, sim.planner.Usable(key("new")))
	require.True(t, sim.planner.Usable(key("a0")))
	require.False(t, sim.planner.Usable(key("a1")))
}

// Guards against treating a recently evicted adapter, which the engine still has in memory, like one that
// must be loaded from the weight store.
func TestDelayIsShortForRecentlyEvictedAdapters(t *testing.T) {
	sim := newSimulation(1)
	for i := range adapterSlots + 1 {
		sim.planner.AddWaiter(key(fmt.Sprintf("a%d", i)), 0, sim.now)
		sim.run(sim.now.Add(time.Second))
		sim.planner.RemoveWaiter(key(fmt.Sprintf("a%d", i)))
	}
	require.False(t, sim.planner.Usable(key("a0")))
	require.Less(t, sim.planner.Delay(key("a0"), sim.now), 50*time.Millisecond)
	require.Greater(t, sim.planner.Delay(key("never"), sim.now), 200*time.Millisecond)
}

func TestUrgentAdapterIsLoadedFirst(t *testing.T) {
	sim := newSimulation(1)
	for i := range 6 {
		sim.planner.AddWaiter(key(fmt.Sprintf("slow%d", i)), 2, sim.now)
	}
	sim.planner.AddWaiter(key("urgent"), 0, sim.now.Add(time.Millisecond))
	sim.run(sim.now.Add(300 * time.Millisecond))
	require.True(t, sim.planner.Usable(key("urgent")))
}

// A restarted engine holds no base model, which must be loaded before any adapter.
func TestBaseModelIsLoadedFirst(t *testing.T) {
	sim := newSimulation(1)
	sim.run(sim.now.Add(100 * time.Millisecond))
	require.True(t, sim.planner.Ready())
	sim.engine.restart()
	sim.planner.AddWaiter(key("a"), 0, sim.now)
	sim.run(sim.now.Add(500 * time.Millisecond))
	require.False(t, sim.planner.Ready())
	require.Greater(t, sim.planner.Delay(key("a"), sim.now), coldLoad)
	sim.run(sim.now.Add(2 * time.Second))
	require.True(t, sim.planner.Ready())
	require.True(t, sim.planner.Usable(key("a")))
}

// When the operator declares a new version of a loaded adapter, requests no longer use the old version, and
// the new one is loaded into the same slot.
func TestNewVersionReplacesOldOne(t *testing.T) {
	newest := 1
	planner := residency.New(residency.Config{
		Model: baseModel, Slots: adapterSlots, MaxLoading: 1, WarmCount: 1,
		Newest: func(residency.Key) int { return newest },
	})
	now := time.Unix(1_700_000_000, 0)
	planner.Sync(engine.Report{
		Accepted: 3, Models: []string{baseModel},
		Loaded: []roster.Adapter{{Model: baseModel, Name: "a", Version: 1}},
	}, now)
	_, ok := planner.Acquire(key("a"), now)
	require.True(t, ok)
	newest = 2
	_, ok = planner.Acquire(key("a"), now)
	require.False(t, ok)
	planner.AddWaiter(key("a"), 0, now)
	action, ok, _ := planner.Next(now)
	require.True(t, ok)
	require.Equal(t, residency.Load, action.Kind)
	require.Equal(t, 2, action.Adapter.Version)
	require.EqualValues(t, 3, action.Expected)
	planner.HandleReply(action, engine.Accepted, now)
	now = now.Add(time.Second)
	action, ok, _ = planner.Next(now)
	require.True(t, ok)
	require.Equal(t, residency.ConfirmLoad, action.Kind)
	planner.HandleReply(action, engine.Holds, now)
	version, ok := planner.Acquire(key("a"), now)
	require.True(t, ok)
	require.Equal(t, 2, version)
}

// Guards against overfilling an engine after it has changed owner: orders of the previous owner can still be
// carried out after the new owner has started to send its own.
func TestLateOrdersOfPreviousOwner(t *testing.T) {
	for seed := range int64(300) {
		sim := newSimulation(seed)
		sim.lossRate = 0.7
		for i := range 60 {
			for range 3 {
				sim.planner.AddWaiter(key(fmt.Sprintf("a%d", sim.rnd.Intn(4*adapterSlots))), 0, sim.now)
			}
			sim.run(sim.now.Add(time.Duration(sim.rnd.Intn(600)) * time.Millisecond))
			if i%8 == 7 {
				sim.changeOwner()
			}
		}
		require.False(t, sim.engine.overfull, "seed %d", seed)
	}
}

// Guards against overfilling the engine when orders get no reply and are carried out at once or seconds
// later. Once replies arrive again, the planner must agree with the engine on the adapters that it holds.
func TestOrdersWithoutResponse(t *testing.T) {
	for seed := range int64(40) {
		sim := newSimulation(seed)
		sim.lossRate = 0.4
		served := 0
		for i := range 120 {
			name := fmt.Sprintf("a%d", sim.rnd.Intn(4*adapterSlots))
			sim.planner.AddWaiter(key(name), sim.rnd.Intn(3), sim.now)
			sim.run(sim.now.Add(time.Duration(sim.rnd.Intn(600)) * time.Millisecond))
			if _, ok := sim.planner.Acquire(key(name), sim.now); ok {
				sim.engine.users[name]++
				served++
				sim.run(sim.now.Add(time.Duration(sim.rnd.Intn(300)) * time.Millisecond))
				sim.engine.users[name]--
				sim.planner.Release(key(name), sim.now)
			}
			sim.planner.RemoveWaiter(key(name))
			if i%50 == 49 {
				sim.engine.restart()
				sim.planner.RequireReport(sim.now)
			}
		}
		require.False(t, sim.engine.overfull, "seed %d", seed)
		require.Greater(t, served, 40, "seed %d", seed)
		sim.lossRate = 0
		sim.run(sim.now.Add(15 * time.Second))
		for name := range sim.engine.loaded {
			require.True(t, sim.planner.Usable(key(name)), "seed %d: engine holds %s but the planner does not have it as usable", seed, name)
		}
		held, _ := sim.planner.Count()
		require.Len(t, sim.engine.loaded, held, "seed %d", seed)
	}
}

// The next owner of an engine gets the previous owner's record of adapter use, so that it evicts an idle
// adapter instead of one used recently.
func TestHandoverKeepsRecentlyUsedAdapters(t *testing.T) {
	sim := newSimulation(1)
	for i := range adapterSlots {
		name := key(fmt.Sprintf("a%d", i))
		sim.planner.AddWaiter(name, 0, sim.now)
		sim.run(sim.now.Add(time.Second))
		sim.planner.RemoveWaiter(name)
		_, ok := sim.planner.Acquire(name, sim.now)
		require.True(t, ok)
		sim.planner.Release(name, sim.now)
	}
	_, ok := sim.planner.Acquire(key("a0"), sim.now)
	require.True(t, ok)
	habits := sim.planner.Handover(sim.now)
	next := newSimulation(2)
	next.engine, next.now = sim.engine, sim.now
	next.run(next.now.Add(50 * time.Millisecond))
	next.planner.ApplyHandover(habits, next.now)
	next.planner.AddWaiter(key("new"), 0, next.now)
	next.run(next.now.Add(time.Second))
	require.True(t, next.planner.Usable(key("new")))
	require.True(t, next.planner.Usable(key("a0")), "the most recently used adapter must be kept")
	require.False(t, next.planner.Usable(key("a1")))
}

// A request rejected because the engine does not hold the adapter shows that the planner is wrong. It must
// then read a report and load the adapter again.
func TestMissingAdapterIsLoadedAgain(t *testing.T) {
	sim := newSimulation(1)
	sim.planner.AddWaiter(key("a"), 0, sim.now)
	sim.run(sim.now.Add(time.Second))
	require.True(t, sim.planner.Usable(key("a")))
	delete(sim.engine.loaded, "a")
	sim.planner.MarkMissing(key("a"), sim.now)
	require.False(t, sim.planner.Usable(key("a")))
	sim.run(sim.now.Add(time.Second))
	require.True(t, sim.planner.Usable(key("a")), "an adapter with a waiter must be loaded again")
}

// An adapter that the engine had in memory from before the planner existed loads quickly. Guards against
// taking this for the speed of the weight store, which would make all later loads look slow and lower the
// load limit.
func TestQuickLoadDoesNotLowerLoadLimit(t *testing.T) {
	sim := newSimulation(1)
	sim.engine.cached["kept"] = true
	sim.planner.AddWaiter(key("kept"), 0, sim.now)
	sim.run(sim.now.Add(time.Second))
	sim.planner.RemoveWaiter(key("kept"))
	require.True(t, sim.planner.Usable(key("kept")))
	for i := range 3 {
		sim.planner.AddWaiter(key(fmt.Sprintf("a%d", i)), 0, sim.now)
	}
	sim.run(sim.now.Add(coldLoad - 50*time.Millisecond))
	_, underWay := sim.planner.Count()
	require.Equal(t, 3, underWay)
}

// Loads that slow each other down are ordered one at a time. The limit rises again once loads are fast.
func TestSlowLoadsLowerLoadLimit(t *testing.T) {
	sim := newSimulation(1)
	sim.engine.slowdown = 3
	for i := range 30 {
		name := fmt.Sprintf("a%d", i)
		sim.planner.AddWaiter(key(name), 0, sim.now)
		sim.run(sim.now.Add(900 * time.Millisecond))
		sim.planner.RemoveWaiter(key(name))
	}
	for i := range 3 {
		sim.planner.AddWaiter(key(fmt.Sprintf("b%d", i)), 0, sim.now)
	}
	sim.run(sim.now.Add(coldLoad))
	_, underWay := sim.planner.Count()
	require.Equal(t, 1, underWay)
	sim.engine.slowdown = 1
	for i := range 30 {
		name := fmt.Sprintf("c%d", i)
		sim.planner.AddWaiter(key(name), 0, sim.now)
		sim.run(sim.now.Add(900 * time.Millisecond))
		sim.planner.RemoveWaiter(key(name))
	}
	require.Less(t, sim.planner.Delay(key("new"), sim.now), coldLoad+50*time.Millisecond)
}

// Repeated conflicts that no unanswered order explains mean that the planner's order count is ahead of the
// engine's. Guards against raising the count further with each conflict instead of reading a report.
func TestRepeatedConflictsRequireReport(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	planner := residency.New(residency.Config{
		Model: baseModel, Slots: adapterSlots, MaxLoading: 2, WarmCount: 4, Newest: func(residency.Key) int { return 0 },
	})
	planner.Sync(engine.Report{Accepted: 10, Models: []string{baseModel}}, now)
	take := func(kind residency.Kind) residency.Action {
		t.Helper()
		now = now.Add(time.Second)
		action, ok, _ := planner.Next(now)
		require.True(t, ok)
		require.Equal(t, kind, action.Kind)
		return action
	}
	planner.AddWaiter(key("a"), 0, now)
	planner.HandleReply(take(residency.Load), engine.Accepted, now)
	planner.HandleReply(take(residency.ConfirmLoad), engine.Holds, now)
	planner.AddWaiter(key("b"), 0, now)
	planner.HandleLost(take(residency.Load), now)
	first := take(residency.ConfirmLoad)
	require.EqualValues(t, 11, first.Expected)
	planner.HandleReply(first, engine.Conflict, now)
	second := take(residency.ConfirmLoad)
	require.EqualValues(t, 12, second.Expected, "the order without a reply may have been accepted")
	planner.HandleReply(second, engine.Conflict, now)
	take(residency.Report)
}

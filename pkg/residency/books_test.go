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

func TestLoadsWhatIsWantedAndMakesRoom(t *testing.T) {
	k := newKeeper(1)
	for i := range 3 * places {
		name := fmt.Sprintf("a%d", i)
		k.books.Want(key(name), 0, k.now)
		k.run(k.now.Add(400 * time.Millisecond))
		version, ok := k.books.Hold(key(name), k.now)
		require.True(t, ok, name)
		require.Equal(t, 1, version)
		k.books.Unwant(key(name))
		k.books.Release(key(name), k.now)
	}
	held, underWay := k.books.Count()
	require.Equal(t, places, held)
	require.Zero(t, underWay)
	require.False(t, k.engine.overfull)
}

func TestEvictsTheIdleAdapterUsedLeastRecently(t *testing.T) {
	k := newKeeper(1)
	for i := range places {
		k.books.Want(key(fmt.Sprintf("a%d", i)), 0, k.now)
	}
	k.run(k.now.Add(time.Second))
	for i := range places {
		_, ok := k.books.Hold(key(fmt.Sprintf("a%d", i)), k.now)
		require.True(t, ok)
		k.books.Unwant(key(fmt.Sprintf("a%d", i)))
		k.now = k.now.Add(time.Millisecond)
	}
	// a0 is still in use, a1 is the least recently used of the others.
	for i := 1; i < places; i++ {
		k.books.Release(key(fmt.Sprintf("a%d", i)), k.now)
		k.now = k.now.Add(time.Millisecond)
	}
	k.books.Want(key("new"), 0, k.now)
	k.run(k.now.Add(time.Second))
	require.True(t, k.books.Loaded(key("new")))
	require.True(t, k.books.Loaded(key("a0")))
	require.False(t, k.books.Loaded(key("a1")))
}

// An adapter that an engine held lately is expected back quickly, a new one is not.
func TestDelayKnowsWhatIsWarm(t *testing.T) {
	k := newKeeper(1)
	for i := range places + 1 {
		k.books.Want(key(fmt.Sprintf("a%d", i)), 0, k.now)
		k.run(k.now.Add(time.Second))
		k.books.Unwant(key(fmt.Sprintf("a%d", i)))
	}
	require.False(t, k.books.Loaded(key("a0")))
	require.Less(t, k.books.Delay(key("a0"), k.now), 50*time.Millisecond)
	require.Greater(t, k.books.Delay(key("never"), k.now), 200*time.Millisecond)
}

func TestUrgentWaitersAreServedFirst(t *testing.T) {
	k := newKeeper(1)
	for i := range 6 {
		k.books.Want(key(fmt.Sprintf("slow%d", i)), 2, k.now)
	}
	k.books.Want(key("urgent"), 0, k.now.Add(time.Millisecond))
	k.run(k.now.Add(300 * time.Millisecond))
	require.True(t, k.books.Loaded(key("urgent")))
}

// An engine that has restarted holds no base model: it is loaded before any adapter.
func TestLoadsTheBaseModelFirst(t *testing.T) {
	k := newKeeper(1)
	k.run(k.now.Add(100 * time.Millisecond))
	require.True(t, k.books.Ready())
	k.engine.restart()
	k.books.Want(key("a"), 0, k.now)
	k.run(k.now.Add(500 * time.Millisecond))
	require.False(t, k.books.Ready())
	require.Greater(t, k.books.Delay(key("a"), k.now), coldLoad)
	k.run(k.now.Add(2 * time.Second))
	require.True(t, k.books.Ready())
	require.True(t, k.books.Loaded(key("a")))
}

// A new version that the operator declares is loaded in place of the old one, which gets no more
// requests.
func TestReplacesAnOldVersion(t *testing.T) {
	newest := 1
	b := residency.New(residency.Config{
		Model: baseModel, Places: places, MaxLoading: 1, WarmCount: 1,
		Newest: func(residency.Key) int { return newest },
	})
	now := time.Unix(1_700_000_000, 0)
	b.Sync(engine.Report{
		Accepted: 3, Models: []string{baseModel},
		Loaded: []roster.Adapter{{Model: baseModel, Name: "a", Version: 1}},
	}, now)
	_, ok := b.Hold(key("a"), now)
	require.True(t, ok)
	newest = 2
	_, ok = b.Hold(key("a"), now)
	require.False(t, ok)
	b.Want(key("a"), 0, now)
	action, ok, _ := b.Next(now)
	require.True(t, ok)
	require.Equal(t, residency.Load, action.Kind)
	require.Equal(t, 2, action.Adapter.Version)
	require.EqualValues(t, 3, action.Expected)
	b.Took(action, engine.Accepted, now)
	now = now.Add(time.Second)
	action, ok, _ = b.Next(now)
	require.True(t, ok)
	require.Equal(t, residency.Confirm, action.Kind)
	b.Took(action, engine.Holds, now)
	version, ok := b.Hold(key("a"), now)
	require.True(t, ok)
	require.Equal(t, 2, version)
}

// Orders of a VM that ordered the engine before are carried out after another one has taken over. They
// never make the engine hold more than it has places.
func TestLateOrdersOfTheOwnerBefore(t *testing.T) {
	for seed := range int64(300) {
		k := newKeeper(seed)
		k.lossShare = 0.7
		for i := range 60 {
			for range 3 {
				k.books.Want(key(fmt.Sprintf("a%d", k.rnd.Intn(4*places))), 0, k.now)
			}
			k.run(k.now.Add(time.Duration(k.rnd.Intn(600)) * time.Millisecond))
			if i%8 == 7 {
				k.handOver()
			}
		}
		require.False(t, k.engine.overfull, "seed %d", seed)
	}
}

// Orders that get no answer, and are carried out seconds later or at once, never make the engine hold
// more than it has places, and the books agree with the engine once they have settled.
func TestLostOrders(t *testing.T) {
	for seed := range int64(40) {
		k := newKeeper(seed)
		k.lossShare = 0.4
		served := 0
		for i := range 120 {
			name := fmt.Sprintf("a%d", k.rnd.Intn(4*places))
			k.books.Want(key(name), k.rnd.Intn(3), k.now)
			k.run(k.now.Add(time.Duration(k.rnd.Intn(600)) * time.Millisecond))
			if _, ok := k.books.Hold(key(name), k.now); ok {
				k.engine.users[name]++
				served++
				k.run(k.now.Add(time.Duration(k.rnd.Intn(300)) * time.Millisecond))
				k.engine.users[name]--
				k.books.Release(key(name), k.now)
			}
			k.books.Unwant(key(name))
			if i%50 == 49 {
				k.engine.restart()
				k.books.Doubt(k.now)
			}
		}
		require.False(t, k.engine.overfull, "seed %d", seed)
		require.Greater(t, served, 40, "seed %d", seed)
		k.lossShare = 0
		k.run(k.now.Add(15 * time.Second))
		for name := range k.engine.loaded {
			require.True(t, k.books.Loaded(key(name)), "seed %d: the engine holds %s", seed, name)
		}
		held, _ := k.books.Count()
		require.Len(t, k.engine.loaded, held, "seed %d", seed)
	}
}

// What one holder of the orders knows of the use of adapters reaches the next, which evicts what is
// idle.
func TestHabitsPassOn(t *testing.T) {
	k := newKeeper(1)
	for i := range places {
		name := key(fmt.Sprintf("a%d", i))
		k.books.Want(name, 0, k.now)
		k.run(k.now.Add(time.Second))
		k.books.Unwant(name)
		_, ok := k.books.Hold(name, k.now)
		require.True(t, ok)
		k.books.Release(name, k.now)
	}
	_, ok := k.books.Hold(key("a0"), k.now)
	require.True(t, ok)
	habits := k.books.Habits(k.now)
	next := newKeeper(2)
	next.engine, next.now = k.engine, k.now
	next.run(next.now.Add(50 * time.Millisecond))
	next.books.Adopt(habits, next.now)
	next.books.Want(key("new"), 0, next.now)
	next.run(next.now.Add(time.Second))
	require.True(t, next.books.Loaded(key("new")))
	require.True(t, next.books.Loaded(key("a0")), "used last, so kept")
	require.False(t, next.books.Loaded(key("a1")))
}

// A rejected request shows that the books are wrong: a report puts them right.
func TestMissingAdapterIsReported(t *testing.T) {
	k := newKeeper(1)
	k.books.Want(key("a"), 0, k.now)
	k.run(k.now.Add(time.Second))
	require.True(t, k.books.Loaded(key("a")))
	delete(k.engine.loaded, "a")
	k.books.Missing(key("a"), k.now)
	require.False(t, k.books.Loaded(key("a")))
	k.run(k.now.Add(time.Second))
	require.True(t, k.books.Loaded(key("a")), "loaded again, as it is still wanted")
}

// An adapter that the engine kept from a time before the books loads quickly: that says nothing of the
// weight store, and does not hold other loads back.
func TestAQuickLoadDoesNotHoldOthersBack(t *testing.T) {
	k := newKeeper(1)
	k.engine.held["kept"] = true
	k.books.Want(key("kept"), 0, k.now)
	k.run(k.now.Add(time.Second))
	k.books.Unwant(key("kept"))
	require.True(t, k.books.Loaded(key("kept")))
	for i := range 3 {
		k.books.Want(key(fmt.Sprintf("a%d", i)), 0, k.now)
	}
	k.run(k.now.Add(coldLoad - 50*time.Millisecond))
	_, underWay := k.books.Count()
	require.Equal(t, 3, underWay)
}

// Loads that slow each other down are made one after the other.
func TestSlowLoadsAreHeldBack(t *testing.T) {
	k := newKeeper(1)
	k.engine.slowdown = 3
	for i := range 30 {
		name := fmt.Sprintf("a%d", i)
		k.books.Want(key(name), 0, k.now)
		k.run(k.now.Add(900 * time.Millisecond))
		k.books.Unwant(key(name))
	}
	for i := range 3 {
		k.books.Want(key(fmt.Sprintf("b%d", i)), 0, k.now)
	}
	k.run(k.now.Add(coldLoad))
	_, underWay := k.books.Count()
	require.Equal(t, 1, underWay)
	k.engine.slowdown = 1
	for i := range 30 {
		name := fmt.Sprintf("c%d", i)
		k.books.Want(key(name), 0, k.now)
		k.run(k.now.Add(900 * time.Millisecond))
		k.books.Unwant(key(name))
	}
	require.Less(t, k.books.Delay(key("new"), k.now), coldLoad+50*time.Millisecond)
}

// Conflicts that no order without an answer explains any more mean that the books are ahead of the engine. They
// ask for a report rather than counting on with each conflict.
func TestConflictsDoNotCountOnForever(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	b := residency.New(residency.Config{
		Model: baseModel, Places: places, MaxLoading: 2, WarmCount: 4, Newest: func(residency.Key) int { return 0 },
	})
	b.Sync(engine.Report{Accepted: 10, Models: []string{baseModel}}, now)
	take := func(kind residency.Kind) residency.Action {
		t.Helper()
		now = now.Add(time.Second)
		action, ok, _ := b.Next(now)
		require.True(t, ok)
		require.Equal(t, kind, action.Kind)
		return action
	}
	b.Want(key("a"), 0, now)
	b.Took(take(residency.Load), engine.Accepted, now)
	b.Took(take(residency.Confirm), engine.Holds, now)
	b.Want(key("b"), 0, now)
	b.Lost(take(residency.Load), now)
	first := take(residency.Confirm)
	require.EqualValues(t, 11, first.Expected)
	b.Took(first, engine.Conflict, now)
	second := take(residency.Confirm)
	require.EqualValues(t, 12, second.Expected, "the lost order may have counted")
	b.Took(second, engine.Conflict, now)
	take(residency.Report)
}

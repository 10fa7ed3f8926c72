package orders

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// timedEngines records when calls of either kind reach the engine.
type timedEngines struct {
	*fakeEngines

	callsMu sync.Mutex
	calls   []time.Time // guarded by callsMu
	reports []time.Time // guarded by callsMu
}

func (r *timedEngines) record(report bool) {
	r.callsMu.Lock()
	defer r.callsMu.Unlock()
	r.calls = append(r.calls, time.Now())
	if report {
		r.reports = append(r.reports, time.Now())
	}
}

// last returns when the last call and the last read of a report were made; zero if none.
func (r *timedEngines) last() (call, report time.Time) {
	r.callsMu.Lock()
	defer r.callsMu.Unlock()
	if len(r.calls) > 0 {
		call = r.calls[len(r.calls)-1]
	}
	if len(r.reports) > 0 {
		report = r.reports[len(r.reports)-1]
	}
	return call, report
}

func (r *timedEngines) Order(ctx context.Context, target upstream.Target, o engine.Order) (engine.Reply, error) {
	r.record(false)
	return r.fakeEngines.Order(ctx, target, o)
}

func (r *timedEngines) Report(ctx context.Context, target upstream.Target) (engine.Report, error) {
	r.record(true)
	return r.fakeEngines.Report(ctx, target)
}

// evacuate evacuates the failure domain of the engine from a time on; the zero time restores it.
func (f *fixture) evacuate(from time.Time) {
	e, _ := f.s.cfg.Roster.View().Endpoint(f.id.ID)
	e.EvacuatedFrom = from
	f.s.cfg.Roster.Set(roster.NewView([]roster.Endpoint{e}))
	f.s.Refresh()
}

// Guards against orders, polls and permits for an engine in an evacuated failure domain, and against loads there while work is
// moved away.
func TestEvacuatedEngineGetsNoOrdersAndNoPermits(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		calls := &timedEngines{fakeEngines: f.engines}
		f.s.cfg.Engines = calls
		f.gainLease()
		time.Sleep(time.Second)
		held := f.newArgs("held")
		require.Equal(t, Granted, f.acquire(held).Status)
		waiting := make(chan AcquireReply, 1)
		args := f.newArgs("wanted")
		go func() { waiting <- f.acquire(args) }()
		time.Sleep(10 * time.Millisecond)

		begun := time.Now()
		f.evacuate(begun.Add(2500 * time.Millisecond))
		require.Equal(t, Down, (<-waiting).Status, "a request that waits for a load is sent away")
		require.Less(t, time.Since(begun), MaxWait)
		time.Sleep(100 * time.Millisecond)
		quiet := time.Now()
		require.Equal(t, Granted, f.acquire(f.newArgs("held")).Status, "before the end of the time to move work")
		reply := f.acquire(f.newArgs("new"))
		require.Equal(t, Offered, reply.Status)
		require.Equal(t, noLoad, reply.Delay)
		prefetch := f.newArgs("new")
		prefetch.Prefetch = true
		require.Equal(t, Offered, f.acquire(prefetch).Status)
		time.Sleep(2500 * time.Millisecond)
		require.Equal(t, Down, f.acquire(f.newArgs("held")).Status)
		require.Equal(t, Down, f.acquire(f.newArgs("new")).Status)
		f.endPermit(held.Permit)
		time.Sleep(time.Minute)
		last, _ := calls.last()
		require.True(t, last.Before(quiet), "orders and polls end at once")
		require.True(t, f.s.State()[0].Evacuated)
	})
}

// Guards against orders by an outdated view of the engine after a domain was restored, and against an engine that gets no orders any more.
func TestRestoredEngineIsReadBeforeNewOrders(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		calls := &timedEngines{fakeEngines: f.engines}
		f.s.cfg.Engines = calls
		f.gainLease()
		time.Sleep(time.Second)
		require.Equal(t, Granted, f.acquire(f.newArgs("a")).Status)
		f.evacuate(time.Now())
		time.Sleep(10 * time.Second)
		// The engine was emptied by its operator meanwhile.
		f.engines.mu.Lock()
		f.engines.loaded, f.engines.accepted = map[string]time.Time{}, 9
		f.engines.mu.Unlock()
		orders, restored := len(f.engines.receivedOrders()), time.Now()
		f.evacuate(time.Time{})
		require.Equal(t, Granted, f.acquire(f.newArgs("b")).Status)
		_, report := calls.last()
		require.False(t, report.Before(restored))
		first := f.engines.receivedOrders()[orders]
		require.False(t, first.at.Before(report))
		require.EqualValues(t, 9, first.order.Expected)
		require.False(t, f.s.State()[0].Evacuated)
	})
}

// Guards against orders to an evacuated engine by a VM that becomes its owner meanwhile.
func TestNewOwnerOfEvacuatedEngineSendsNothing(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		calls := &timedEngines{fakeEngines: f.engines}
		f.s.cfg.Engines = calls
		f.evacuate(time.Now())
		f.gainLease()
		time.Sleep(time.Minute)
		last, _ := calls.last()
		require.Zero(t, last)
		require.Equal(t, Down, f.acquire(f.newArgs("a")).Status)
		f.evacuate(time.Time{})
		time.Sleep(time.Second)
		require.Equal(t, Granted, f.acquire(f.newArgs("a")).Status)
	})
}

// Guards against adapters of an evacuated domain that are not loaded elsewhere because requests always wait for other loads there.
// Those that are requested more often are loaded first.
func TestMovedAdapterIsLoadedBesideOtherLoads(t *testing.T) {
	for _, moving := range []bool{true, false} {
		runWithFixture(t, func(f *fixture) {
			f.gainLease()
			time.Sleep(time.Second)
			wanted := f.newArgs("wanted")
			go func() { f.acquire(wanted) }()
			// The order for "wanted" is on its way, so that the other adapters are all known when the next one is chosen.
			time.Sleep(time.Millisecond)
			for _, name := range []string{"rare", "often", "often"} {
				args := f.newArgs(name)
				args.Prefetch, args.Moving = true, moving
				require.Equal(t, Offered, f.acquire(args).Status)
			}
			time.Sleep(prefetchLifetime - 20*time.Millisecond)
			f.engines.mu.Lock()
			defer f.engines.mu.Unlock()
			require.Contains(t, f.engines.loaded, "wanted")
			require.Equal(t, moving, f.engines.loaded["often"] != time.Time{})
			if moving {
				require.False(t, f.engines.loaded["rare"].Before(f.engines.loaded["often"]))
			}
		})
	}
}

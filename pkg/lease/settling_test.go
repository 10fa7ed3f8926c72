package lease_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/fleettest"
	"github.com/mallowlink/mallowlink/pkg/lease"
)

// callsUnderWay are the calls that VMs have made under leases, by lease.
type callsUnderWay struct {
	mu    sync.Mutex
	ended map[string]chan struct{} // guarded by mu
}

// begin begins a call under a lease. It ends when the returned channel is closed.
func (c *callsUnderWay) begin(name string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended := make(chan struct{})
	c.ended[name] = ended
	return ended
}

func (c *callsUnderWay) settled(name string) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ended, ok := c.ended[name]; ok {
		return ended
	}
	return nil
}

func runFleetWithCalls(t *testing.T, seed int64, n int, names []string, body func(f *fleet, calls *callsUnderWay)) {
	runFleetWith(t, seed, func(f *fleet) {
		calls := &callsUnderWay{ended: map[string]chan struct{}{}}
		f.Names = names
		f.Attach = func(*fleettest.VM) fleettest.Attachment { return fleettest.Attachment{Settled: calls.settled} }
		f.StartAll(n)
		body(f, calls)
	})
}

// Guards against a lease that is free while a call under it may still arrive, and against other leases that wait for that call.
func TestLeaseIsFreeOnceItsCallsAreSettled(t *testing.T) {
	names := []string{"engines/a", "account/x", lease.Budget}
	runFleetWithCalls(t, 6, 1, names, func(f *fleet, calls *callsUnderWay) {
		first := f.holder("engines/a", 2*takeoverLimit)
		f.Start("other")
		time.Sleep(5 * time.Second)
		ended := calls.begin("engines/a")
		before, _ := first.Manager.Held("engines/a")
		drained := make(chan error, 1)
		go func() { drained <- first.Manager.Drain(f.Ctx) }()
		for _, name := range names[1:] {
			require.Eventually(t, func() bool { return len(f.Holders(name)) == 1 && f.Holders(name)[0] != first }, 2*time.Second, 10*time.Millisecond, name)
		}
		time.Sleep(2 * time.Second)
		require.Empty(t, f.Holders("engines/a"))
		_, held := first.Manager.Held("engines/a")
		require.False(t, held)
		_, _, callable := first.Manager.Callable("engines/a")
		require.False(t, callable)
		require.True(t, first.Manager.Settling("engines/a"))
		for _, v := range f.VMs() {
			holder, ok := v.Manager.HolderOf("engines/a")
			require.True(t, ok)
			require.Equal(t, lease.Holder{VM: first.ID, Incarnation: first.Incarnation, Address: first.Address, Fencing: before.Fencing}, holder)
		}
		require.Empty(t, drained, "the drain waits for the call")
		close(ended)
		require.NotEqual(t, first, f.holder("engines/a", time.Second))
		require.NoError(t, <-drained)
		require.False(t, first.Manager.Settling("engines/a"))
	})
}

// Guards against calls that outlive the lease: none may begin unless the lease lasts for the longest time that it can take.
func TestCallsEndBeforeTheLeaseLapses(t *testing.T) {
	runFleet(t, 9, 3, []string{lease.Budget}, func(f *fleet) {
		v := f.holder(lease.Budget, 2*takeoverLimit)
		time.Sleep(20 * time.Second)
		f.Table.SetFaults(v.ID, fleettest.TableFaults{Down: true})
		var lastCall, lapsed time.Time
		for lapsed.IsZero() {
			if _, deadline, ok := v.Manager.Callable(lease.Budget); ok {
				lastCall = deadline
			}
			if _, held := v.Manager.Held(lease.Budget); !held {
				lapsed = time.Now()
			}
			time.Sleep(time.Millisecond)
		}
		require.False(t, lastCall.After(lapsed), "a call could take until %s after the lease", lastCall.Sub(lapsed))
		require.Less(t, lapsed.Sub(lastCall), 100*time.Millisecond)
	})
}

// Guards against taking the end of a process for the end of its calls. A newer process on the VM proves only the former; a lease that was
// freed, a session that has lapsed and an announced end prove both.
func TestGrantSaysHowLongEarlierCallsMayArrive(t *testing.T) {
	const atMost = lease.DefaultDuration/3 + lease.DefaultMargin
	for name, c := range map[string]struct {
		end   func(f *fleet, v *fleettest.VM)
		until time.Duration
	}{
		"killed and back": {func(f *fleet, v *fleettest.VM) { f.Kill(v); f.Start(v.ID) }, atMost},
		"killed":          {func(f *fleet, v *fleettest.VM) { f.Kill(v) }, 0},
		"vanished":        {func(f *fleet, v *fleettest.VM) { f.Vanish(v) }, 0},
		"end announced":   {func(f *fleet, v *fleettest.VM) { f.End(v) }, 0},
		"freed": {func(f *fleet, v *fleettest.VM) {
			ctx, cancel := context.WithTimeout(f.Ctx, 5*time.Second)
			defer cancel()
			require.NoError(f.t, v.Manager.Drain(ctx))
			f.End(v)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			names := []string{"engines/a", "engines/b", "engines/c", "engines/d"}
			runFleet(t, 10, 3, names, func(f *fleet) {
				time.Sleep(30 * time.Second)
				v := f.holder("engines/a", time.Second)
				begun := time.Now()
				c.end(f, v)
				time.Sleep(10 * time.Second)
				gained := 0
				for _, other := range f.VMs() {
					for _, grant := range other.Gains() {
						if len(grant.Recent) == 0 || grant.Recent[0] != v.ID {
							continue
						}
						gained++
						if c.until == 0 {
							require.Zero(t, grant.EarlierCallsUntil, grant.Name)
							continue
						}
						require.GreaterOrEqual(t, grant.EarlierCallsUntil.Sub(begun), c.until, grant.Name)
						require.Less(t, grant.EarlierCallsUntil.Sub(begun), 5*time.Second, grant.Name)
					}
				}
				require.Positive(t, gained)
			})
		})
	}
}

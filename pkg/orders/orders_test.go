package orders

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// receivedOrder is an order as an engine received it.
type receivedOrder struct {
	at    time.Time
	order engine.Order
}

// fakeEngines simulates an engine in virtual time that loads an adapter in 250 ms.
type fakeEngines struct {
	mu       sync.Mutex
	accepted int64
	loaded   map[string]time.Time
	received []receivedOrder
	down     bool
}

func (f *fakeEngines) Order(_ context.Context, _ upstream.Target, o engine.Order) (engine.Reply, error) {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, engine.ErrNotSent
	}
	f.received = append(f.received, receivedOrder{time.Now(), o})
	at, known := f.loaded[o.Adapter.Name]
	if !o.Evict && known && time.Now().Before(at) {
		return engine.Accepted, nil
	}
	if o.Expected != f.accepted {
		return engine.Conflict, nil
	}
	switch {
	case o.Evict && !known, !o.Evict && known:
		return engine.Holds, nil
	case o.Evict:
		f.accepted++
		delete(f.loaded, o.Adapter.Name)
		return engine.Holds, nil
	}
	f.accepted++
	f.loaded[o.Adapter.Name] = time.Now().Add(250 * time.Millisecond)
	return engine.Accepted, nil
}

func (f *fakeEngines) Report(context.Context, upstream.Target) (engine.Report, error) {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return engine.Report{}, engine.ErrNotSent
	}
	r := engine.Report{Accepted: f.accepted, Models: []string{"base"}}
	for name := range f.loaded {
		r.Loaded = append(r.Loaded, roster.Adapter{Model: "base", Name: name, Version: 1})
	}
	return r, nil
}

func (f *fakeEngines) receivedOrders() []receivedOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]receivedOrder(nil), f.received...)
}

// fakeLeaseView is a lease.View with one lease, which the test grants and withdraws.
type fakeLeaseView struct {
	mu             sync.Mutex
	held, settling bool
}

// callLimit is the longest time for which calls of fakeLeaseView may be under way.
const callLimit = time.Second

func (r *fakeLeaseView) set(held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = held
}

// settle makes the lease one that this VM has given up and whose orders are not settled.
func (r *fakeLeaseView) settle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held, r.settling = false, true
}

func (r *fakeLeaseView) Held(name string) (lease.Grant, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lease.Grant{Name: name, Fencing: 7}, r.held
}

func (r *fakeLeaseView) Callable(name string) (lease.Grant, time.Time, bool) {
	grant, held := r.Held(name)
	return grant, time.Now().Add(callLimit), held
}

func (r *fakeLeaseView) Settling(string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settling
}

func (r *fakeLeaseView) HolderOf(string) (lease.Holder, bool) { return lease.Holder{}, false }

// unreachablePeers is a peer.Client whose calls all fail because no VM can be reached.
type unreachablePeers struct{}

func (unreachablePeers) Call(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

// fixture is a service with one engine.
type fixture struct {
	s       *Service
	engines *fakeEngines
	leases  *fakeLeaseView
	id      roster.Incarnation
	permit  uint64
}

const adapterSlots = 3

func runWithFixture(t *testing.T, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := roster.New()
		id := roster.Incarnation{ID: "e1", Started: 5}
		r.Set(roster.NewView([]roster.Endpoint{{Incarnation: id, Group: "g", Address: "x:1"}}))
		log := logrus.New()
		log.SetLevel(logrus.PanicLevel)
		f := &fixture{engines: &fakeEngines{loaded: map[string]time.Time{}}, leases: &fakeLeaseView{held: true}, id: id}
		f.s = NewService(ctx, Config{
			Self: "vm1", Leases: f.leases, Engines: f.engines, Roster: r,
			Spec: func(string) (EngineSpec, bool) {
				return EngineSpec{AdapterSlots: adapterSlots, RequestSlots: 8, CacheTokens: 10_000, Model: "base", ModelLoad: time.Second}, true
			},
			Newest:     func(residency.Key) int { return 0 },
			Address:    func(string) (string, bool) { return "", false },
			PeerClient: unreachablePeers{}, MinOrderGap: 3 * time.Second, Started: time.Now(),
			Metrics: metrics.NewRegistry(), Log: log,
		})
		test(f)
		cancel()
		time.Sleep(time.Minute)
	})
}

func (f *fixture) gainLease(recent ...string) {
	f.s.LeaseGained(lease.Grant{Name: LeaseOf(f.id.ID), Fencing: 7, Recent: recent})
}

func (f *fixture) newArgs(adapter string) *AcquireArgs {
	f.permit++
	return &AcquireArgs{
		Caller: "vm2", Incarnation: "i", Permit: f.permit, Endpoint: f.id.ID, Started: f.id.Started,
		Model: "base", Adapter: adapter, Tokens: 100, Left: time.Second, Life: 5 * time.Second,
		Bound: time.Minute, LoadBound: time.Minute,
	}
}

func (f *fixture) acquire(args *AcquireArgs) AcquireReply {
	var reply AcquireReply
	for {
		_ = f.s.Acquire(args, &reply)
		if reply.Status != Waiting {
			return reply
		}
	}
}

func (f *fixture) endPermit(permit uint64) {
	_ = f.s.Report(&ReportArgs{Incarnation: "i", Notices: []PermitUpdate{{Permit: permit, Ended: true}}}, &ReportReply{})
}

// Requests that wait for the same adapter must share one load.
func TestRequestsForOneAdapterShareOneLoad(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		f.gainLease()
		time.Sleep(time.Second)
		start := time.Now()
		var wait sync.WaitGroup
		for range 20 {
			args := f.newArgs("a")
			wait.Go(func() {
				require.Equal(t, Granted, f.acquire(args).Status)
				require.Less(t, time.Since(start), 300*time.Millisecond)
			})
		}
		wait.Wait()
		loads := 0
		for _, g := range f.engines.receivedOrders() {
			if g.order.Expected == 0 && !g.order.Evict {
				loads++
			}
			require.EqualValues(t, 7, g.order.Fencing)
		}
		require.NotZero(t, loads)
		require.EqualValues(t, 1, f.engines.accepted)
	})
}

// Guards against evicting an adapter that requests are using. It may be evicted once they have ended.
func TestAdapterInUseIsNotEvicted(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		f.gainLease()
		time.Sleep(time.Second)
		var permits []uint64
		for i := range adapterSlots {
			args := f.newArgs(fmt.Sprintf("a%d", i))
			require.Equal(t, Granted, f.acquire(args).Status)
			permits = append(permits, args.Permit)
		}
		args := f.newArgs("new")
		var reply AcquireReply
		require.NoError(t, f.s.Acquire(args, &reply))
		require.Equal(t, Waiting, reply.Status)
		require.Len(t, f.engines.loaded, adapterSlots)
		f.endPermit(permits[1])
		require.Equal(t, Granted, f.acquire(args).Status)
		require.NotContains(t, f.engines.loaded, "a1")
		require.Contains(t, f.engines.loaded, "a0")
	})
}

// Guards against adapters that stay in use forever because the update that ends a permit was lost.
func TestUnreportedPermitsExpire(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		f.gainLease()
		time.Sleep(time.Second)
		for i := range adapterSlots {
			require.Equal(t, Granted, f.acquire(f.newArgs(fmt.Sprintf("a%d", i))).Status)
		}
		time.Sleep(7 * time.Second)
		require.Equal(t, Granted, f.acquire(f.newArgs("new")).Status)
	})
}

// A caller that gives up may end its permit before it is granted. Guards against granting the permit later,
// when no update would end it any more.
func TestPermitEndedWhileWaitingIsNotGranted(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		f.gainLease()
		time.Sleep(time.Second)
		args := f.newArgs("a")
		var reply AcquireReply
		require.NoError(t, f.s.Acquire(args, &reply))
		require.Equal(t, Waiting, reply.Status)
		f.endPermit(args.Permit)
		time.Sleep(200 * time.Millisecond)
		require.NoError(t, f.s.Acquire(args, &reply))
		require.Equal(t, Waiting, reply.Status)
	})
}

// A VM without the lease must neither send orders nor grant permits. This also holds in the time between the
// loss of the lease and the event that reports it, and until the event that reports its return.
func TestNoOrdersWithoutLease(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		f.gainLease()
		time.Sleep(time.Second)
		require.Equal(t, Granted, f.acquire(f.newArgs("a")).Status)
		f.leases.set(false)
		require.Equal(t, NotOwner, f.acquire(f.newArgs("b")).Status)
		sent := len(f.engines.receivedOrders())
		time.Sleep(5 * time.Second)
		require.Len(t, f.engines.receivedOrders(), sent)
		f.s.LeaseLost(LeaseOf(f.id.ID))
		f.leases.set(true)
		require.Equal(t, NotOwner, f.acquire(f.newArgs("b")).Status)
	})
}

// Orders of this VM from before another VM owned the engine may still be on their way. Guards against sending
// new orders too soon after the lease has returned.
func TestOrdersWaitAfterLeaseReturns(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		f.gainLease()
		time.Sleep(10 * time.Second)
		require.Equal(t, Granted, f.acquire(f.newArgs("a")).Status)
		f.s.LeaseLost(LeaseOf(f.id.ID))
		lost := time.Now()
		time.Sleep(500 * time.Millisecond)
		before := len(f.engines.receivedOrders())
		f.gainLease("vm2", "vm1")
		require.Equal(t, Granted, f.acquire(f.newArgs("b")).Status)
		require.GreaterOrEqual(t, f.engines.receivedOrders()[before].at.Sub(lost), 3*time.Second)
		// No other VM has owned the engine in between, so there is no wait.
		f.s.LeaseLost(LeaseOf(f.id.ID))
		f.gainLease("vm1", "vm2")
		start := time.Now()
		require.Equal(t, Granted, f.acquire(f.newArgs("c")).Status)
		require.Less(t, time.Since(start), time.Second)
	})
}

// A restarted process does not know when its VM last sent orders. It must wait as if the last order had been
// sent when the process started.
func TestOrdersWaitAfterRestart(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		started := time.Now()
		f.gainLease("vm2", "vm1")
		require.Equal(t, Granted, f.acquire(f.newArgs("a")).Status)
		require.GreaterOrEqual(t, f.engines.receivedOrders()[0].at.Sub(started), 3*time.Second)
	})
}

// The rows may lack a VM that has held the lease in between. Guards against new orders too soon after this VM's old ones, also
// if those were sent by an earlier process that the rows do not name.
func TestOrdersWaitIfRowsMayLackAHolder(t *testing.T) {
	for name, grant := range map[string]lease.Grant{
		"claims lost":              {Recent: []string{"vm1"}, Unrecorded: true, HistoryLost: true},
		"own claim lost":           {Recent: []string{"vm2"}, HistoryLost: true},
		"free for other VMs":       {Recent: []string{"vm1"}, Unrecorded: true},
		"own claim lost, no other": {Unrecorded: true, HistoryLost: true},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFixture(t, func(f *fixture) {
				grant.Name, grant.Fencing = LeaseOf(f.id.ID), 7
				started := time.Now()
				f.s.LeaseGained(grant)
				require.Equal(t, Granted, f.acquire(f.newArgs("a")).Status)
				require.GreaterOrEqual(t, f.engines.receivedOrders()[0].at.Sub(started), 3*time.Second, "after the start of the process")

				f.s.LeaseLost(grant.Name)
				lost, before := time.Now(), len(f.engines.receivedOrders())
				f.s.LeaseGained(grant)
				require.Equal(t, Granted, f.acquire(f.newArgs("b")).Status)
				require.GreaterOrEqual(t, f.engines.receivedOrders()[before].at.Sub(lost), 3*time.Second, "after the loss of the lease")
			})
		})
	}
}

// Requests for an engine that cannot be reached must be rejected at once.
func TestUnreachableEngineRejectsAtOnce(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		f.gainLease()
		time.Sleep(time.Second)
		f.engines.mu.Lock()
		f.engines.down = true
		f.engines.mu.Unlock()
		require.Equal(t, Down, f.acquire(f.newArgs("a")).Status)
		start := time.Now()
		require.Equal(t, Down, f.acquire(f.newArgs("b")).Status)
		require.Less(t, time.Since(start), 10*time.Millisecond)
		f.engines.mu.Lock()
		f.engines.down = false
		f.engines.mu.Unlock()
		time.Sleep(2 * time.Second)
		require.Equal(t, Granted, f.acquire(f.newArgs("c")).Status)
	})
}

// If the expected wait for the prompts of other requests or for the adapter is over the request's bounds, the
// owner must return the expected waits at once instead of letting the request wait.
func TestWaitsOverTheBoundsAreOffered(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		f.gainLease()
		time.Sleep(time.Second)
		big := f.newArgs("a")
		big.Tokens = 20_000
		require.Equal(t, Granted, f.acquire(big).Status)
		args := f.newArgs("a")
		args.Bound = 100 * time.Millisecond
		reply := f.acquire(args)
		require.Equal(t, Offered, reply.Status)
		require.Greater(t, reply.Estimate, 400*time.Millisecond)
		require.Zero(t, reply.Delay)
		args = f.newArgs("cold")
		args.LoadBound = 100 * time.Millisecond
		reply = f.acquire(args)
		require.Equal(t, Offered, reply.Status)
		require.Greater(t, reply.Delay, 200*time.Millisecond)
		_ = f.s.Report(&ReportArgs{Incarnation: "i", Notices: []PermitUpdate{{Permit: big.Permit, Started: true, First: time.Second}}}, &ReportReply{})
		args = f.newArgs("a")
		args.Bound = 100 * time.Millisecond
		require.Equal(t, Granted, f.acquire(args).Status, "the prompt ahead has been processed")
	})
}

func TestPrefetchLoadsWhenNoRequestWaits(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		f.gainLease()
		time.Sleep(time.Second)
		args := f.newArgs("a")
		args.Prefetch = true
		require.Equal(t, Offered, f.acquire(args).Status)
		time.Sleep(400 * time.Millisecond)
		start := time.Now()
		require.Equal(t, Granted, f.acquire(f.newArgs("a")).Status)
		require.Less(t, time.Since(start), 20*time.Millisecond)
	})
}

// The previous owner of an engine must pass on how adapters were used, for as long as the state is kept.
func TestHandoverToNextOwner(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		f.gainLease()
		time.Sleep(time.Second)
		require.Equal(t, Granted, f.acquire(f.newArgs("a")).Status)
		f.s.LeaseLost(LeaseOf(f.id.ID))
		var reply HandoverReply
		require.NoError(t, f.s.Tell(&HandoverArgs{Endpoint: f.id.ID, Started: f.id.Started}, &reply))
		require.True(t, reply.Known)
		require.Len(t, reply.Habits.Uses, 1)
		time.Sleep(2 * retirementPeriod)
		reply = HandoverReply{}
		require.NoError(t, f.s.Tell(&HandoverArgs{Endpoint: f.id.ID, Started: f.id.Started}, &reply))
		require.False(t, reply.Known)
	})
}

func TestEveryEngineHasALease(t *testing.T) {
	names := map[string]bool{}
	for _, name := range LeaseNames() {
		names[name] = true
	}
	require.Len(t, names, LeaseCount)
	for i := range 1000 {
		require.True(t, names[LeaseOf(fmt.Sprintf("i-%d", i))])
	}
}

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

	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// receivedOrder is an order as an engine has received it.
type receivedOrder struct {
	at    time.Time
	order engine.Order
}

// fakeEngines are engines in virtual time that load an adapter in 250 ms.
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

// fakeLessor is a Lessor whose rights a test gives and takes.
type fakeLessor struct {
	mu   sync.Mutex
	held bool
}

func (r *fakeLessor) set(held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = held
}

func (r *fakeLessor) Held(name string) (lease.Grant, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lease.Grant{Name: name, Fencing: 7}, r.held
}

func (r *fakeLessor) HolderOf(string) (lease.Holder, bool) { return lease.Holder{}, false }

// unreachablePeers is a Caller that reaches no VM.
type unreachablePeers struct{}

func (unreachablePeers) Call(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

// fixture is one service before one engine.
type fixture struct {
	s       *Service
	engines *fakeEngines
	lessor  *fakeLessor
	id      roster.Incarnation
	permit  uint64
}

const adapterSlots = 3

func runWithFixture(t *testing.T, do func(s *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := roster.New()
		id := roster.Incarnation{ID: "e1", Started: 5}
		r.Set(roster.NewView([]roster.Endpoint{{Incarnation: id, Group: "g", Address: "x:1"}}))
		log := logrus.New()
		log.SetLevel(logrus.PanicLevel)
		x := &fixture{engines: &fakeEngines{loaded: map[string]time.Time{}}, lessor: &fakeLessor{held: true}, id: id}
		x.s = NewService(ctx, Config{
			Self: "vm1", Leases: x.lessor, Engines: x.engines, Roster: r,
			Spec: func(string) (Spec, bool) {
				return Spec{Places: adapterSlots, Slots: 8, CacheTokens: 10_000, Model: "base", ModelLoad: time.Second}, true
			},
			Newest:  func(residency.Key) int { return 0 },
			Address: func(string) (string, bool) { return "", false },
			Caller:  unreachablePeers{}, Turns: 3 * time.Second, Started: time.Now(),
			Metrics: metrics.NewRegistry(), Log: log,
		})
		do(x)
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
	_ = f.s.Report(&ReportArgs{Incarnation: "i", Notices: []Notice{{Permit: permit, Ended: true}}}, &ReportReply{})
}

// Requests for one adapter wait for one load together.
func TestRequestsForOneAdapterShareOneLoad(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		x.gainLease()
		time.Sleep(time.Second)
		begun := time.Now()
		var wait sync.WaitGroup
		for range 20 {
			args := x.newArgs("a")
			wait.Go(func() {
				require.Equal(t, Granted, x.acquire(args).Status)
				require.Less(t, time.Since(begun), 300*time.Millisecond)
			})
		}
		wait.Wait()
		loads := 0
		for _, g := range x.engines.receivedOrders() {
			if g.order.Expected == 0 && !g.order.Evict {
				loads++
			}
			require.EqualValues(t, 7, g.order.Fencing)
		}
		require.NotZero(t, loads)
		require.EqualValues(t, 1, x.engines.accepted)
	})
}

// An adapter in use is not evicted; it is once its requests have ended.
func TestAdapterInUseIsNotEvicted(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		x.gainLease()
		time.Sleep(time.Second)
		var permits []uint64
		for i := range adapterSlots {
			args := x.newArgs(fmt.Sprintf("a%d", i))
			require.Equal(t, Granted, x.acquire(args).Status)
			permits = append(permits, args.Permit)
		}
		args := x.newArgs("new")
		var reply AcquireReply
		require.NoError(t, x.s.Acquire(args, &reply))
		require.Equal(t, Waiting, reply.Status)
		require.Len(t, x.engines.loaded, adapterSlots)
		x.endPermit(permits[1])
		require.Equal(t, Granted, x.acquire(args).Status)
		require.NotContains(t, x.engines.loaded, "a1")
		require.Contains(t, x.engines.loaded, "a0")
	})
}

// Permits whose ends are never told are freed by their time.
func TestUnreportedPermitsExpire(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		x.gainLease()
		time.Sleep(time.Second)
		for i := range adapterSlots {
			require.Equal(t, Granted, x.acquire(x.newArgs(fmt.Sprintf("a%d", i))).Status)
		}
		time.Sleep(7 * time.Second)
		require.Equal(t, Granted, x.acquire(x.newArgs("new")).Status)
	})
}

// A permit that ended before it was granted takes no place.
func TestPermitEndedWhileWaitingIsNotGranted(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		x.gainLease()
		time.Sleep(time.Second)
		args := x.newArgs("a")
		var reply AcquireReply
		require.NoError(t, x.s.Acquire(args, &reply))
		require.Equal(t, Waiting, reply.Status)
		x.endPermit(args.Permit)
		time.Sleep(200 * time.Millisecond)
		require.NoError(t, x.s.Acquire(args, &reply))
		require.Equal(t, Waiting, reply.Status)
	})
}

// Without its lease a VM gives no orders and grants nothing, also between the check and the events.
func TestNoOrdersWithoutLease(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		x.gainLease()
		time.Sleep(time.Second)
		require.Equal(t, Granted, x.acquire(x.newArgs("a")).Status)
		x.lessor.set(false)
		require.Equal(t, NotOwner, x.acquire(x.newArgs("b")).Status)
		given := len(x.engines.receivedOrders())
		time.Sleep(5 * time.Second)
		require.Len(t, x.engines.receivedOrders(), given)
		x.s.LeaseLost(LeaseOf(x.id.ID))
		x.lessor.set(true)
		require.Equal(t, NotOwner, x.acquire(x.newArgs("b")).Status)
	})
}

// A VM that gets a lease back from another one keeps its orders apart from its earlier ones.
func TestOrdersWaitAfterLeaseReturns(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		x.gainLease()
		time.Sleep(10 * time.Second)
		require.Equal(t, Granted, x.acquire(x.newArgs("a")).Status)
		x.s.LeaseLost(LeaseOf(x.id.ID))
		lost := time.Now()
		time.Sleep(500 * time.Millisecond)
		before := len(x.engines.receivedOrders())
		x.gainLease("vm2", "vm1")
		require.Equal(t, Granted, x.acquire(x.newArgs("b")).Status)
		require.GreaterOrEqual(t, x.engines.receivedOrders()[before].at.Sub(lost), 3*time.Second)
		// Nobody came between: no need to wait.
		x.s.LeaseLost(LeaseOf(x.id.ID))
		x.gainLease("vm1", "vm2")
		begun := time.Now()
		require.Equal(t, Granted, x.acquire(x.newArgs("c")).Status)
		require.Less(t, time.Since(begun), time.Second)
	})
}

// A restarted process does not know when its VM gave orders: it waits from its own start on.
func TestOrdersWaitAfterRestart(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		started := time.Now()
		x.gainLease("vm2", "vm1")
		require.Equal(t, Granted, x.acquire(x.newArgs("a")).Status)
		require.GreaterOrEqual(t, x.engines.receivedOrders()[0].at.Sub(started), 3*time.Second)
	})
}

// Requests for an engine that cannot be reached are turned away at once.
func TestUnreachableEngineRejectsAtOnce(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		x.gainLease()
		time.Sleep(time.Second)
		x.engines.mu.Lock()
		x.engines.down = true
		x.engines.mu.Unlock()
		require.Equal(t, Down, x.acquire(x.newArgs("a")).Status)
		begun := time.Now()
		require.Equal(t, Down, x.acquire(x.newArgs("b")).Status)
		require.Less(t, time.Since(begun), 10*time.Millisecond)
		x.engines.mu.Lock()
		x.engines.down = false
		x.engines.mu.Unlock()
		time.Sleep(2 * time.Second)
		require.Equal(t, Granted, x.acquire(x.newArgs("c")).Status)
	})
}

// An engine with much to read, or whose adapters all have to be waited for, says how long a request would
// wait instead of keeping it.
func TestWaitsOverTheBoundsAreOffered(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		x.gainLease()
		time.Sleep(time.Second)
		big := x.newArgs("a")
		big.Tokens = 20_000
		require.Equal(t, Granted, x.acquire(big).Status)
		args := x.newArgs("a")
		args.Bound = 100 * time.Millisecond
		reply := x.acquire(args)
		require.Equal(t, Offered, reply.Status)
		require.Greater(t, reply.Estimate, 400*time.Millisecond)
		require.Zero(t, reply.Delay)
		args = x.newArgs("cold")
		args.LoadBound = 100 * time.Millisecond
		reply = x.acquire(args)
		require.Equal(t, Offered, reply.Status)
		require.Greater(t, reply.Delay, 200*time.Millisecond)
		_ = x.s.Report(&ReportArgs{Incarnation: "i", Notices: []Notice{{Permit: big.Permit, Started: true, First: time.Second}}}, &ReportReply{})
		args = x.newArgs("a")
		args.Bound = 100 * time.Millisecond
		require.Equal(t, Granted, x.acquire(args).Status, "the prompt has been read")
	})
}

func TestPrefetchLoadsWhenNoRequestWaits(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		x.gainLease()
		time.Sleep(time.Second)
		args := x.newArgs("a")
		args.Prefetch = true
		require.Equal(t, Offered, x.acquire(args).Status)
		time.Sleep(400 * time.Millisecond)
		begun := time.Now()
		require.Equal(t, Granted, x.acquire(x.newArgs("a")).Status)
		require.Less(t, time.Since(begun), 20*time.Millisecond)
	})
}

// The next holder learns from this one how adapters were used.
func TestHandoverToNextOwner(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		x.gainLease()
		time.Sleep(time.Second)
		require.Equal(t, Granted, x.acquire(x.newArgs("a")).Status)
		x.s.LeaseLost(LeaseOf(x.id.ID))
		var reply HandoverReply
		require.NoError(t, x.s.Tell(&HandoverArgs{Endpoint: x.id.ID, Started: x.id.Started}, &reply))
		require.True(t, reply.Known)
		require.Len(t, reply.Habits.Uses, 1)
		time.Sleep(2 * retirementPeriod)
		reply = HandoverReply{}
		require.NoError(t, x.s.Tell(&HandoverArgs{Endpoint: x.id.ID, Started: x.id.Started}, &reply))
		require.False(t, reply.Known)
	})
}

func TestEveryEngineHasALease(t *testing.T) {
	names := map[string]bool{}
	for _, name := range LeaseNames() {
		names[name] = true
	}
	require.Len(t, names, Shares)
	for i := range 1000 {
		require.True(t, names[LeaseOf(fmt.Sprintf("i-%d", i))])
	}
}

func TestEngineLoadMeasuresTokenTime(t *testing.T) {
	l := newEngineLoad(64, 1000)
	for i := range 200 {
		key := permitKey{"i", uint64(i)}
		l.add(key, "a", 1000, time.Time{})
		l.markStarted(key, baseFirstTokenTime+100*time.Millisecond)
		l.remove(key)
	}
	require.InDelta(t, 100*time.Microsecond, l.tokenTime, float64(2*time.Microsecond))
	require.InDelta(t, baseFirstTokenTime+100*time.Millisecond, l.estimate(1000), float64(3*time.Millisecond))
	require.Zero(t, l.unread)
	require.Zero(t, l.running)
}

func TestPromptCacheUnreadTokens(t *testing.T) {
	c := newPromptCache(1000)
	prompt := []dialect.PromptPart{{ID: "a", Tokens: 300}, {ID: "b", Tokens: 200}}
	require.Equal(t, 700, c.unread("x", prompt, 700))
	c.add("x", prompt)
	require.Equal(t, 200, c.unread("x", prompt, 700))
	require.Equal(t, 700, c.unread("y", prompt, 700), "parts are kept for each adapter")
	require.Equal(t, 400, c.unread("x", []dialect.PromptPart{{ID: "a", Tokens: 300}, {ID: "z", Tokens: 100}, {ID: "b", Tokens: 200}}, 700))
	c.removeAdapter("x")
	require.Equal(t, 700, c.unread("x", prompt, 700))
	for i := range 50 {
		c.add("x", []dialect.PromptPart{{ID: fmt.Sprint(i), Tokens: 100}})
		require.LessOrEqual(t, c.tokens, 1000)
	}
}

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

// given is an order as an engine has received it.
type given struct {
	at    time.Time
	order engine.Order
}

// fakeEngines are engines in virtual time that load an adapter in 250 ms.
type fakeEngines struct {
	mu       sync.Mutex
	accepted int64
	loaded   map[string]time.Time
	given    []given
	down     bool
}

func (f *fakeEngines) Order(_ context.Context, _ upstream.Target, o engine.Order) (engine.Reply, error) {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, engine.ErrNotSent
	}
	f.given = append(f.given, given{time.Now(), o})
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

func (f *fakeEngines) orders() []given {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]given(nil), f.given...)
}

// rights is a Lessor whose rights a test gives and takes.
type rights struct {
	mu   sync.Mutex
	held bool
}

func (r *rights) set(held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = held
}

func (r *rights) Held(name string) (lease.Grant, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lease.Grant{Name: name, Fencing: 7}, r.held
}

func (r *rights) HolderOf(string) (lease.Holder, bool) { return lease.Holder{}, false }

// nobody is a Caller that reaches no VM.
type nobody struct{}

func (nobody) Call(context.Context, string, string, any, any) error { return peer.ErrUnreachable }

// site is one service before one engine.
type site struct {
	s       *Service
	engines *fakeEngines
	rights  *rights
	id      roster.Incarnation
	permit  uint64
}

const places = 3

func runSite(t *testing.T, do func(s *site)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := roster.New()
		id := roster.Incarnation{ID: "e1", Started: 5}
		r.Set(roster.NewView([]roster.Endpoint{{Incarnation: id, Group: "g", Address: "x:1"}}))
		log := logrus.New()
		log.SetLevel(logrus.PanicLevel)
		x := &site{engines: &fakeEngines{loaded: map[string]time.Time{}}, rights: &rights{held: true}, id: id}
		x.s = NewService(ctx, Config{
			Self: "vm1", Leases: x.rights, Engines: x.engines, Roster: r,
			Spec: func(string) (Spec, bool) {
				return Spec{Places: places, Slots: 8, CacheTokens: 10_000, Model: "base", ModelLoad: time.Second}, true
			},
			Newest:  func(residency.Key) int { return 0 },
			Address: func(string) (string, bool) { return "", false },
			Caller:  nobody{}, Turns: 3 * time.Second, Started: time.Now(),
			Metrics: metrics.NewRegistry(), Log: log,
		})
		do(x)
		cancel()
		time.Sleep(time.Minute)
	})
}

func (x *site) gain(recent ...string) {
	x.s.LeaseGained(lease.Grant{Name: LeaseOf(x.id.ID), Fencing: 7, Recent: recent})
}

func (x *site) args(adapter string) *AcquireArgs {
	x.permit++
	return &AcquireArgs{
		Caller: "vm2", Incarnation: "i", Permit: x.permit, Endpoint: x.id.ID, Started: x.id.Started,
		Model: "base", Adapter: adapter, Tokens: 100, Left: time.Second, Life: 5 * time.Second,
		Bound: time.Minute, LoadBound: time.Minute,
	}
}

func (x *site) acquire(args *AcquireArgs) AcquireReply {
	var reply AcquireReply
	for {
		_ = x.s.Acquire(args, &reply)
		if reply.Status != Waiting {
			return reply
		}
	}
}

func (x *site) end(permit uint64) {
	_ = x.s.Report(&ReportArgs{Incarnation: "i", Notices: []Notice{{Permit: permit, Ended: true}}}, &ReportReply{})
}

// Requests for one adapter wait for one load together.
func TestRequestsForOneAdapterShareALoad(t *testing.T) {
	runSite(t, func(x *site) {
		x.gain()
		time.Sleep(time.Second)
		begun := time.Now()
		var wait sync.WaitGroup
		for range 20 {
			args := x.args("a")
			wait.Go(func() {
				require.Equal(t, Granted, x.acquire(args).Status)
				require.Less(t, time.Since(begun), 300*time.Millisecond)
			})
		}
		wait.Wait()
		loads := 0
		for _, g := range x.engines.orders() {
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
func TestAdaptersInUseStay(t *testing.T) {
	runSite(t, func(x *site) {
		x.gain()
		time.Sleep(time.Second)
		var permits []uint64
		for i := range places {
			args := x.args(fmt.Sprintf("a%d", i))
			require.Equal(t, Granted, x.acquire(args).Status)
			permits = append(permits, args.Permit)
		}
		args := x.args("new")
		var reply AcquireReply
		require.NoError(t, x.s.Acquire(args, &reply))
		require.Equal(t, Waiting, reply.Status)
		require.Len(t, x.engines.loaded, places)
		x.end(permits[1])
		require.Equal(t, Granted, x.acquire(args).Status)
		require.NotContains(t, x.engines.loaded, "a1")
		require.Contains(t, x.engines.loaded, "a0")
	})
}

// Permits whose ends are never told are freed by their time.
func TestLostPermitsAreFreed(t *testing.T) {
	runSite(t, func(x *site) {
		x.gain()
		time.Sleep(time.Second)
		for i := range places {
			require.Equal(t, Granted, x.acquire(x.args(fmt.Sprintf("a%d", i))).Status)
		}
		time.Sleep(7 * time.Second)
		require.Equal(t, Granted, x.acquire(x.args("new")).Status)
	})
}

// A permit that ended before it was granted takes no place.
func TestACancelledPermitIsNotGranted(t *testing.T) {
	runSite(t, func(x *site) {
		x.gain()
		time.Sleep(time.Second)
		args := x.args("a")
		var reply AcquireReply
		require.NoError(t, x.s.Acquire(args, &reply))
		require.Equal(t, Waiting, reply.Status)
		x.end(args.Permit)
		time.Sleep(200 * time.Millisecond)
		require.NoError(t, x.s.Acquire(args, &reply))
		require.Equal(t, Waiting, reply.Status)
	})
}

// Without its lease a VM gives no orders and grants nothing, also between the check and the events.
func TestNothingWithoutTheLease(t *testing.T) {
	runSite(t, func(x *site) {
		x.gain()
		time.Sleep(time.Second)
		require.Equal(t, Granted, x.acquire(x.args("a")).Status)
		x.rights.set(false)
		require.Equal(t, NotOwner, x.acquire(x.args("b")).Status)
		given := len(x.engines.orders())
		time.Sleep(5 * time.Second)
		require.Len(t, x.engines.orders(), given)
		x.s.LeaseLost(LeaseOf(x.id.ID))
		x.rights.set(true)
		require.Equal(t, NotOwner, x.acquire(x.args("b")).Status)
	})
}

// A VM that gets a lease back from another one keeps its orders apart from its earlier ones.
func TestTurnsAreApart(t *testing.T) {
	runSite(t, func(x *site) {
		x.gain()
		time.Sleep(10 * time.Second)
		require.Equal(t, Granted, x.acquire(x.args("a")).Status)
		x.s.LeaseLost(LeaseOf(x.id.ID))
		lost := time.Now()
		time.Sleep(500 * time.Millisecond)
		before := len(x.engines.orders())
		x.gain("vm2", "vm1")
		require.Equal(t, Granted, x.acquire(x.args("b")).Status)
		require.GreaterOrEqual(t, x.engines.orders()[before].at.Sub(lost), 3*time.Second)
		// Nobody came between: no need to wait.
		x.s.LeaseLost(LeaseOf(x.id.ID))
		x.gain("vm1", "vm2")
		begun := time.Now()
		require.Equal(t, Granted, x.acquire(x.args("c")).Status)
		require.Less(t, time.Since(begun), time.Second)
	})
}

// A restarted process does not know when its VM gave orders: it waits from its own start on.
func TestTurnsAreApartAcrossARestart(t *testing.T) {
	runSite(t, func(x *site) {
		started := time.Now()
		x.gain("vm2", "vm1")
		require.Equal(t, Granted, x.acquire(x.args("a")).Status)
		require.GreaterOrEqual(t, x.engines.orders()[0].at.Sub(started), 3*time.Second)
	})
}

// Requests for an engine that cannot be reached are turned away at once.
func TestAnEngineThatIsDown(t *testing.T) {
	runSite(t, func(x *site) {
		x.gain()
		time.Sleep(time.Second)
		x.engines.mu.Lock()
		x.engines.down = true
		x.engines.mu.Unlock()
		require.Equal(t, Down, x.acquire(x.args("a")).Status)
		begun := time.Now()
		require.Equal(t, Down, x.acquire(x.args("b")).Status)
		require.Less(t, time.Since(begun), 10*time.Millisecond)
		x.engines.mu.Lock()
		x.engines.down = false
		x.engines.mu.Unlock()
		time.Sleep(2 * time.Second)
		require.Equal(t, Granted, x.acquire(x.args("c")).Status)
	})
}

// An engine with much to read, or whose adapters all have to be waited for, says how long a request would
// wait instead of keeping it.
func TestBoundsBringOffers(t *testing.T) {
	runSite(t, func(x *site) {
		x.gain()
		time.Sleep(time.Second)
		big := x.args("a")
		big.Tokens = 20_000
		require.Equal(t, Granted, x.acquire(big).Status)
		args := x.args("a")
		args.Bound = 100 * time.Millisecond
		reply := x.acquire(args)
		require.Equal(t, Offered, reply.Status)
		require.Greater(t, reply.Estimate, 400*time.Millisecond)
		require.Zero(t, reply.Delay)
		args = x.args("cold")
		args.LoadBound = 100 * time.Millisecond
		reply = x.acquire(args)
		require.Equal(t, Offered, reply.Status)
		require.Greater(t, reply.Delay, 200*time.Millisecond)
		_ = x.s.Report(&ReportArgs{Incarnation: "i", Notices: []Notice{{Permit: big.Permit, Started: true, First: time.Second}}}, &ReportReply{})
		args = x.args("a")
		args.Bound = 100 * time.Millisecond
		require.Equal(t, Granted, x.acquire(args).Status, "the prompt has been read")
	})
}

func TestPrefetchLoadsWhenNothingElseIsWanted(t *testing.T) {
	runSite(t, func(x *site) {
		x.gain()
		time.Sleep(time.Second)
		args := x.args("a")
		args.Prefetch = true
		require.Equal(t, Offered, x.acquire(args).Status)
		time.Sleep(400 * time.Millisecond)
		begun := time.Now()
		require.Equal(t, Granted, x.acquire(x.args("a")).Status)
		require.Less(t, time.Since(begun), 20*time.Millisecond)
	})
}

// The next holder learns from this one how adapters were used.
func TestTell(t *testing.T) {
	runSite(t, func(x *site) {
		x.gain()
		time.Sleep(time.Second)
		require.Equal(t, Granted, x.acquire(x.args("a")).Status)
		x.s.LeaseLost(LeaseOf(x.id.ID))
		var reply TellReply
		require.NoError(t, x.s.Tell(&TellArgs{Endpoint: x.id.ID, Started: x.id.Started}, &reply))
		require.True(t, reply.Known)
		require.Len(t, reply.Habits.Uses, 1)
		time.Sleep(2 * retireFor)
		reply = TellReply{}
		require.NoError(t, x.s.Tell(&TellArgs{Endpoint: x.id.ID, Started: x.id.Started}, &reply))
		require.False(t, reply.Known)
	})
}

func TestLeasesCoverAllEngines(t *testing.T) {
	names := map[string]bool{}
	for _, name := range LeaseNames() {
		names[name] = true
	}
	require.Len(t, names, Shares)
	for i := range 1000 {
		require.True(t, names[LeaseOf(fmt.Sprintf("i-%d", i))])
	}
}

func TestLoadLearnsTheTimeOfATokens(t *testing.T) {
	l := newLoad(64, 1000)
	for i := range 200 {
		key := permitKey{"i", uint64(i)}
		l.add(key, "a", 1000, time.Time{})
		l.start(key, baseTime+100*time.Millisecond)
		l.end(key)
	}
	require.InDelta(t, 100*time.Microsecond, l.perTok, float64(2*time.Microsecond))
	require.InDelta(t, baseTime+100*time.Millisecond, l.estimate(1000), float64(3*time.Millisecond))
	require.Zero(t, l.pending)
	require.Zero(t, l.running)
}

func TestPromptCacheKnowsWhatIsKept(t *testing.T) {
	c := newPromptCache(1000)
	prompt := []dialect.PromptPart{{ID: "a", Tokens: 300}, {ID: "b", Tokens: 200}}
	require.Equal(t, 700, c.unread("x", prompt, 700))
	c.note("x", prompt)
	require.Equal(t, 200, c.unread("x", prompt, 700))
	require.Equal(t, 700, c.unread("y", prompt, 700), "parts are kept for each adapter")
	require.Equal(t, 400, c.unread("x", []dialect.PromptPart{{ID: "a", Tokens: 300}, {ID: "z", Tokens: 100}, {ID: "b", Tokens: 200}}, 700))
	c.forget("x")
	require.Equal(t, 700, c.unread("x", prompt, 700))
	for i := range 50 {
		c.note("x", []dialect.PromptPart{{ID: fmt.Sprint(i), Tokens: 100}})
		require.LessOrEqual(t, c.used, 1000)
	}
}

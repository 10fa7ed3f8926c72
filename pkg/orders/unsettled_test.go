package orders

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// slowEngines holds back the responses to orders.
type slowEngines struct {
	*fakeEngines

	mu sync.Mutex
	// holdBack is the delay of each response, err what a call ends with instead of one. Both are guarded by mu.
	holdBack time.Duration
	err      error
	// open and mostOpen count the calls that have not ended, now and at most.
	open, mostOpen int
}

func (s *slowEngines) set(holdBack time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdBack, s.err = holdBack, err
}

func (s *slowEngines) Order(ctx context.Context, target upstream.Target, o engine.Order) (engine.Reply, error) {
	if err := o.BeforeSend(); err != nil {
		return 0, engine.ErrNotSent
	}
	s.mu.Lock()
	holdBack, failure := s.holdBack, s.err
	s.open++
	s.mostOpen = max(s.mostOpen, s.open)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open--
	}()
	if failure != nil {
		time.Sleep(2 * time.Millisecond)
		return 0, failure
	}
	reply, err := s.fakeEngines.Order(ctx, target, o)
	select {
	case <-time.After(holdBack):
		return reply, err
	case <-ctx.Done():
		return 0, engine.ErrUnknown
	}
}

// withSlowEngines runs a test whose engine gets an order in the next moment.
func withSlowEngines(t *testing.T, test func(f *fixture, engines *slowEngines)) {
	runWithFixture(t, func(f *fixture) {
		engines := &slowEngines{fakeEngines: f.engines}
		f.s.cfg.Engines = engines
		f.gainLease()
		time.Sleep(time.Second)
		test(f, engines)
	})
}

// order makes the VM send an order, and returns once it is under way.
func (f *fixture) order(adapter string) {
	args := f.newArgs(adapter)
	go func() { _ = f.s.Acquire(args, &AcquireReply{}) }()
	time.Sleep(time.Millisecond)
}

// settledAfter returns how long the orders given so far may still arrive.
func (f *fixture) settledAfter() time.Duration {
	begun := time.Now()
	if settled := f.s.Settled(LeaseOf(f.id.ID)); settled != nil {
		<-settled
	}
	return time.Since(begun)
}

// Guards against taking an order for settled because the worker has given it up: a response of any kind settles it, a call that was
// not sent is settled at once, and anything else only by time.
func TestOrderIsSettledByEvidenceOrTime(t *testing.T) {
	for name, c := range map[string]struct {
		holdBack    time.Duration
		err         error
		after, upTo time.Duration
	}{
		"response in time":       {0, nil, 0, 5 * time.Millisecond},
		"late response":          {400 * time.Millisecond, nil, 390 * time.Millisecond, 410 * time.Millisecond},
		"response that broke":    {0, engine.ErrBrokenOff, 0, 5 * time.Millisecond},
		"not sent":               {0, engine.ErrNotSent, 0, 5 * time.Millisecond},
		"lost connection":        {0, engine.ErrUnknown, 3 * time.Second, 3200 * time.Millisecond},
		"no response in a while": {time.Hour, nil, 3 * time.Second, 3200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withSlowEngines(t, func(f *fixture, engines *slowEngines) {
				engines.set(c.holdBack, c.err)
				f.order("a")
				f.leases.set(false)
				took := f.settledAfter()
				require.GreaterOrEqual(t, took, c.after)
				require.LessOrEqual(t, took, c.upTo)
				require.Zero(t, f.s.OrdersFor())
				require.Nil(t, f.s.Settled(LeaseOf(f.id.ID)))
			})
		})
	}
}

// Guards against connections without bound to an engine that does not respond.
func TestOpenCallsAreBounded(t *testing.T) {
	withSlowEngines(t, func(f *fixture, engines *slowEngines) {
		engines.set(time.Hour, nil)
		for i := range 50 {
			f.order(string(rune('a' + i)))
			time.Sleep(100 * time.Millisecond)
		}
		engines.mu.Lock()
		defer engines.mu.Unlock()
		require.LessOrEqual(t, engines.mostOpen, maxOpenCalls)
		require.Positive(t, engines.mostOpen)
	})
}

// A lease that this VM has given up is not free while its orders may arrive. Guards against callers without an owner meanwhile:
// adapters that the engine holds can be used, nothing else is ordered, and the engine is given up when the orders are settled.
func TestLoadedAdaptersServeWhileTheLeaseSettles(t *testing.T) {
	withSlowEngines(t, func(f *fixture, engines *slowEngines) {
		require.Equal(t, Granted, f.acquire(f.newArgs("held")).Status)
		engines.set(700*time.Millisecond, nil)
		f.order("late")
		f.leases.settle()
		f.s.LeaseLost(LeaseOf(f.id.ID))
		sent := len(f.engines.receivedOrders())
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, Granted, f.acquire(f.newArgs("held")).Status)
		other := f.acquire(f.newArgs("other"))
		require.Equal(t, Offered, other.Status)
		require.Equal(t, noLoad, other.Delay)
		require.True(t, f.s.State()[0].Settling)
		require.Equal(t, 1, f.s.State()[0].Unsettled)
		time.Sleep(700 * time.Millisecond)
		require.Equal(t, NotOwner, f.acquire(f.newArgs("held")).Status)
		require.Empty(t, f.s.State())
		require.LessOrEqual(t, len(f.engines.receivedOrders()), sent+1, "the order that was under way")
	})
}

// Guards against an order that was waiting for its connection when the lease ended.
func TestOrderIsNotWrittenAfterTheLeaseHasEnded(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		f.s.cfg.Engines = dialingEngines{f.engines}
		f.gainLease()
		time.Sleep(time.Second)
		before := len(f.engines.receivedOrders())
		f.order("a")
		f.leases.set(false)
		require.LessOrEqual(t, f.settledAfter(), dialTime)
		require.Len(t, f.engines.receivedOrders(), before)
		require.False(t, f.s.State()[0].Down, "the engine was not out of reach")
	})
}

const dialTime = 20 * time.Millisecond

// dialingEngines takes dialTime to connect.
type dialingEngines struct{ *fakeEngines }

func (d dialingEngines) Order(ctx context.Context, target upstream.Target, o engine.Order) (engine.Reply, error) {
	time.Sleep(dialTime)
	if err := o.BeforeSend(); err != nil {
		return 0, engine.ErrNotSent
	}
	return d.fakeEngines.Order(ctx, target, o)
}

// Guards against orders of this VM that arrive after its own newer ones, or in turn with another VM's, when a lease comes back.
func TestOrdersWaitForEarlierOrdersOfThisVM(t *testing.T) {
	for name, c := range map[string]struct {
		recent []string
		wait   time.Duration
	}{
		"no other holder in between": {[]string{"vm1"}, 3 * time.Second},
		"another VM in between":      {[]string{"vm2", "vm1"}, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			withSlowEngines(t, func(f *fixture, engines *slowEngines) {
				time.Sleep(10 * time.Second)
				engines.set(time.Hour, nil)
				given := time.Now()
				f.order("a")
				f.s.LeaseLost(LeaseOf(f.id.ID))
				time.Sleep(500 * time.Millisecond)
				engines.set(0, nil)
				before := len(f.engines.receivedOrders())
				f.s.LeaseGained(lease.Grant{Name: LeaseOf(f.id.ID), Fencing: 9, Recent: c.recent})
				require.Equal(t, Granted, f.acquire(f.newArgs("b")).Status)
				require.GreaterOrEqual(t, f.engines.receivedOrders()[before].at.Sub(given), c.wait)
			})
		})
	}
}

// Guards against orders before those of an earlier holder have ended, whose end does not prove that, and against callers who wait for a
// load that cannot be ordered yet.
func TestOrdersWaitForEarlierHolders(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		until := time.Now().Add(1300 * time.Millisecond)
		f.s.LeaseGained(lease.Grant{Name: LeaseOf(f.id.ID), Fencing: 7, Recent: []string{"vm2"}, EarlierCallsUntil: until})
		time.Sleep(200 * time.Millisecond)
		args := f.newArgs("a")
		args.LoadBound = time.Millisecond
		offered := f.acquire(args)
		require.Equal(t, Offered, offered.Status)
		require.Greater(t, offered.Delay, time.Until(until))
		require.Equal(t, Granted, f.acquire(f.newArgs("a")).Status)
		require.False(t, f.engines.receivedOrders()[0].at.Before(until))
	})
}

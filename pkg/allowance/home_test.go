package allowance

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
)

// allLeasesHeld is a lease view that reports that this VM, a, holds every lease.
type allLeasesHeld struct{}

func (allLeasesHeld) Held(name string) (lease.Grant, bool) {
	return lease.Grant{Name: name, Fencing: 1}, true
}

func (allLeasesHeld) HolderOf(name string) (lease.Holder, bool) { return lease.Holder{VM: "a"}, true }

// otherVM is VM b of a fleet of two, whose reachability and usage the test sets. It is also the fleet and the caller of
// VM a.
type otherVM struct {
	mu        sync.Mutex
	silent    time.Duration
	reachable bool
	spent     int64
}

func (n *otherVM) set(silent time.Duration, reachable bool, spent int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent, n.reachable, n.spent = silent, reachable, spent
}

func (n *otherVM) Members() []membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return []membership.Member{{ID: "a"}, {ID: "b", Incarnation: "b1", PeerAddress: "b:1", SilentFor: n.silent}}
}

func (n *otherVM) Call(_ context.Context, _, _ string, _, reply any) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.reachable {
		return peer.ErrUnreachable
	}
	*reply.(*Request) = Request{VM: "b", Incarnation: "b1", Spent: []int64{n.spent}, Covers: time.Minute}
	return nil
}

// newHomeWithOtherVM returns the Home of VM a, which is the home of all accounts, in a fleet with VM b.
func newHomeWithOtherVM(ctx context.Context, b *otherVM) *Home {
	log, _ := test.NewNullLogger()
	home := NewHome(ctx, HomeConfig{
		Policy: testPolicy, Limits: func(string) (Limit, bool) { return testLimit, true },
		Leases: allLeasesHeld{}, Fleet: b, PeerClient: b, Log: log,
	})
	NewLimiter(ctx, LimiterConfig{Self: "a", Incarnation: "1", Policy: testPolicy, Home: home, Leases: allLeasesHeld{}, Fleet: b, Log: log})
	return home
}

// A VM that was unresponsive may have spent tokens without the home. When it responds again, its share must stay set
// aside until it has reported.
func TestUnresponsiveVMMustReportAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		b := &otherVM{reachable: true}
		home := newHomeWithOtherVM(ctx, b)
		time.Sleep(time.Minute)
		home.LeaseGained(lease.Grant{Name: lease.AccountPrefix + "x", Fencing: 1})
		time.Sleep(time.Second)
		settle := func() Reply {
			return home.Settle(Request{Account: "x", VM: "a", Incarnation: "1", Covers: time.Minute})
		}
		require.Zero(t, settle().Absent)

		b.set(2*unresponsiveAfter, false, 0)
		require.InDelta(t, 0.5, settle().Absent, 0.01)
		b.set(0, false, 0)
		require.InDelta(t, 0.5, settle().Absent, 0.01, "b has not reported")
		b.set(0, true, 7000)
		time.Sleep(time.Second)
		reply := settle()
		require.Zero(t, reply.Absent)
		require.InDelta(t, 7000, reply.Used, 1)
	})
}

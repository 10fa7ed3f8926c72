package orders

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/placement"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// newGroupService returns a service that owns engines e0, e1 and so on, and places by expected cost.
func newGroupService(ctx context.Context, engines int) *Service {
	r := roster.New()
	var list []roster.Endpoint
	for i := range engines {
		list = append(list, roster.Endpoint{Incarnation: roster.Incarnation{ID: fmt.Sprintf("e%d", i)}, Group: "g"})
	}
	r.Set(roster.NewView(list))
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s := NewService(ctx, Config{
		Self: "vm1", Leases: &fakeLeaseView{held: true}, Engines: &fakeEngines{loaded: map[string]time.Time{}}, Roster: r,
		Spec: func(string) (EngineSpec, bool) {
			return EngineSpec{AdapterSlots: 3, RequestSlots: 8, CacheTokens: 100_000, Model: "base", ModelLoad: time.Second}, true
		},
		Newest:     func(residency.Key) int { return 0 },
		Address:    func(string) (string, bool) { return "", false },
		PeerClient: unreachablePeers{}, MinOrderGap: 3 * time.Second, Started: time.Now(),
		Placement: placement.Cost, Metrics: metrics.NewRegistry(), Log: log,
	})
	for _, e := range list {
		s.LeaseGained(lease.Grant{Name: LeaseOf(e.ID), Fencing: 7})
	}
	return s
}

// Guards against refusals while other engines of the owner are idle: a reply that offers a wait must name the least
// loaded ones.
func TestOwnerNamesItsLeastLoadedEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newGroupService(ctx, 8)
		time.Sleep(time.Second)
		acquire := func(engine int, bound time.Duration) AcquireReply {
			var reply AcquireReply
			permit := uint64(time.Now().UnixNano())
			require.NoError(t, s.Acquire(&AcquireArgs{
				Caller: "vm2", Incarnation: "i", Permit: permit, Endpoint: fmt.Sprintf("e%d", engine), Model: "base", Tokens: 1000, Output: 10,
				Left: time.Second, Life: time.Minute, Bound: bound, LoadBound: time.Second, TotalBound: bound,
			}, &reply))
			time.Sleep(time.Millisecond)
			return reply
		}
		for engine := range 8 {
			for range engine {
				require.Equal(t, Granted, acquire(engine, time.Minute).Status)
			}
		}
		time.Sleep(spareTTL)
		reply := acquire(7, 10*time.Millisecond)
		require.Equal(t, Offered, reply.Status)
		require.Greater(t, reply.Estimate, reply.Own)
		require.Len(t, reply.Spares, spareCount)
		for i, spare := range reply.Spares {
			require.Equal(t, fmt.Sprintf("e%d", i), spare.Endpoint)
			require.InDelta(t, float64(i)*1000*30e3, spare.Queue, float64(i)*1000*6e3)
		}
		require.Empty(t, acquire(0, time.Minute).Spares, "not with a permit")
		cancel()
		time.Sleep(time.Minute)
	})
}

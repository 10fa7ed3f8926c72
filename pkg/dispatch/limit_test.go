package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/placement"
	"github.com/mallowlink/mallowlink/pkg/ratelimit"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// onlyVM is a fleet of one VM, the home of all endpoints.
type onlyVM struct{}

func (onlyVM) Held(string) (lease.Grant, bool)      { return lease.Grant{}, true }
func (onlyVM) HolderOf(string) (lease.Holder, bool) { return lease.Holder{VM: "vm"}, true }
func (onlyVM) Members() []membership.Member         { return nil }

// limited returns a limiter of a single VM that knows the limits of endpoints.
func limited(ctx context.Context, limits map[string]float64) *ratelimit.Limiter {
	l := ratelimit.New(ctx, ratelimit.Config{
		Self: "vm", Leases: onlyVM{}, LeaseOf: func(string) string { return "" }, Fleet: onlyVM{}, FleetSize: func() int { return 1 },
		Metrics: metrics.NewRegistry(), Log: discardLogger(),
	})
	for id, limit := range limits {
		l.Observe(roster.Incarnation{ID: id}, dialect.ResponseInfo{HasRateLimit: true, RateLimit: limit}, time.Now())
	}
	return l
}

func serviceDispatcher(l *ratelimit.Limiter, ids ...string) *Dispatcher {
	view := roster.New()
	view.Set(roster.NewView(endpoints(ids...)))
	return New(Config{
		Limits: l, Roster: view, FailureDomain: "here", Log: discardLogger(), Metrics: metrics.NewRegistry(),
		RosterAge: func() time.Duration { return 0 },
	})
}

// A request that an endpoint has no room for within its stated limit goes to another endpoint.
func TestRequestsBeyondALimitGoToOtherEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := serviceDispatcher(limited(t.Context(), map[string]float64{"a": 5}), "a", "b")
		placed := map[string]int{}
		for range 500 {
			placement, err := d.Place(t.Context(), gateway.Request{Group: bundle.Group{Name: "g"}})
			require.NoError(t, err)
			placement.Done(gateway.Outcome{})
			placed[placement.Endpoint.ID]++
			time.Sleep(10 * time.Millisecond)
		}
		require.InDelta(t, 25, placed["a"], 5, "5 a second for 5 s")
	})
}

// When all endpoints are at the limits that they state, requests are refused at once, as not run, and callers are asked
// to come back one after the other when there is room.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := serviceDispatcher(limited(t.Context(), map[string]float64{"a": 5, "b": 5}), "a", "b")
		var returns []time.Duration
		for range 18 {
			began := time.Now()
			_, err := d.Place(t.Context(), gateway.Request{Group: bundle.Group{Name: "g"}})
			require.Zero(t, time.Since(began))
			var refusal *result.Error
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, result.QueueFull, refusal.Code)
			require.Equal(t, result.NotRun, refusal.Outcome)
			returns = append(returns, refusal.RetryAfter)
		}
		for i := 2; i < len(returns); i++ {
			require.InDelta(t, 100*time.Millisecond, returns[i]-returns[i-1], float64(time.Millisecond))
		}
		require.LessOrEqual(t, returns[17], placement.MaxReturnDelay)
		// All of them come back at the time that they were given.
		served, begun := 0, time.Now()
		for _, after := range returns {
			time.Sleep(time.Until(begun.Add(after)))
			if placement, err := d.Place(t.Context(), gateway.Request{Group: bundle.Group{Name: "g"}}); err == nil {
				placement.Done(gateway.Outcome{})
				served++
			}
		}
		require.GreaterOrEqual(t, served, 15)
	})
}

// A request whose engines have no room within their stated limits goes to the next engine in rank, and gives back the
// permits that it has got for the others.
func TestRequestsBeyondALimitGoToOtherEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueueingEngines()
		view := roster.New()
		list := endpoints("e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7")
		view.Set(roster.NewView(list))
		ranked := ids(placement.RankHomes("m/a", list))
		d := New(Config{
			Limits: limited(t.Context(), map[string]float64{ranked[0]: 1, ranked[1]: 0, ranked[2]: 1}),
			Self:   "vm", Roster: view, Leases: q, PeerClient: q, Log: discardLogger(), Metrics: metrics.NewRegistry(),
			RosterAge: func() time.Duration { return 0 }, Newest: func(residency.Key) int { return 0 },
		})
		placed := map[string]int{}
		for i := range 40 {
			now := time.Now()
			placement, err := d.Place(t.Context(), gateway.Request{
				ID: fmt.Sprint(i), Group: bundle.Group{Name: "g", Engine: &bundle.Engine{}}, Route: bundle.Route{Objective: 600 * time.Millisecond},
				Terms: dialect.RequestInfo{Model: "m", Adapter: "a"}, Arrived: now, Deadline: now.Add(5 * time.Second),
			})
			require.NoError(t, err)
			placement.Done(gateway.Outcome{})
			placed[placement.Endpoint.ID]++
			time.Sleep(100 * time.Millisecond)
		}
		require.LessOrEqual(t, placed[ranked[0]], 5)
		require.LessOrEqual(t, placed[ranked[1]], 1)
		require.LessOrEqual(t, placed[ranked[2]], 5)
		require.Greater(t, placed[ranked[3]], 10)
	})
}

// An engine without a reachable owner keeps to its limit as well.
func TestRequestsWithoutOwnerKeepToLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &ownerlessEngines{version: 2, busy: map[string]int{}}
		d, homes := o.dispatcher("a", 2)
		o.loaded = map[string][]string{homes[1]: {"a"}}
		d.cfg.Limits = limited(t.Context(), map[string]float64{homes[1]: 4})
		placed, begun := 0, time.Now()
		for i := range 300 {
			if placement, err := d.Place(t.Context(), requestFor(fmt.Sprint(i), "a")); err == nil {
				placement.Done(gateway.Outcome{})
				placed++
			}
			time.Sleep(10 * time.Millisecond)
		}
		room := int(4 * time.Since(begun).Seconds())
		require.Greater(t, placed, room/2)
		require.LessOrEqual(t, placed, room+3)
	})
}

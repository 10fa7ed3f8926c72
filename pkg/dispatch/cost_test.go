package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/placement"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// busyEngines simulates engines that hold every adapter and are busy until a given time each, and the one VM that owns
// them.
type busyEngines struct {
	until map[string]time.Time
	calls int
}

func (*busyEngines) Held(string) (lease.Grant, bool) { return lease.Grant{}, false }

func (*busyEngines) HolderOf(string) (lease.Holder, bool) {
	return lease.Holder{VM: "owner", Address: "owner"}, true
}

func (b *busyEngines) queue(engine string) time.Duration { return max(time.Until(b.until[engine]), 0) }

func (b *busyEngines) Call(_ context.Context, _, method string, args, reply any) error {
	acquire, ok := args.(*orders.AcquireArgs)
	if !ok || method != orders.AcquireMethod {
		return errors.Errorf("no method %s", method)
	}
	b.calls++
	r := reply.(*orders.AcquireReply)
	*r = orders.AcquireReply{Status: orders.Offered, Estimate: b.queue(acquire.Endpoint) + serveTime, Own: serveTime, Run: 200 * time.Millisecond}
	if r.Estimate <= acquire.Bound && (acquire.TotalBound == 0 || r.Estimate <= acquire.TotalBound) {
		r.Status = orders.Granted
		return nil
	}
	for engine := range b.until {
		if b.queue(engine) == 0 && len(r.Spares) < 4 {
			r.Spares = append(r.Spares, orders.Spare{Endpoint: engine})
		}
	}
	return nil
}

// newCostDispatcher returns a dispatcher by expected cost for the engines, all of which are busy for that long.
func newCostDispatcher(engines int, busy time.Duration) (*Dispatcher, *busyEngines) {
	b := &busyEngines{until: map[string]time.Time{}}
	var list []roster.Endpoint
	for i := range engines {
		id := fmt.Sprintf("e%02d", i)
		list = append(list, roster.Endpoint{Incarnation: roster.Incarnation{ID: id}, Group: "g"})
		b.until[id] = time.Now().Add(busy)
	}
	view := roster.New()
	view.Set(roster.NewView(list))
	return New(Config{
		Limits: noLimits(), Self: "vm", Roster: view, Leases: b, PeerClient: b, Log: discardLogger(), Placement: placement.Cost,
		RosterAge: func() time.Duration { return 0 }, Newest: func(residency.Key) int { return 0 },
	}), b
}

func costRequest(urgency int, limit time.Duration) gateway.Request {
	now := time.Now()
	return gateway.Request{
		ID: "r", Group: bundle.Group{Name: "g", Engine: &bundle.Engine{}}, Route: bundle.Route{Objective: time.Second},
		Terms: dialect.RequestInfo{Model: "m", Adapter: "a"}, Urgency: urgency, Arrived: now, Deadline: now.Add(limit),
	}
}

// Guards against refusals by busy homes while another engine is idle.
func TestBusyHomesSendRequestsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, b := newCostDispatcher(24, time.Minute)
		list := d.cfg.Roster.View().Group("g")
		idle := placement.RankHomes("m/a", list)[15].ID
		b.until[idle] = time.Now()
		for urgency := range 3 {
			p, err := d.Place(t.Context(), costRequest(urgency, 10*time.Second))
			require.NoError(t, err)
			require.Equal(t, idle, p.Endpoint.ID)
		}
		require.LessOrEqual(t, b.calls, 3*5, "calls to owners: three homes, a further home and the engine named")
	})
}

// Guards against refusals of the most urgent requests, whose time limit is long, and against less urgent ones waiting as
// long. A request that waits must not flood the owners with calls.
func TestMostUrgentRequestsWaitForAnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, b := newCostDispatcher(24, 4*time.Second)
		_, err := d.Place(t.Context(), costRequest(1, 10*time.Second))
		var refusal *result.Error
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, result.QueueFull, refusal.Code)
		require.Greater(t, refusal.RetryAfter, time.Second, "not before there is capacity")
		b.calls = 0
		began := time.Now()
		_, err = d.Place(t.Context(), costRequest(0, 10*time.Second))
		require.NoError(t, err)
		require.InDelta(t, 3.7, time.Since(began).Seconds(), 0.5)
		require.Less(t, b.calls, 40)
		require.Zero(t, d.costs.Admission.Held())
	})
}

// A caller that leaves ends the wait of its request.
func TestWaitEndsWithItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := newCostDispatcher(24, time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		began := time.Now()
		_, err := d.Place(ctx, costRequest(0, 20*time.Second))
		require.Error(t, err)
		require.InDelta(t, 2, time.Since(began).Seconds(), 0.1)
		require.Zero(t, d.costs.Admission.Held())
	})
}

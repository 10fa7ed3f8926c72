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
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// serveTime is how long an engine of the test takes for one request.
	serveTime = 50 * time.Millisecond
	// loadTime is how long an engine takes to load an adapter.
	loadTime = 250 * time.Millisecond
)

// queueingEngines simulates engines that serve one request at a time, together with their owners: each engine
// has an owner VM of its own. The maps are by engine.
type queueingEngines struct {
	freeAt   map[string]time.Time
	loadedAt map[string]time.Time
	served   map[string]int
}

func newQueueingEngines() *queueingEngines {
	return &queueingEngines{freeAt: map[string]time.Time{}, loadedAt: map[string]time.Time{}, served: map[string]int{}}
}

func (q *queueingEngines) Held(string) (lease.Grant, bool) { return lease.Grant{}, false }

func (q *queueingEngines) HolderOf(name string) (lease.Holder, bool) {
	return lease.Holder{VM: name, Address: name}, true
}

func (q *queueingEngines) Call(_ context.Context, _, method string, args, reply any) error {
	acquire, ok := args.(*orders.AcquireArgs)
	if !ok || method != orders.AcquireMethod {
		return errors.Errorf("no method %s", method)
	}
	acquireReply := reply.(*orders.AcquireReply)
	now := time.Now()
	e := acquire.Endpoint
	if q.loadedAt[e].IsZero() || acquire.Prefetch {
		q.loadedAt[e] = now.Add(loadTime)
	}
	delay := max(q.loadedAt[e].Sub(now), 0)
	queue := max(q.freeAt[e].Sub(now), 0)
	*acquireReply = orders.AcquireReply{Status: orders.Offered, Estimate: queue + serveTime, Own: serveTime, Delay: delay}
	if acquire.Prefetch || acquireReply.Estimate > acquire.Bound || delay > acquire.LoadBound {
		return nil
	}
	q.freeAt[e] = now.Add(max(queue, delay) + serveTime)
	q.served[e]++
	acquireReply.Status = orders.Granted
	return nil
}

// Guards against refusals of requests for a popular adapter while other engines are idle: the adapter is
// requested far more often than its default homes can serve, so it must get extra homes.
func TestPopularAdapterGetsExtraHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const engines, rate, seconds = 24, 160, 10
		q := newQueueingEngines()
		view := roster.New()
		var list []roster.Endpoint
		for i := range engines {
			list = append(list, roster.Endpoint{Incarnation: roster.Incarnation{ID: fmt.Sprintf("e%02d", i)}, Group: "g"})
		}
		view.Set(roster.NewView(list))
		d := New(Config{
			Limits: noLimits(),
			Self:   "vm", Roster: view, Leases: q, PeerClient: q, Log: discardLogger(),
			RosterAge: func() time.Duration { return 0 }, Newest: func(residency.Key) int { return 0 },
		})
		refused, lateRefusals := 0, 0
		for i := range rate * seconds {
			time.Sleep(time.Second / rate)
			now := time.Now()
			_, err := d.Place(t.Context(), gateway.Request{
				ID: fmt.Sprint(i), Group: bundle.Group{Name: "g", Engine: &bundle.Engine{}},
				Route:   bundle.Route{Objective: 600 * time.Millisecond},
				Terms:   dialect.RequestInfo{Model: "m", Adapter: "a"},
				Arrived: now, Deadline: now.Add(5 * time.Second),
			})
			if err != nil {
				refused++
				if i > rate*seconds/2 {
					lateRefusals++
				}
			}
		}
		require.Less(t, refused, rate*seconds/20, "of %d", rate*seconds)
		require.Zero(t, lateRefusals, "refused after the extra homes have been added")
		require.GreaterOrEqual(t, len(q.served), int(rate*serveTime.Seconds()))
	})
}

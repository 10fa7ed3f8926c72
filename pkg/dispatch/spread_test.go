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
	// serveTime is how long an engine of the test is busy with one request.
	serveTime = 50 * time.Millisecond
	// loadTime is how long it takes to load an adapter.
	loadTime = 250 * time.Millisecond
)

// queues are engines that serve one request after the other, and their owners: each VM of the test stands for
// an engine, whose name is its address.
type queues struct {
	free   map[string]time.Time
	loaded map[string]time.Time
	served map[string]int
}

func newQueues() *queues {
	return &queues{free: map[string]time.Time{}, loaded: map[string]time.Time{}, served: map[string]int{}}
}

func (q *queues) Held(string) (lease.Grant, bool) { return lease.Grant{}, false }

func (q *queues) HolderOf(name string) (lease.Holder, bool) {
	return lease.Holder{VM: name, Address: name}, true
}

func (q *queues) Call(_ context.Context, _, method string, args, reply any) error {
	acquire, ok := args.(*orders.AcquireArgs)
	if !ok || method != orders.AcquireMethod {
		return errors.Errorf("no method %s", method)
	}
	answer := reply.(*orders.AcquireReply)
	now := time.Now()
	e := acquire.Endpoint
	if q.loaded[e].IsZero() || acquire.Prefetch {
		q.loaded[e] = now.Add(loadTime)
	}
	delay := max(q.loaded[e].Sub(now), 0)
	queue := max(q.free[e].Sub(now), 0)
	*answer = orders.AcquireReply{Status: orders.Offered, Estimate: queue + serveTime, Own: serveTime, Delay: delay}
	if acquire.Prefetch || answer.Estimate > acquire.Bound || delay > acquire.LoadBound {
		return nil
	}
	q.free[e] = now.Add(max(queue, delay) + serveTime)
	q.served[e]++
	answer.Status = orders.Granted
	return nil
}

// One adapter is asked for far more often than its usual homes can serve, while other engines are idle: it
// gets as many homes as it needs, and nearly no request is refused.
func TestAnAdapterAskedForByMostSpreadsOverTheEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const engines, rate, seconds = 24, 160, 10
		q := newQueues()
		view := roster.New()
		var list []roster.Endpoint
		for i := range engines {
			list = append(list, roster.Endpoint{Incarnation: roster.Incarnation{ID: fmt.Sprintf("e%02d", i)}, Group: "g"})
		}
		view.Set(roster.NewView(list))
		d := New(Config{
			Self: "vm", Roster: view, Leases: q, Caller: q, Log: quiet(),
			RosterAge: func() time.Duration { return 0 }, Newest: func(residency.Key) int { return 0 },
		})
		refused, late := 0, 0
		for i := range rate * seconds {
			time.Sleep(time.Second / rate)
			now := time.Now()
			_, err := d.Place(t.Context(), gateway.Work{
				ID: fmt.Sprint(i), Group: bundle.Group{Name: "g", Engine: &bundle.Engine{}},
				Route:   bundle.Route{Objective: 600 * time.Millisecond},
				Terms:   dialect.Terms{Model: "m", Adapter: "a"},
				Arrived: now, Deadline: now.Add(5 * time.Second),
			})
			if err != nil {
				refused++
				if i > rate*seconds/2 {
					late++
				}
			}
		}
		require.Less(t, refused, rate*seconds/20, "of %d", rate*seconds)
		require.Zero(t, late, "once the homes have been added")
		require.GreaterOrEqual(t, len(q.served), int(rate*serveTime.Seconds()))
	})
}

func TestFurtherHomesGoWhenTheyAreNotNeeded(t *testing.T) {
	s := newSpreads()
	require.Equal(t, homes, s.width("a", start))
	for range 8 {
		s.grow("a", start)
	}
	require.Equal(t, homes+8, s.width("a", start))
	require.Equal(t, homes, s.width("b", start))
	require.Equal(t, homes+4, s.width("a", start.Add(spreadHalfLife)))
	s.sweep(start.Add(10 * spreadHalfLife))
	require.Empty(t, s.extra)
	require.Equal(t, homes, s.width("a", start.Add(10*spreadHalfLife)))
}

// Requests of one session ask the same homes, those of different sessions different ones.
func TestSessionsKeepTheirHomes(t *testing.T) {
	ranked := endpoints("a", "b", "c", "d", "e", "f", "g", "h")
	session := func(id string) gateway.Work {
		return gateway.Work{Terms: dialect.Terms{Prompt: []dialect.PromptPart{{ID: "shared"}, {ID: id}}}}
	}
	first := map[string]bool{}
	for i := range 40 {
		w := session(fmt.Sprint(i))
		require.Equal(t, ids(chooseHomes(w, ranked, 8)), ids(chooseHomes(w, ranked, 8)))
		first[chooseHomes(w, ranked, 8)[0].ID] = true
	}
	require.Len(t, first, 8)
	require.Equal(t, []string{"a", "b", "c"}, ids(chooseHomes(session("x"), ranked, homes)))
	require.Equal(t, []string{"a", "b"}, ids(chooseHomes(session("x"), ranked[:2], 8)))
}

// A long prompt alone takes longer than its objective. It is served late by an engine with nothing else to do,
// and refused where others are waiting.
func TestALongPromptIsServedLateWhileEnginesAreIdle(t *testing.T) {
	s := &search{
		w:         gateway.Work{Arrived: time.Now(), Urgency: 2},
		objective: 800 * time.Millisecond,
		giveUp:    time.Now().Add(time.Hour),
	}
	long := offer{estimate: 1100 * time.Millisecond, queue: 40 * time.Millisecond, delay: 250 * time.Millisecond}
	require.True(t, s.lateByItself(long))
	long.queue = 500 * time.Millisecond
	require.False(t, s.lateByItself(long))
	long.queue, long.delay = 40*time.Millisecond, 700*time.Millisecond
	require.False(t, s.lateByItself(long), "others wait for their adapters")
	long.delay, s.giveUp = 250*time.Millisecond, time.Now().Add(time.Second)
	require.False(t, s.lateByItself(long), "its time ends first")
}

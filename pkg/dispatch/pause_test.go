package dispatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// newPauses returns conditions of endpoints whose VMs all come back at the same moment, or after luck.
func newPauses(luck float64) *conditions {
	s := newConditions(metrics.NewRegistry(), quiet())
	s.luck = func() float64 { return luck }
	return s
}

// reject sends a request to an endpoint, which turns it away and asks for a pause.
func (s *conditions) reject(id string, pause time.Duration, now time.Time) {
	inc := roster.Incarnation{ID: id}
	s.done(inc, gateway.Outcome{Rejected: true, Pause: pause}, s.sent(inc, now, 0), now)
}

func (s *conditions) open(now time.Time) []string {
	return ids(s.candidates(endpoints("a", "b"), nil, now))
}

// An endpoint that has asked for a pause gets no request until it is over, also if it is the only one left.
func TestEndpointsThatAskForAPauseGetNoRequests(t *testing.T) {
	s := newPauses(0)
	s.reject("a", 2*time.Second, start)
	require.Equal(t, []string{"b"}, s.open(start))
	s.reject("b", 3*time.Second, start)
	s.reject("a", time.Second, start)
	require.Empty(t, s.open(start.Add(1900*time.Millisecond)), "a shorter pause does not end a longer one")
	require.Equal(t, start.Add(2*time.Second), s.pausedUntil(endpoints("a", "b"), start))
	require.Equal(t, []string{"a"}, s.open(start.Add(2*time.Second)))
	require.Equal(t, []string{"a", "b"}, s.open(start.Add(3*time.Second)))
	s.reject("a", time.Hour, start)
	s.sweep(start.Add(30 * time.Minute))
	require.NotContains(t, s.open(start.Add(30*time.Minute)), "a")
	later := endpoints("a")
	later[0].Started = 1
	require.Len(t, s.candidates(later, nil, start.Add(time.Minute)), 1, "its next run has not asked")
}

// After a pause an endpoint gets one request at a time until it takes one, whatever still runs there from before, and
// VMs come back at different moments.
func TestPausesDoNotEndInAStampede(t *testing.T) {
	s := newPauses(0)
	a := roster.Incarnation{ID: "a"}
	old := s.sent(a, start, 0)
	s.reject("a", time.Second, start)
	over := start.Add(time.Second)
	s.get(a).alive(over)
	require.Equal(t, []string{"a", "b"}, s.open(over))
	trial := s.sent(a, over, 0)
	require.True(t, trial)
	require.Equal(t, []string{"b"}, s.open(over.Add(time.Millisecond)))
	s.done(a, gateway.Outcome{}, old, over)
	require.Equal(t, []string{"b"}, s.open(over), "an older request says nothing")
	s.done(a, gateway.Outcome{Cut: true}, trial, over)
	require.Equal(t, []string{"a", "b"}, s.open(over))
	require.True(t, s.sent(a, over, 0), "the caller of the first one has left")
	s.done(a, gateway.Outcome{}, true, over)
	require.False(t, s.sent(a, over, 0))
	require.Equal(t, []string{"a", "b"}, s.open(over))

	for luck, until := range map[float64]time.Duration{0: 2 * time.Second, 0.5: 2250 * time.Millisecond, 1: 2500 * time.Millisecond} {
		s = newPauses(luck)
		s.reject("a", 2*time.Second, start)
		require.Equal(t, start.Add(until), s.pausedUntil(endpoints("a"), start))
	}
	s = newPauses(1)
	s.reject("a", time.Minute, start)
	require.Equal(t, start.Add(time.Minute+maxPauseSpread), s.pausedUntil(endpoints("a"), start))
}

// When every endpoint has asked for a pause, a request is refused at once, with when the first one is over.
func TestRequestsAreRefusedWhileAllEndpointsPause(t *testing.T) {
	r := roster.New()
	list := endpoints("a", "b")
	r.Set(roster.NewView(list))
	d := New(Config{Roster: r, Log: quiet(), Metrics: metrics.NewRegistry(), RosterAge: func() time.Duration { return 0 }})
	d.conditions.luck = func() float64 { return 0 }
	work := gateway.Work{Group: bundle.Group{Name: "g"}}
	for _, pause := range []time.Duration{20 * time.Second, 10 * time.Second} {
		place, err := d.Place(context.Background(), work)
		require.NoError(t, err)
		place.Done(gateway.Outcome{Rejected: true, Pause: pause})
	}
	_, err := d.Place(context.Background(), work)
	var refusal *result.Error
	require.True(t, errors.As(err, &refusal))
	require.Equal(t, result.QueueFull, refusal.Code)
	require.Equal(t, result.NotRun, refusal.Outcome)
	require.InDelta(t, 10, refusal.RetryAfter.Seconds(), 1)
}

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

// newJitteredTracker returns a healthTracker with fixed jitter: with 0, all VMs return at the very end of a
// pause.
func newJitteredTracker(jitter float64) *healthTracker {
	s := newHealthTracker(metrics.NewRegistry(), discardLogger())
	s.jitter = func() float64 { return jitter }
	return s
}

// reject simulates a request that the endpoint rejects, asking for a pause.
func (s *healthTracker) reject(id string, pause time.Duration, now time.Time) {
	inc := roster.Incarnation{ID: id}
	s.requestDone(inc, gateway.Outcome{Rejected: true, Pause: pause}, s.requestSent(inc, now, 0), now)
}

// open returns which of the endpoints a and b may get requests.
func (s *healthTracker) open(now time.Time) []string {
	return ids(s.candidates(endpoints("a", "b"), nil, now))
}

// An endpoint that has asked for a pause gets no request until the pause is over, even if it is the only one
// left.
func TestPausedEndpointsGetNoRequests(t *testing.T) {
	s := newJitteredTracker(0)
	s.reject("a", 2*time.Second, start)
	require.Equal(t, []string{"b"}, s.open(start))
	s.reject("b", 3*time.Second, start)
	s.reject("a", time.Second, start)
	require.Empty(t, s.open(start.Add(1900*time.Millisecond)), "a shorter pause must not end a longer one")
	require.Equal(t, start.Add(2*time.Second), s.earliestPauseEnd(endpoints("a", "b"), start))
	require.Equal(t, []string{"a"}, s.open(start.Add(2*time.Second)))
	require.Equal(t, []string{"a", "b"}, s.open(start.Add(3*time.Second)))
	s.reject("a", time.Hour, start)
	s.sweep(start.Add(30 * time.Minute))
	require.NotContains(t, s.open(start.Add(30*time.Minute)), "a")
	later := endpoints("a")
	later[0].Started = 1
	require.Len(t, s.candidates(later, nil, start.Add(time.Minute)), 1, "the next incarnation has not asked for a pause")
}

// After a pause an endpoint must not be flooded by all VMs at once: it gets one request at a time until it has
// accepted one, whatever older requests still run there, and the VMs return at different moments.
func TestPauseEndDoesNotCauseStampede(t *testing.T) {
	s := newJitteredTracker(0)
	a := roster.Incarnation{ID: "a"}
	earlier := s.requestSent(a, start, 0)
	s.reject("a", time.Second, start)
	over := start.Add(time.Second)
	s.get(a).recordActivity(over)
	require.Equal(t, []string{"a", "b"}, s.open(over))
	trial := s.requestSent(a, over, 0)
	require.True(t, trial)
	require.Equal(t, []string{"b"}, s.open(over.Add(time.Millisecond)))
	s.requestDone(a, gateway.Outcome{}, earlier, over)
	require.Equal(t, []string{"b"}, s.open(over), "a request from before the pause must not end the trial")
	s.requestDone(a, gateway.Outcome{Canceled: true}, trial, over)
	require.Equal(t, []string{"a", "b"}, s.open(over))
	require.True(t, s.requestSent(a, over, 0), "the first trial request was canceled by its caller")
	s.requestDone(a, gateway.Outcome{}, true, over)
	require.False(t, s.requestSent(a, over, 0))
	require.Equal(t, []string{"a", "b"}, s.open(over))

	for jitter, until := range map[float64]time.Duration{0: 2 * time.Second, 0.5: 2250 * time.Millisecond, 1: 2500 * time.Millisecond} {
		s = newJitteredTracker(jitter)
		s.reject("a", 2*time.Second, start)
		require.Equal(t, start.Add(until), s.earliestPauseEnd(endpoints("a"), start))
	}
	s = newJitteredTracker(1)
	s.reject("a", time.Minute, start)
	require.Equal(t, start.Add(time.Minute+maxPauseJitter), s.earliestPauseEnd(endpoints("a"), start))
}

// When every endpoint has asked for a pause, a request is refused at once, and Retry-After is the end of the
// first pause.
func TestRequestsAreRefusedWhileAllEndpointsPause(t *testing.T) {
	r := roster.New()
	list := endpoints("a", "b")
	r.Set(roster.NewView(list))
	d := New(Config{Limits: noLimits(), Roster: r, Log: discardLogger(), Metrics: metrics.NewRegistry(), RosterAge: func() time.Duration { return 0 }})
	d.health.jitter = func() float64 { return 0 }
	req := gateway.Request{Group: bundle.Group{Name: "g"}}
	for _, pause := range []time.Duration{20 * time.Second, 10 * time.Second} {
		placement, err := d.Place(context.Background(), req)
		require.NoError(t, err)
		placement.Done(gateway.Outcome{Rejected: true, Pause: pause})
	}
	_, err := d.Place(context.Background(), req)
	var refusal *result.Error
	require.True(t, errors.As(err, &refusal))
	require.Equal(t, result.QueueFull, refusal.Code)
	require.Equal(t, result.NotRun, refusal.Outcome)
	require.InDelta(t, 10, refusal.RetryAfter.Seconds(), 1)
}

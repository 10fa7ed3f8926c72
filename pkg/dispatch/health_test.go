package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/ratelimit"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

var start = time.Unix(1_700_000_000, 0)

func endpoints(ids ...string) []roster.Endpoint {
	list := make([]roster.Endpoint, len(ids))
	for i, id := range ids {
		list[i] = roster.Endpoint{Incarnation: roster.Incarnation{ID: id}, Group: "g", FailureDomain: "here"}
	}
	return list
}

func ids(list []roster.Endpoint) []string {
	names := make([]string, len(list))
	for i, e := range list {
		names[i] = e.ID
	}
	return names
}

func discardLogger() logrus.FieldLogger {
	log, _ := test.NewNullLogger()
	return log
}

// noLimits returns a limiter of endpoints that state no limits.
func noLimits() *ratelimit.Limiter {
	return ratelimit.New(context.Background(), ratelimit.Config{Metrics: metrics.NewRegistry(), Log: discardLogger()})
}

// The log says when and why an endpoint is avoided, and when it is used again.
func TestHealthChangesAreLogged(t *testing.T) {
	log, hook := test.NewNullLogger()
	s := newHealthTracker(metrics.NewRegistry(), log)
	for range 4 {
		s.simulate("a", gateway.Outcome{Failed: true}, start)
	}
	for range 3 {
		s.candidates(endpoints("a", "b"), nil, start)
	}
	require.Len(t, hook.Entries, 1)
	require.Equal(t, "endpoint_avoided", hook.LastEntry().Data["event"])
	require.Equal(t, reasonFailing, hook.LastEntry().Data["why"])
	s.candidates(endpoints("a", "b"), nil, start.Add(10*time.Second))
	require.Equal(t, "endpoint_fit", hook.LastEntry().Data["event"])
	require.Len(t, hook.Entries, 2)
}

// simulate simulates one request to an endpoint with the given outcome.
func (s *healthTracker) simulate(id string, o gateway.Outcome, now time.Time) {
	c := s.get(roster.Incarnation{ID: id})
	c.requestSent(now, 0)
	c.requestEnded(o, now)
}

// Endpoints that fail requests although their health checks pass are avoided, and tried again later.
func TestFailingEndpointsAreAvoided(t *testing.T) {
	s := newHealthTracker(metrics.NewRegistry(), discardLogger())
	for range 4 {
		s.simulate("a", gateway.Outcome{Failed: true}, start)
		s.simulate("b", gateway.Outcome{FirstByte: 10 * time.Millisecond}, start)
	}
	require.Equal(t, []string{"b"}, ids(s.candidates(endpoints("a", "b"), nil, start)))
	require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, start.Add(10*time.Second))))
}

// When all endpoints fail, none is avoided.
func TestNoneIsAvoidedWhenAllEndpointsFail(t *testing.T) {
	s := newHealthTracker(metrics.NewRegistry(), discardLogger())
	for range 4 {
		s.simulate("a", gateway.Outcome{Failed: true}, start)
		s.simulate("b", gateway.Outcome{Failed: true}, start)
	}
	require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, start)))
}

func TestUnreachableEndpointIsRetriedAfterBackoff(t *testing.T) {
	s := newHealthTracker(metrics.NewRegistry(), discardLogger())
	s.simulate("a", gateway.Outcome{Unreachable: true}, start)
	require.Equal(t, []string{"b"}, ids(s.candidates(endpoints("a", "b"), nil, start)))
	soon := start.Add(initialBackoff)
	require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, soon)))
	s.simulate("a", gateway.Outcome{Unreachable: true}, soon)
	require.Equal(t, []string{"b"}, ids(s.candidates(endpoints("a", "b"), nil, soon.Add(initialBackoff))))
	s.simulate("a", gateway.Outcome{}, soon)
	require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, soon)))
}

// An endpoint that has outstanding requests but sends nothing is avoided until it sends again.
func TestUnresponsiveEndpointIsAvoided(t *testing.T) {
	s := newHealthTracker(metrics.NewRegistry(), discardLogger())
	c := s.get(roster.Incarnation{ID: "a"})
	c.requestSent(start, 0)
	late := start.Add(unresponsiveAfter + time.Millisecond)
	require.Equal(t, []string{"b"}, ids(s.candidates(endpoints("a", "b"), nil, late)))
	c.recordActivity(late)
	require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, late)))
}

// A single request at an engine waits in a queue of known length, and its response is a long stream. The engine
// must not count as unresponsive as long as the response begins about when it is due and further parts keep
// arriving.
func TestLongResponseIsNotUnresponsive(t *testing.T) {
	const queue = 500 * time.Millisecond
	s := newHealthTracker(metrics.NewRegistry(), discardLogger())
	c := s.get(roster.Incarnation{ID: "a"})
	c.requestSent(start, queue)
	now := start.Add(queue + unresponsiveAfter)
	require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, now)))
	for range 20 {
		c.recordActivity(now)
		now = now.Add(unresponsiveAfter / 2)
		require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, now)))
	}
	now = now.Add(unresponsiveAfter)
	require.Equal(t, []string{"b"}, ids(s.candidates(endpoints("a", "b"), nil, now)), "the stream has stopped")
}

// The progress callback of a placement records activity of the endpoint.
func TestPlacementRecordsProgress(t *testing.T) {
	d := New(Config{Log: discardLogger(), Limits: noLimits()})
	e := endpoints("a")[0]
	placement := d.newPlacement(e, 0, 0, func(orders.PermitUpdate) {})
	d.health.get(e.Incarnation).lastActivity = time.Now().Add(-2 * unresponsiveAfter)
	require.Equal(t, reasonUnresponsive, d.HealthStatus(e.Incarnation).Avoided)
	placement.Progress()
	require.Empty(t, d.HealthStatus(e.Incarnation).Avoided)
}

func TestDrainingAndExcludedEndpointsAreLeftOut(t *testing.T) {
	s := newHealthTracker(metrics.NewRegistry(), discardLogger())
	list := endpoints("a", "b", "c")
	list[0].Draining = true
	require.Equal(t, []string{"c"}, ids(s.candidates(list, []string{"b"}, start)))
	require.Empty(t, s.candidates(list[:2], []string{"b"}, start))
}

// Requests are spread by expected latency: slower endpoints and those with more requests get fewer.
func TestServiceRequestsSpreadByExpectedLatency(t *testing.T) {
	s := newHealthTracker(metrics.NewRegistry(), discardLogger())
	list := endpoints("fast", "slow")
	s.simulate("fast", gateway.Outcome{FirstByte: 10 * time.Millisecond}, start)
	s.simulate("slow", gateway.Outcome{FirstByte: 40 * time.Millisecond}, start)
	counts := map[string]int{}
	for range 10 {
		e, _ := s.pickService(list, "here", func(int) int { return 0 })
		s.get(e.Incarnation).requestSent(start, 0)
		counts[e.ID]++
	}
	require.Equal(t, map[string]int{"fast": 8, "slow": 2}, counts)
}

func TestServicePrefersOwnFailureDomain(t *testing.T) {
	s := newHealthTracker(metrics.NewRegistry(), discardLogger())
	list := endpoints("far", "near")
	list[0].FailureDomain = "there"
	picked, _ := s.pickService(list, "here", func(int) int { return 0 })
	require.Equal(t, "near", picked.ID)
	s.get(list[1].Incarnation).requestSent(start, 0)
	picked, _ = s.pickService(list, "here", func(int) int { return 0 })
	require.Equal(t, "far", picked.ID)
}

func TestSweepDiscardsUnusedEndpoints(t *testing.T) {
	s := newHealthTracker(metrics.NewRegistry(), discardLogger())
	s.simulate("a", gateway.Outcome{}, start)
	s.get(roster.Incarnation{ID: "b"}).requestSent(start, 0)
	s.sweep(start.Add(2 * healthRetention))
	require.Len(t, s.endpoints, 1, "b still has a request")
}

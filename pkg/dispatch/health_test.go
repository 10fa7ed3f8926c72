package dispatch

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/orders"
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

func quiet() logrus.FieldLogger {
	log, _ := test.NewNullLogger()
	return log
}

// The log says when and why an endpoint is avoided, and when it no longer is.
func TestConditionsAreLoggedWhenTheyChange(t *testing.T) {
	log, lines := test.NewNullLogger()
	s := newConditions(metrics.NewRegistry(), log)
	for range 4 {
		s.play("a", gateway.Outcome{Failed: true}, start)
	}
	for range 3 {
		s.candidates(endpoints("a", "b"), nil, start)
	}
	require.Len(t, lines.Entries, 1)
	require.Equal(t, "endpoint_avoided", lines.LastEntry().Data["event"])
	require.Equal(t, failing, lines.LastEntry().Data["why"])
	s.candidates(endpoints("a", "b"), nil, start.Add(10*time.Second))
	require.Equal(t, "endpoint_fit", lines.LastEntry().Data["event"])
	require.Len(t, lines.Entries, 2)
}

// play sends one request to an endpoint and notes its outcome.
func (s *conditions) play(id string, o gateway.Outcome, now time.Time) {
	c := s.get(roster.Incarnation{ID: id})
	c.sent(now, 0)
	c.ended(o, now)
}

// Endpoints that fail requests while their health is good are avoided, and tried again later.
func TestFailingEndpointsAreAvoided(t *testing.T) {
	s := newConditions(metrics.NewRegistry(), quiet())
	for range 4 {
		s.play("a", gateway.Outcome{Failed: true}, start)
		s.play("b", gateway.Outcome{First: 10 * time.Millisecond}, start)
	}
	require.Equal(t, []string{"b"}, ids(s.candidates(endpoints("a", "b"), nil, start)))
	require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, start.Add(10*time.Second))))
}

// When all endpoints fail, none is avoided.
func TestAllEndpointsFail(t *testing.T) {
	s := newConditions(metrics.NewRegistry(), quiet())
	for range 4 {
		s.play("a", gateway.Outcome{Failed: true}, start)
		s.play("b", gateway.Outcome{Failed: true}, start)
	}
	require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, start)))
}

func TestAnUnreachableEndpointIsTriedAgainAfterABackoff(t *testing.T) {
	s := newConditions(metrics.NewRegistry(), quiet())
	s.play("a", gateway.Outcome{Unreachable: true}, start)
	require.Equal(t, []string{"b"}, ids(s.candidates(endpoints("a", "b"), nil, start)))
	soon := start.Add(firstBackoff)
	require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, soon)))
	s.play("a", gateway.Outcome{Unreachable: true}, soon)
	require.Equal(t, []string{"b"}, ids(s.candidates(endpoints("a", "b"), nil, soon.Add(firstBackoff))))
	s.play("a", gateway.Outcome{}, soon)
	require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, soon)))
}

// An endpoint that has requests and sends nothing for a while is avoided until it sends again.
func TestASilentEndpointIsAvoided(t *testing.T) {
	s := newConditions(metrics.NewRegistry(), quiet())
	c := s.get(roster.Incarnation{ID: "a"})
	c.sent(start, 0)
	late := start.Add(silence + time.Millisecond)
	require.Equal(t, []string{"b"}, ids(s.candidates(endpoints("a", "b"), nil, late)))
	c.alive(late)
	require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, late)))
}

// One request at an engine: its queue is known to be long, and its answer is a long stream. Neither makes the
// engine silent as long as the answer begins about when it is due and its parts keep coming.
func TestALongAnswerIsNoSilence(t *testing.T) {
	const queue = 500 * time.Millisecond
	s := newConditions(metrics.NewRegistry(), quiet())
	c := s.get(roster.Incarnation{ID: "a"})
	c.sent(start, queue)
	now := start.Add(queue + silence)
	require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, now)))
	for range 20 {
		c.alive(now)
		now = now.Add(silence / 2)
		require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, now)))
	}
	now = now.Add(silence)
	require.Equal(t, []string{"b"}, ids(s.candidates(endpoints("a", "b"), nil, now)), "the stream has stopped")
}

// The place that a request gets tells the dispatcher that its answer goes on.
func TestAPlacePassesProgressOn(t *testing.T) {
	d := New(Config{Log: quiet()})
	e := endpoints("a")[0]
	place := d.place(e, 0, 0, func(orders.Notice) {})
	d.conditions.get(e.Incarnation).quietSince = time.Now().Add(-2 * silence)
	require.Equal(t, silent, d.Condition(e.Incarnation).Avoided)
	place.Progress()
	require.Empty(t, d.Condition(e.Incarnation).Avoided)
}

func TestLeavingAndExcludedEndpointsAreLeftOut(t *testing.T) {
	s := newConditions(metrics.NewRegistry(), quiet())
	list := endpoints("a", "b", "c")
	list[0].Draining = true
	require.Equal(t, []string{"c"}, ids(s.candidates(list, []string{"b"}, start)))
	require.Empty(t, s.candidates(list[:2], []string{"b"}, start))
}

// The work spreads by expected time: slower endpoints and those with more requests get fewer.
func TestServiceSpreadsByExpectedTime(t *testing.T) {
	s := newConditions(metrics.NewRegistry(), quiet())
	list := endpoints("fast", "slow")
	s.play("fast", gateway.Outcome{First: 10 * time.Millisecond}, start)
	s.play("slow", gateway.Outcome{First: 40 * time.Millisecond}, start)
	counts := map[string]int{}
	for range 10 {
		e, _ := s.pickService(list, "here", func(int) int { return 0 })
		s.get(e.Incarnation).sent(start, 0)
		counts[e.ID]++
	}
	require.Equal(t, map[string]int{"fast": 8, "slow": 2}, counts)
}

func TestServicePrefersItsFailureDomain(t *testing.T) {
	s := newConditions(metrics.NewRegistry(), quiet())
	list := endpoints("far", "near")
	list[0].FailureDomain = "there"
	picked, _ := s.pickService(list, "here", func(int) int { return 0 })
	require.Equal(t, "near", picked.ID)
	s.get(list[1].Incarnation).sent(start, 0)
	picked, _ = s.pickService(list, "here", func(int) int { return 0 })
	require.Equal(t, "far", picked.ID)
}

func TestSweepForgets(t *testing.T) {
	s := newConditions(metrics.NewRegistry(), quiet())
	s.play("a", gateway.Outcome{}, start)
	s.get(roster.Incarnation{ID: "b"}).sent(start, 0)
	s.sweep(start.Add(2 * forgetAfter))
	require.Len(t, s.list, 1, "b still has a request")
}

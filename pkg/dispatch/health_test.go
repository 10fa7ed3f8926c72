package dispatch

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/gateway"
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
	s := newConditions(log)
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
	c.sent(now)
	c.ended(o, now)
}

// Endpoints that fail requests while their health is good are avoided, and tried again later.
func TestFailingEndpointsAreAvoided(t *testing.T) {
	s := newConditions(quiet())
	for range 4 {
		s.play("a", gateway.Outcome{Failed: true}, start)
		s.play("b", gateway.Outcome{First: 10 * time.Millisecond}, start)
	}
	require.Equal(t, []string{"b"}, ids(s.candidates(endpoints("a", "b"), nil, start)))
	require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, start.Add(10*time.Second))))
}

// When all endpoints fail, none is avoided.
func TestAllEndpointsFail(t *testing.T) {
	s := newConditions(quiet())
	for range 4 {
		s.play("a", gateway.Outcome{Failed: true}, start)
		s.play("b", gateway.Outcome{Failed: true}, start)
	}
	require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, start)))
}

func TestAnUnreachableEndpointIsTriedAgainAfterABackoff(t *testing.T) {
	s := newConditions(quiet())
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
	s := newConditions(quiet())
	c := s.get(roster.Incarnation{ID: "a"})
	c.sent(start)
	late := start.Add(silence + time.Millisecond)
	require.Equal(t, []string{"b"}, ids(s.candidates(endpoints("a", "b"), nil, late)))
	c.alive(late)
	require.Equal(t, []string{"a", "b"}, ids(s.candidates(endpoints("a", "b"), nil, late)))
}

func TestLeavingAndExcludedEndpointsAreLeftOut(t *testing.T) {
	s := newConditions(quiet())
	list := endpoints("a", "b", "c")
	list[0].Draining = true
	require.Equal(t, []string{"c"}, ids(s.candidates(list, []string{"b"}, start)))
	require.Empty(t, s.candidates(list[:2], []string{"b"}, start))
}

// The work spreads by expected time: slower endpoints and those with more requests get fewer.
func TestServiceSpreadsByExpectedTime(t *testing.T) {
	s := newConditions(quiet())
	list := endpoints("fast", "slow")
	s.play("fast", gateway.Outcome{First: 10 * time.Millisecond}, start)
	s.play("slow", gateway.Outcome{First: 40 * time.Millisecond}, start)
	counts := map[string]int{}
	for range 10 {
		e, _ := s.pickService(list, "here", func(int) int { return 0 })
		s.get(e.Incarnation).sent(start)
		counts[e.ID]++
	}
	require.Equal(t, map[string]int{"fast": 8, "slow": 2}, counts)
}

func TestServicePrefersItsFailureDomain(t *testing.T) {
	s := newConditions(quiet())
	list := endpoints("far", "near")
	list[0].FailureDomain = "there"
	picked, _ := s.pickService(list, "here", func(int) int { return 0 })
	require.Equal(t, "near", picked.ID)
	s.get(list[1].Incarnation).sent(start)
	picked, _ = s.pickService(list, "here", func(int) int { return 0 })
	require.Equal(t, "far", picked.ID)
}

func TestSweepForgets(t *testing.T) {
	s := newConditions(quiet())
	s.play("a", gateway.Outcome{}, start)
	s.get(roster.Incarnation{ID: "b"}).sent(start)
	s.sweep(start.Add(2 * forgetAfter))
	require.Len(t, s.list, 1, "b still has a request")
}

package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rankedRequest returns a request with an objective of a second and a time limit of ten.
func rankedRequest(urgency int) Request {
	return NewRequest(time.Second, start, start.Add(10*time.Second), urgency, false)
}

// askAll follows a plan while every engine offers the same forecast, and returns the first step that is not Ask.
func newTestSearch(a *Admission, r Request, ids ...string) *CostSearch {
	return NewCostSearch(CostContext{Admission: a, Known: NewKnownEngines(), Returns: NewReturns()}, r, "g", "", endpoints(ids...), len(ids))
}

func askAll(p Plan, f Forecast, now time.Time) Step {
	for {
		step := p.Next(now)
		if step.Action != Ask {
			return step
		}
		p.Offered(step.Endpoint, f, 0)
	}
}

// Guards against the most urgent requests being refused, with a time limit of ten seconds, for a queue of a second.
func TestHighestRankWaitsWithinItsTimeLimit(t *testing.T) {
	a := NewAdmission()
	s := newTestSearch(a, rankedRequest(0), "a", "b", "c")
	busy := Forecast{First: 1500 * time.Millisecond, Own: 100 * time.Millisecond, Run: 500 * time.Millisecond}
	now := start
	step := askAll(s, busy, now)
	require.Equal(t, Wait, step.Action)
	require.Equal(t, int64(1), a.Held())
	for step.Action == Wait {
		require.GreaterOrEqual(t, step.For, minHold)
		require.LessOrEqual(t, step.For, maxHold)
		now = now.Add(step.For)
		step = askAll(s, busy, now)
	}
	require.Equal(t, Refuse, step.Action, "the rest of the time limit does not suffice for the work")
	require.InDelta(t, 9.4, now.Sub(start).Seconds(), 1)
	s.End(false, now)
	require.Zero(t, a.Held())
}

// A late request must not make others late: it waits until the queue is short, the shorter the less it has waited.
func TestLateRequestJoinsShortQueuesOnly(t *testing.T) {
	forecast := func(queue time.Duration) Forecast {
		return Forecast{First: queue + 100*time.Millisecond, Own: 100 * time.Millisecond, Run: 500 * time.Millisecond}
	}
	for _, c := range []struct {
		waited, queue time.Duration
		want          Action
	}{
		{0, 650 * time.Millisecond, Send}, // in time
		{0, 950 * time.Millisecond, Wait},
		{2 * time.Second, 350 * time.Millisecond, Wait},
		{2 * time.Second, 250 * time.Millisecond, Send},
		{8 * time.Second, 400 * time.Millisecond, Send},
	} {
		s := newTestSearch(NewAdmission(), rankedRequest(0), "a", "b", "c")
		require.Equal(t, c.want, askAll(s, forecast(c.queue), start.Add(c.waited)).Action, "%+v", c)
	}
}

// Guards against less urgent requests being admitted while more urgent ones wait or are refused.
func TestLessUrgentRequestsYield(t *testing.T) {
	a := NewAdmission()
	f := Forecast{First: 600 * time.Millisecond, Own: 100 * time.Millisecond}
	action := func(urgency int) Action {
		return askAll(newTestSearch(a, rankedRequest(urgency), "a", "b", "c"), f, start).Action
	}
	require.Equal(t, []Action{Send, Send, Send}, []Action{action(0), action(1), action(2)})
	for range 10 {
		a.record("g", 1, false, start)
	}
	require.Equal(t, []Action{Send, Send, Refuse}, []Action{action(0), action(1), action(2)})
	for range 10 {
		a.record("g", 0, false, start)
	}
	require.Equal(t, []Action{Send, Refuse, Refuse}, []Action{action(0), action(1), action(2)})
	require.Less(t, a.pressure("g", 1, start.Add(10*time.Second)), 0.01, "more urgent requests are served again")
	require.Zero(t, a.pressure("other", 1, start))
}

// Guards against a VM that keeps more requests waiting than it has memory for.
func TestHeldRequestsAreBounded(t *testing.T) {
	a := NewAdmission()
	f := Forecast{First: 3 * time.Second, Own: 100 * time.Millisecond}
	for range maxHeld {
		require.Equal(t, Wait, askAll(newTestSearch(a, rankedRequest(0), "a"), f, start).Action)
	}
	step := askAll(newTestSearch(a, rankedRequest(0), "a"), f, start)
	require.Equal(t, Refuse, step.Action)
	require.Positive(t, step.RetryAfter)
}

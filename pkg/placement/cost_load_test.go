package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func permitNumber(i int) PermitKey { return PermitKey{Incarnation: "vm", Permit: uint64(i)} }

// Guards against refusals of urgent requests because of less urgent work, which engines run after them.
func TestLessUrgentWorkDoesNotCount(t *testing.T) {
	l := NewCostLoad(96, 100_000, NewGroupSpeed())
	urgent, other := Work{Unread: 500, Memory: 600}, Work{Unread: 500, Memory: 600, Urgency: 2}
	idle := l.Forecast(urgent, start)
	require.Equal(t, idle.Own, idle.First)
	for i := range 20 {
		l.Add(permitNumber(i), "a", other, Forecast{}, start, time.Time{})
	}
	require.Equal(t, idle.First, l.Forecast(urgent, start).First)
	require.Equal(t, 20*500*initialTokenTime, l.Forecast(urgent, start).Displaced)
	require.Equal(t, idle.First+20*500*initialTokenTime, l.Forecast(other, start).First)
	l.Add(permitNumber(20), "a", urgent, Forecast{}, start, time.Time{})
	require.Equal(t, idle.First+500*initialTokenTime, l.Forecast(urgent, start).First)
	require.Greater(t, l.Forecast(other, start).First, idle.First+21*500*initialTokenTime, "further urgent requests will overtake")
	require.Less(t, l.Forecast(other, start.Add(time.Minute)).First, idle.First+21*500*initialTokenTime+time.Millisecond)
	for i := range 21 {
		l.Remove(permitNumber(i))
	}
	require.Equal(t, idle, l.Forecast(urgent, start))
	require.Equal(t, idle.First, l.Forecast(other, start.Add(time.Minute)).First)
}

// Guards against sending requests to engines without a free slot, or without memory, as if they could start there.
func TestFullEngineCountsAsWaiting(t *testing.T) {
	l := NewCostLoad(12, 10_000, NewGroupSpeed())
	large := Work{Unread: 100, Memory: 4000, Urgency: 1}
	for i := range 2 {
		l.Add(permitNumber(i), "a", large, Forecast{}, start, time.Time{})
		l.MarkStarted(permitNumber(i), 0, start)
	}
	f := l.Forecast(large, start)
	require.Greater(t, f.First, f.Own, "8,000 and 4,000 tokens do not fit into 10,000")
	require.Equal(t, l.Forecast(Work{Unread: 100, Memory: 4000}, start).Own, l.Forecast(Work{Unread: 100, Memory: 4000}, start).First,
		"the engine preempts the less urgent ones")
	for i := 2; i < 12; i++ {
		l.Add(permitNumber(i), "a", Work{}, Forecast{}, start, time.Time{})
	}
	f = l.Forecast(Work{Unread: 10, Memory: 10}, start)
	require.InDelta(t, initialRunTime/12, f.First-f.Own, float64(time.Millisecond))
}

// A slow engine must be seen as slow after a few responses, and be tried again a few seconds later.
func TestSpeedIsLearnedForEachEngineAndExpires(t *testing.T) {
	group := NewGroupSpeed()
	run := func(l *Load, event time.Duration, token time.Duration) {
		for i := range 40 {
			now := start.Add(time.Duration(i) * 50 * time.Millisecond)
			l.Add(permitNumber(i), "a", Work{Unread: 500}, Forecast{}, start, time.Time{})
			l.MarkStarted(permitNumber(i), event+500*token, now)
			l.RecordRun(permitNumber(i), 22*event, 23, now)
			l.Remove(permitNumber(i))
		}
	}
	fast, slow := NewCostLoad(96, 0, group), NewCostLoad(96, 0, group)
	for range 3 {
		run(&fast, 28*time.Millisecond, 52*time.Microsecond)
	}
	run(&slow, 56*time.Millisecond, 104*time.Microsecond)
	now := start.Add(2 * time.Second)
	w := Work{Unread: 1000}
	require.InDelta(t, 28+52, fast.Forecast(w, now).First.Milliseconds(), 12)
	require.InDelta(t, 56+104, slow.Forecast(w, now).First.Milliseconds(), 24)
	later := now.Add(10 * time.Second)
	require.InDelta(t, fast.Forecast(w, later).First.Milliseconds(), slow.Forecast(w, later).First.Milliseconds(), 3)
}

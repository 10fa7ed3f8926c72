package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against refused callers that all return at once, are refused again, and keep the VM busy with that.
func TestRefusedCallersReturnAtTheRateOfGrants(t *testing.T) {
	r := NewReturns()
	urgent, other := rankedRequest(0).returnKey("g"), rankedRequest(1).returnKey("g")
	now := start
	for range 400 {
		now = now.Add(20 * time.Millisecond)
		r.granted(urgent, now)
	}
	earliest := now.Add(300 * time.Millisecond)
	last := r.schedule(urgent, 1, earliest, now)
	require.Equal(t, earliest, last)
	for caller := range uint64(50) {
		at := r.schedule(urgent, caller+2, earliest, now)
		require.InDelta(t, 20*time.Millisecond, at.Sub(last), float64(3*time.Millisecond))
		last = at
	}
	require.Equal(t, earliest, r.schedule(other, 100, earliest, now), "ranks have schedules of their own")
	for caller := range uint64(1000) {
		require.False(t, r.schedule(urgent, 1000+caller, earliest, now).After(now.Add(maxCostReturn)))
	}
}

func TestReturnedCallers(t *testing.T) {
	r := NewReturns()
	at := r.schedule(rankedRequest(0).returnKey("g"), 7, start.Add(time.Second), start)
	require.False(t, r.Returned(8, at))
	require.True(t, r.Returned(7, at.Add(10*time.Millisecond)))
	require.False(t, r.Returned(7, at.Add(20*time.Millisecond)), "counts once")
	r.schedule(rankedRequest(0).returnKey("g"), 9, start.Add(time.Second), start)
	require.False(t, r.Returned(9, start.Add(100*time.Millisecond)), "too early: must not gain from that")
	r.schedule(rankedRequest(0).returnKey("g"), 10, start.Add(time.Second), start)
	r.Sweep(start.Add(time.Minute))
	require.Empty(t, r.promised)
	require.Empty(t, r.schedules)
}

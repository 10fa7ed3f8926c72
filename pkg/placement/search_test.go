package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A long prompt alone takes longer than the objective. The request must be served late by an idle engine, and
// refused where others are waiting.
func TestLongPromptIsServedLateByIdleEngine(t *testing.T) {
	r := Request{Arrived: start, Urgency: 2, Objective: 800 * time.Millisecond, WaitDeadline: start.Add(time.Hour)}
	long := Offer{Estimate: 1100 * time.Millisecond, Queue: 40 * time.Millisecond, LoadDelay: 250 * time.Millisecond}
	require.True(t, r.lateByOwnWork(long, start))
	long.Queue = 500 * time.Millisecond
	require.False(t, r.lateByOwnWork(long, start))
	long.Queue, long.LoadDelay = 40*time.Millisecond, 700*time.Millisecond
	require.False(t, r.lateByOwnWork(long, start), "other requests wait for their adapters")
	long.LoadDelay, r.WaitDeadline = 250*time.Millisecond, start.Add(time.Second)
	require.False(t, r.lateByOwnWork(long, start), "the wait would end after waitDeadline")
}

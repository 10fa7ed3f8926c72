package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSleepEndsWithTimerOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		require.True(t, Sleep(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(begun))

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.True(t, Sleep(ctx, -time.Second), "a negative duration returns at once")
		require.False(t, Sleep(ctx, time.Minute))
		require.Equal(t, 2*time.Second, time.Since(begun))
		require.False(t, Sleep(ctx, 0), "the context has ended")
	})
}

func TestEveryWaitsBeforeFirstCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		var calls []time.Duration
		Every(ctx, time.Second, func(now time.Time) { calls = append(calls, now.Sub(begun)) })
		require.Equal(t, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, calls)
		require.Equal(t, 3500*time.Millisecond, time.Since(begun))
	})
}

package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Within any span, the retries stay within the share of the requests plus the reserve.
func TestWindowBoundsRetries(t *testing.T) {
	const span, share, reserve = 10 * time.Second, 0.2, 3.0
	w := NewWindow(span, share, func() float64 { return reserve })
	now := time.Unix(1_700_000_000, 0)
	type event struct {
		at    time.Time
		retry bool
	}
	var events []event
	for i := range 6000 {
		now = now.Add(7 * time.Millisecond)
		if i%3 == 0 && i < 4000 {
			w.CountRequest(now)
			events = append(events, event{now, false})
		}
		if w.AllowRetry(now) {
			events = append(events, event{now, true})
		}
	}
	for i, first := range events {
		requests, retries := 0, 0
		for _, e := range events[i:] {
			if e.at.Sub(first.at) >= span {
				break
			}
			if e.retry {
				retries++
			} else {
				requests++
			}
		}
		// Requests of up to one span before also count, because the share applies to the sliding window.
		require.LessOrEqual(t, float64(retries), share*float64(max(requests, 500))+2*reserve+1)
	}
}

func TestWindowExpiresOldRetries(t *testing.T) {
	w := NewWindow(10*time.Second, 0, func() float64 { return 2 })
	now := time.Unix(1_700_000_000, 0)
	require.True(t, w.AllowRetry(now))
	require.True(t, w.AllowRetry(now))
	require.False(t, w.AllowRetry(now.Add(9*time.Second)))
	require.True(t, w.AllowRetry(now.Add(11*time.Second)))
}

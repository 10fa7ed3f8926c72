package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Within any span, repeats stay within the share of the requests and the reserve.
func TestWindowBoundsRepeats(t *testing.T) {
	const span, share, reserve = 10 * time.Second, 0.2, 3.0
	w := NewWindow(span, share, func() float64 { return reserve })
	now := time.Unix(1_700_000_000, 0)
	type event struct {
		at     time.Time
		repeat bool
	}
	var events []event
	for i := range 6000 {
		now = now.Add(7 * time.Millisecond)
		if i%3 == 0 && i < 4000 {
			w.Request(now)
			events = append(events, event{now, false})
		}
		if w.Repeat(now) {
			events = append(events, event{now, true})
		}
	}
	for i, first := range events {
		requests, repeats := 0, 0
		for _, e := range events[i:] {
			if e.at.Sub(first.at) >= span {
				break
			}
			if e.repeat {
				repeats++
			} else {
				requests++
			}
		}
		// Requests up to a span before count as well: the share follows the traffic.
		require.LessOrEqual(t, float64(repeats), share*float64(max(requests, 500))+2*reserve+1)
	}
}

func TestWindowForgets(t *testing.T) {
	w := NewWindow(10*time.Second, 0, func() float64 { return 2 })
	now := time.Unix(1_700_000_000, 0)
	require.True(t, w.Repeat(now))
	require.True(t, w.Repeat(now))
	require.False(t, w.Repeat(now.Add(9*time.Second)))
	require.True(t, w.Repeat(now.Add(11*time.Second)))
}

package placement

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// engineTimes are the true times of an engine in a test.
type engineTimes struct{ start, token time.Duration }

func (e engineTimes) first(tokens int) time.Duration { return e.start + time.Duration(tokens)*e.token }

// An engine with a long fixed time to its first event must not be taken for one that reads prompts slowly: its queue would be
// expected to take a multiple of the real time, and requests would be refused although it is nearly idle.
func TestFixedTimeIsNotTakenForTimePerToken(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	for _, times := range []engineTimes{
		{80 * time.Millisecond, 52 * time.Microsecond}, {time.Millisecond, 23 * time.Microsecond}, {15 * time.Millisecond, 30 * time.Microsecond},
	} {
		group := NewGroupSpeed()
		engine := engineSpeed{group: group}
		now := time.Unix(1_700_000_000, 0)
		for range 300 {
			now = now.Add(20 * time.Millisecond)
			tokens := 100 + random.Intn(1200)
			noise := 0.9 + 0.2*random.Float64()
			engine.firstEvent(time.Duration(noise*float64(times.first(tokens))), tokens, now)
		}
		got := engine.at(now)
		for _, tokens := range []int{0, 500, 8000} {
			require.InEpsilon(t, (times.first(tokens) + 20*time.Millisecond).Seconds(), (got.first(tokens) + 20*time.Millisecond).Seconds(), 0.3,
				"%v, %d tokens", times, tokens)
		}
	}
}

// An engine at half the speed of its group must be known as such after a few responses, and must count like the others again
// some seconds after its last one, so that it is tried again.
func TestSlowEngineIsKnownAndForgotten(t *testing.T) {
	group := NewGroupSpeed()
	fast, slow := engineSpeed{group: group}, engineSpeed{group: group}
	times := engineTimes{30 * time.Millisecond, 40 * time.Microsecond}
	now := time.Unix(1_700_000_000, 0)
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		fast.firstEvent(times.first(600), 600, now)
	}
	for range 10 {
		now = now.Add(20 * time.Millisecond)
		fast.firstEvent(times.first(600), 600, now)
		slow.firstEvent(2*times.first(600), 600, now)
	}
	ratio := func(now time.Time) float64 {
		return float64(slow.at(now).first(600)) / float64(fast.at(now).first(600))
	}
	require.Greater(t, ratio(now), 1.4)
	require.InDelta(t, 1, ratio(now.Add(6*time.Second)), 0.1)
}

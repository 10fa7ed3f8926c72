package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against the stated limit being taken for the length: it is several times too long for most responses.
func TestLengthIsLearnedByRouteAndAdapter(t *testing.T) {
	l := NewLengths()
	chat, digest := LengthKey{"chat", "m", "a"}, LengthKey{"digest", "m", "a"}
	require.Equal(t, Length{Tokens: 500}, l.Expect(chat, "x", 0, 500))
	for range 100 {
		l.Record(chat, "x", 0, 500, 20, start)
		l.Record(digest, "x", 0, 500, 5, start)
	}
	l.Record(chat, "x", 0, 60, 20, start)
	e := l.Expect(chat, "x", 0, 500)
	require.InDelta(t, 20, e.Events, 1)
	require.InDelta(t, 60, e.Tokens, 4, "a response that reaches its limit tells the tokens of an event")
	require.Equal(t, 40, l.Expect(chat, "x", 0, 40).Tokens)
	require.InDelta(t, 5, l.Expect(digest, "x", 0, 500).Events, 1)
	l.Sweep(start.Add(time.Hour))
	require.Empty(t, l.known)
}

// A caller must not gain from false hints: those of an account whose hints are wrong stop counting, and do not move what
// is expected of others.
func TestFalseHintsDoNotCount(t *testing.T) {
	l, rng := NewLengths(), rand.New(rand.NewPCG(1, 1))
	key := LengthKey{"chat", "m", "a"}
	for range 2000 {
		events := 20 * math.Exp(0.5*rng.NormFloat64())
		honest := 3 * events * math.Exp(0.3*rng.NormFloat64())
		l.Record(key, "honest", int(math.Ceil(honest)), 1000, int(math.Ceil(events)), start)
		if rng.IntN(4) == 0 {
			l.Record(key, "false", 1+rng.IntN(12), 1000, int(math.Ceil(events)), start)
		}
	}
	usual := float64(l.Expect(key, "honest", 0, 1000).Events)
	require.InDelta(t, 20, usual, 4)
	require.Less(t, float64(l.Expect(key, "honest", 30, 1000).Events), 0.75*usual, "a good hint counts")
	require.Greater(t, float64(l.Expect(key, "honest", 120, 1000).Events), 1.3*usual)
	require.GreaterOrEqual(t, float64(l.Expect(key, "false", 1, 1000).Events), 0.9*usual)
	require.GreaterOrEqual(t, float64(l.Expect(key, "unknown", 1, 1000).Events), 0.75*usual, "little weight before any response")
}

package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/dialect"
)

func TestEngineLoadMeasuresTokenTime(t *testing.T) {
	l := NewLoad(64, 1000)
	for i := range 200 {
		key := PermitKey{"i", uint64(i)}
		l.Add(key, "a", Work{Unread: 1000}, Forecast{}, start, time.Time{})
		l.MarkStarted(key, baseFirstTokenTime+100*time.Millisecond, time.Time{})
		l.Remove(key)
	}
	require.InDelta(t, 100*time.Microsecond, l.tokenTime, float64(2*time.Microsecond))
	require.InDelta(t, baseFirstTokenTime+100*time.Millisecond, l.Estimate(1000), float64(3*time.Millisecond))
	require.Zero(t, l.unread)
	require.Zero(t, l.running)
}

func TestPromptCacheUnreadTokens(t *testing.T) {
	c := newPromptCache(1000)
	prompt := []dialect.PromptPart{{ID: "a", Tokens: 300}, {ID: "b", Tokens: 200}}
	require.Equal(t, 700, c.unread("x", prompt, 700))
	c.add("x", prompt)
	require.Equal(t, 200, c.unread("x", prompt, 700))
	require.Equal(t, 700, c.unread("y", prompt, 700), "parts must be cached per adapter")
	require.Equal(t, 400, c.unread("x", []dialect.PromptPart{{ID: "a", Tokens: 300}, {ID: "z", Tokens: 100}, {ID: "b", Tokens: 200}}, 700))
	c.removeAdapter("x")
	require.Equal(t, 700, c.unread("x", prompt, 700))
	for i := range 50 {
		c.add("x", []dialect.PromptPart{{ID: fmt.Sprint(i), Tokens: 100}})
		require.LessOrEqual(t, c.tokens, 1000)
	}
}

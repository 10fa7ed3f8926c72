package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/dialect"
)

// start is an arbitrary time.
var start = time.Unix(1_000_000, 0)

func TestExtraHomesDecay(t *testing.T) {
	s := NewHotKeys()
	require.Equal(t, DefaultHomeCount, s.HomeCount("a", start))
	for range 8 {
		s.AddHome("a", start)
	}
	require.Equal(t, DefaultHomeCount+8, s.HomeCount("a", start))
	require.Equal(t, DefaultHomeCount, s.HomeCount("b", start))
	require.Equal(t, DefaultHomeCount+4, s.HomeCount("a", start.Add(extraHomesHalfLife)))
	s.Sweep(start.Add(10 * extraHomesHalfLife))
	require.Empty(t, s.extra)
	require.Equal(t, DefaultHomeCount, s.HomeCount("a", start.Add(10*extraHomesHalfLife)))
}

// Requests of one session ask the same homes, those of different sessions different ones.
func TestSessionsKeepTheirHomes(t *testing.T) {
	ranked := endpoints("a", "b", "c", "d", "e", "f", "g", "h")
	session := func(id string) string {
		return SessionKey("", dialect.RequestInfo{Prompt: []dialect.PromptPart{{ID: "shared"}, {ID: id}}})
	}
	first := map[string]bool{}
	for i := range 40 {
		key := session(fmt.Sprint(i))
		require.Equal(t, ids(ChooseHomes(key, ranked, 8)), ids(ChooseHomes(key, ranked, 8)))
		first[ChooseHomes(key, ranked, 8)[0].ID] = true
	}
	require.Len(t, first, 8)
	require.Equal(t, []string{"a", "b", "c"}, ids(ChooseHomes(session("x"), ranked, DefaultHomeCount)))
	require.Equal(t, []string{"a", "b"}, ids(ChooseHomes(session("x"), ranked[:2], 8)))
}

package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

func endpoints(ids ...string) []roster.Endpoint {
	list := make([]roster.Endpoint, len(ids))
	for i, id := range ids {
		list[i] = roster.Endpoint{Incarnation: roster.Incarnation{ID: id}, Group: "g"}
	}
	return list
}

func ids(list []roster.Endpoint) []string {
	names := make([]string, len(list))
	for i, e := range list {
		names[i] = e.ID
	}
	return names
}

// The loss of an endpoint moves only the keys whose first home it was.
func TestHomesAreStable(t *testing.T) {
	all := endpoints("a", "b", "c", "d", "e", "f", "g", "h", "i")
	moved := 0
	counts := map[string]int{}
	const adapters = 3000
	for i := range adapters {
		key := fmt.Sprintf("base/a%d", i)
		before := RankHomes(key, all)
		after := RankHomes(key, all[1:])
		counts[before[0].ID]++
		if before[0].ID == "a" {
			require.Equal(t, before[1].ID, after[0].ID)
			moved++
			continue
		}
		require.Equal(t, before[0].ID, after[0].ID)
	}
	require.NotZero(t, moved)
	for id, n := range counts {
		require.InDelta(t, adapters/len(all), n, float64(adapters/len(all)/4), id)
	}
}

func TestHomeKey(t *testing.T) {
	work := func(model, adapter string, parts ...string) dialect.RequestInfo {
		terms := dialect.RequestInfo{ID: "r1", Model: model, Adapter: adapter}
		for _, id := range parts {
			terms.Prompt = append(terms.Prompt, dialect.PromptPart{ID: id})
		}
		return terms
	}
	require.Equal(t, HomeKey(work("m", "a1", "p")), HomeKey(work("m", "a1", "q")))
	require.Equal(t, HomeKey(work("m", "", "p", "x")), HomeKey(work("m", "", "p", "y")))
	require.NotEqual(t, HomeKey(work("m", "", "p")), HomeKey(work("m", "", "q")))
	require.Equal(t, "r1", HomeKey(work("m", "")))
}

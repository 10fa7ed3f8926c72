package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/gateway"
)

// The loss of an endpoint moves only the keys whose first home it was.
func TestHomesAreStable(t *testing.T) {
	all := endpoints("a", "b", "c", "d", "e", "f", "g", "h", "i")
	moved := 0
	counts := map[string]int{}
	const adapters = 3000
	for i := range adapters {
		key := fmt.Sprintf("base/a%d", i)
		before := rankHomes(key, all)
		after := rankHomes(key, all[1:])
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
	work := func(model, adapter string, parts ...string) gateway.Request {
		req := gateway.Request{Terms: dialect.RequestInfo{ID: "r1", Model: model, Adapter: adapter}}
		for _, id := range parts {
			req.Terms.Prompt = append(req.Terms.Prompt, dialect.PromptPart{ID: id})
		}
		return req
	}
	require.Equal(t, homeKey(work("m", "a1", "p")), homeKey(work("m", "a1", "q")))
	require.Equal(t, homeKey(work("m", "", "p", "x")), homeKey(work("m", "", "p", "y")))
	require.NotEqual(t, homeKey(work("m", "", "p")), homeKey(work("m", "", "q")))
	require.Equal(t, "r1", homeKey(work("m", "")))
}

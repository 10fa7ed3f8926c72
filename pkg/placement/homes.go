package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// HomeKey returns the key that determines a request's homes: its adapter, or the first part of its prompt if it
// names no adapter. Requests with the same key go to the same engines, where they find the adapter and the
// prompt cached.
func HomeKey(terms dialect.RequestInfo) string {
	if terms.Adapter != "" {
		return terms.Model + "/" + terms.Adapter
	}
	if len(terms.Prompt) > 0 {
		return terms.Model + ":" + terms.Prompt[0].ID
	}
	return terms.ID
}

// RankHomes orders the candidates by rendezvous hash: each VM computes the same order, and the loss of an
// endpoint moves only the keys whose first home it was.
func RankHomes(key string, candidates []roster.Endpoint) []roster.Endpoint {
	type scored struct {
		score uint64
		index int
	}
	scores := make([]scored, len(candidates))
	base := xxhash.Sum64String(key)
	for i, e := range candidates {
		scores[i] = scored{mix(base, xxhash.Sum64String(e.ID)), i}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(candidates[a.index].ID, candidates[b.index].ID))
	})
	ranked := make([]roster.Endpoint, len(candidates))
	for i, s := range scores {
		ranked[i] = candidates[s.index]
	}
	return ranked
}

// mix combines two hashes (the finalizer of splitmix64).
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

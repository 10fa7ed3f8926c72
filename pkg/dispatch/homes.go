package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// homeKey returns the key that determines a request's homes: its adapter, or the first part of its prompt if it
// names no adapter. Requests with the same key go to the same engines, where they find the adapter and the
// prompt cached.
func homeKey(req gateway.Request) string {
	if req.Terms.Adapter != "" {
		return req.Terms.Model + "/" + req.Terms.Adapter
	}
	if len(req.Terms.Prompt) > 0 {
		return req.Terms.Model + ":" + req.Terms.Prompt[0].ID
	}
	return req.Terms.ID
}

// rankHomes orders the candidates by rendezvous hash: each VM computes the same order, and the loss of an
// endpoint moves only the keys whose first home it was.
func rankHomes(key string, candidates []roster.Endpoint) []roster.Endpoint {
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

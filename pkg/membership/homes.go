package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Homes returns the n VMs that keep something for the whole fleet, by rendezvous hash of VM and key, in order of precedence. VMs that
// are proven gone are left out.
func Homes(members []Member, key string, n int) []Member {
	homes := make([]Member, 0, n+1)
	best := make([]uint64, 0, n+1)
	for _, m := range members {
		if m.Gone {
			continue
		}
		score := xxhash.Sum64String(m.ID + key)
		at := 0
		for at < len(homes) && best[at] >= score {
			at++
		}
		if at == n {
			continue
		}
		homes = slices.Insert(homes, at, m)[:min(len(homes)+1, n)]
		best = slices.Insert(best, at, score)[:len(homes)]
	}
	return homes
}

package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank orders the IDs by rendezvous hash for the key: each VM computes the same order, and the
// loss of a VM moves only what stood first at it.
func Rank(key string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	all := make([]scored, 0, len(ids))
	for _, id := range ids {
		all = append(all, scored{id, xxhash.Sum64String(key + "\x00" + id)})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].id < all[j].id
	})
	ranked := make([]string, len(all))
	for i, s := range all {
		ranked[i] = s.id
	}
	return ranked
}

// targets returns the VMs to beat to now, and marks them as being beaten to. While the table is down
// these are all, because leases hang on every VM's word then.
func (r *Registry) targets() []Member {
	all := r.everyone.Swap(false) || r.status().StoreDown
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := make([]string, 0, len(r.records))
	for id, rec := range r.records {
		if rec.member.PeerAddress != "" && !rec.forgotten() {
			candidates = append(candidates, id)
		}
	}
	if !all && len(candidates) >= r.cfg.FullMesh {
		candidates = r.choosePartners(candidates)
	}
	sort.Strings(candidates)
	var targets []Member
	for _, id := range candidates {
		rec := r.records[id]
		if !rec.beating {
			rec.beating = true
			targets = append(targets, rec.member)
		}
	}
	return targets
}

// forgotten reports whether the VM is gone and off the list, so that nothing will answer there.
func (rec *record) forgotten() bool {
	return rec.offList && rec.life.State() == stateGone
}

// choosePartners returns the first VM of every failure domain and further ones in rendezvous order,
// up to Partners in all. r.mu is held.
func (r *Registry) choosePartners(ids []string) []string {
	ranked := Rank(r.cfg.ID, ids)
	chosen := make([]string, 0, r.cfg.Partners)
	taken := map[string]bool{}
	domains := map[string]bool{}
	for _, id := range ranked {
		domain := r.records[id].member.FailureDomain
		if !domains[domain] && len(chosen) < r.cfg.Partners {
			domains[domain] = true
			taken[id] = true
			chosen = append(chosen, id)
		}
	}
	for _, id := range ranked {
		if len(chosen) >= r.cfg.Partners {
			break
		}
		if !taken[id] {
			chosen = append(chosen, id)
		}
	}
	return chosen
}

package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank orders the IDs by rendezvous hash for the key, highest first. Every VM computes the same order,
// and the loss of a VM moves only the keys for which that VM came first.
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

// pickTargets returns the VMs to send a heartbeat to now, and marks them as having one in flight. While
// the table is down these are all VMs, because leases then depend on the report of every VM.
func (r *Registry) pickTargets() []Member {
	all := r.nextToAll.Swap(false) || r.status().StoreDown
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := make([]string, 0, len(r.records))
	for id, rec := range r.records {
		if rec.member.PeerAddress != "" && !rec.goneAndUnlisted() {
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
		if !rec.beatInFlight {
			rec.beatInFlight = true
			targets = append(targets, rec.member)
		}
	}
	return targets
}

// goneAndUnlisted reports whether the VM is gone and not on the platform's list, so that nothing will
// respond at its address.
func (rec *record) goneAndUnlisted() bool {
	return rec.unlisted && rec.machine.State() == stateGone
}

// choosePartners returns the VMs that this VM sends heartbeats to in a large fleet: the first VM of
// every failure domain in rendezvous order, then further VMs in that order, at most Config.Partners in
// all. r.mu is held.
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

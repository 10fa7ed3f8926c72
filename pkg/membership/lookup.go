package membership

import (
	"sort"
	"time"
)

// Self returns this VM.
func (r *Registry) Self() Member {
	status := r.status()
	return Member{
		ID: r.cfg.ID, Incarnation: r.cfg.Incarnation, FailureDomain: r.cfg.FailureDomain,
		PeerAddress: r.cfg.PeerAddress, Draining: status.Draining,
		BundleVersion: status.BundleVersion, StoreDown: status.StoreDown,
	}
}

// Members returns every VM that may exist, this one included, ordered by ID.
func (r *Registry) Members() []Member {
	members := []Member{r.Self()}
	now := time.Now()
	r.mu.Lock()
	for _, rec := range r.records {
		members = append(members, rec.snapshot(now))
	}
	r.mu.Unlock()
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

func (rec *record) snapshot(now time.Time) Member {
	m := rec.member
	m.Gone = rec.machine.State() == stateGone
	if m.Gone {
		m.GoneFor = now.Sub(rec.goneAt)
	}
	m.SilentFor = now.Sub(rec.lastContact)
	return m
}

// Live returns the members that respond and are not draining, ordered by ID.
func (r *Registry) Live() []Member {
	members := r.Members()
	live := members[:0]
	for _, m := range members {
		self := m.ID == r.cfg.ID
		if !m.Draining && (self || !m.Gone && m.SilentFor <= r.cfg.BeatTimeout) {
			live = append(live, m)
		}
	}
	return live
}

// Gone reports whether the given incarnation of the VM is proven gone.
func (r *Registry) Gone(id, incarnation string) bool {
	if id == r.cfg.ID {
		return incarnation < r.cfg.Incarnation
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[id]
	if rec == nil {
		return false
	}
	// A newer incarnation of the VM proves the older ones gone.
	return rec.goneIncarnations[incarnation] || incarnation < rec.member.Incarnation
}

// EndAnnounced reports whether the given incarnation of the VM has announced its end, and its calls have ended by what it
// announced.
func (r *Registry) EndAnnounced(id, incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[id]
	return rec != nil && rec.ended == incarnation && !time.Now().Before(rec.callsUntil)
}

// Claims returns the leases that the given incarnation of the VM last claimed. Claims are hints where
// to look for a lease's holder; they prove nothing.
func (r *Registry) Claims(id, incarnation string) []Claim {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[id]
	if rec == nil || rec.member.Incarnation != incarnation {
		return nil
	}
	return rec.claims
}

// LastReply returns the last reply of the given incarnation of the VM to a heartbeat of this VM, and
// reports false if there is none.
func (r *Registry) LastReply(id, incarnation string) (Reply, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[id]
	if rec == nil || rec.answer.Sent.IsZero() || rec.answer.Beat.Incarnation != incarnation {
		return Reply{}, false
	}
	return rec.answer, true
}

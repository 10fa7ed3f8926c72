package lease

import (
	"sort"
	"time"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/clock"
)

// Snapshot is the manager's state for the state dump.
type Snapshot struct {
	StoreDown bool           `json:"store_down"`
	Draining  bool           `json:"draining"`
	Remaining time.Duration  `json:"remaining_ns"`
	Sessions  []SessionState `json:"sessions"`
	Leases    []State        `json:"leases"`
}

// SessionState describes one VM's session as last listed.
type SessionState struct {
	VM          string        `json:"vm"`
	Incarnation string        `json:"incarnation"`
	Counter     uint64        `json:"counter"`
	Unchanged   time.Duration `json:"unchanged_ns"`
	Over        bool          `json:"over"`
	Gone        bool          `json:"gone"`
}

// State describes one lease.
type State struct {
	Name    string      `json:"name"`
	Holder  string      `json:"holder"`
	Fencing uint64      `json:"fencing"`
	State   chart.State `json:"state"`
	// Remaining is how much longer this VM may use the lease without another renewal or extension.
	Remaining time.Duration `json:"remaining_ns"`
}

// Snapshot returns the manager's state for the state dump.
func (m *Manager) Snapshot() Snapshot {
	now := time.Now()
	m.mu.RLock()
	defer m.mu.RUnlock()
	snap := Snapshot{StoreDown: m.upSince.IsZero(), Draining: m.draining, Remaining: m.remaining(m.own.validFrom, now)}
	for vm, s := range m.sessions {
		snap.Sessions = append(snap.Sessions, SessionState{
			VM: vm, Incarnation: s.Incarnation, Counter: s.Counter, Unchanged: now.Sub(s.firstSeen),
			Over: s.over(), Gone: m.fleet.Gone(vm, s.Incarnation),
		})
	}
	for name, l := range m.leases {
		snap.Leases = append(snap.Leases, m.leaseState(name, l, now))
	}
	sort.Slice(snap.Sessions, func(i, j int) bool { return snap.Sessions[i].VM < snap.Sessions[j].VM })
	sort.Slice(snap.Leases, func(i, j int) bool { return snap.Leases[i].Name < snap.Leases[j].Name })
	return snap
}

// leaseState describes one lease. m.mu is held.
func (m *Manager) leaseState(name string, l lease, now time.Time) State {
	state := State{Name: name, Holder: l.Holder, Fencing: l.Fencing, State: stateIdle}
	r := m.rights[name]
	if r == nil {
		return state
	}
	state.State = r.lifecycle.State()
	switch state.State {
	case stateHeld:
		state.Remaining = m.remaining(m.own.validFrom, now)
	case stateProvisional:
		state.Holder, state.Fencing = m.cfg.ID, r.grant.Fencing
		state.Remaining = m.remaining(r.validFrom, now)
	}
	return state
}

// remaining returns how much is left of a duration that began at validFrom.
func (m *Manager) remaining(validFrom, now time.Time) time.Duration {
	return max(m.cfg.Duration-clock.Elapsed(validFrom, now), 0)
}

package lease

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// When the table service returns from an older copy, a new generation of it begins. The rows may then name holders that have
// handed their leases over, and lack claims and sessions of VMs that still use them. A VM that lists the new generation drops
// the rights that the rows do not confirm. The generation has settled once no VM uses a right that the rows do not confirm:
// all VMs have listed it, or the longest duration of a session has passed. Until then no VM claims a lease.

// listedGeneration returns the generation of the rows that were just listed. m.mu may be held.
func (m *Manager) listedGeneration(rows []platform.Row) uint64 {
	if len(rows) == 0 {
		return m.table.Generation()
	}
	return platform.GenerationOf(rows[0].Version)
}

// settled reports whether the generation listed last has settled. m.mu is held.
func (m *Manager) settled() bool { return m.settledGeneration >= m.generation }

// enterGeneration records the generation of a listing whose rows have not been stored yet. m.mu is held.
func (m *Manager) enterGeneration(generation uint64, now time.Time) {
	if m.listed && generation <= m.generation {
		return
	}
	from := m.generation
	m.generation = generation
	if !m.listed {
		return
	}
	// While this VM's session lasts, no VM claims a lease before this VM has listed it: the sessions known are complete.
	m.formerComplete = m.own.created != 0 && clock.Elapsed(m.own.validFrom, now) < m.cfg.Duration
	maps.Copy(m.formerSessions, m.sessions)
	m.upSince = time.Time{}
	m.log.WithFields(logrus.Fields{
		"event": "lease_table_returned", "from": from, "to": generation, "sessions": len(m.sessions), "complete": m.formerComplete,
	}).Warn("lease table has returned from an older copy; no lease is claimed until all VMs have listed it")
}

// updateSettled updates which generation has settled after a listing. m.mu is held.
func (m *Manager) updateSettled(now time.Time) {
	if !m.listed && len(m.sessions) == 0 {
		// No VM has used the table before.
		m.settledGeneration = m.generation
	}
	for _, s := range m.sessions {
		if s.SettledGeneration <= m.generation {
			m.settledGeneration = max(m.settledGeneration, s.SettledGeneration)
		}
	}
	if !m.upSince.IsZero() && !now.Before(m.claimWindowStart()) {
		m.settledGeneration = m.generation
	}
	if m.settled() && len(m.formerSessions) > 0 {
		clear(m.formerSessions)
		m.log.WithFields(logrus.Fields{"event": "lease_table_settled", "generation": m.generation}).Info("no VM relies on the lease table as it was before its return")
	}
}

// resumes reports whether this VM's session goes on with the row that a return of the table has brought back: an older state
// of the same session. If the session has ended since, its rights have lapsed. m.mu is held.
func (m *Manager) resumes(s session) bool {
	return m.own.created != 0 && s.Incarnation == m.cfg.Incarnation && !s.over() &&
		platform.GenerationOf(s.version) > platform.GenerationOf(m.own.version)
}

// sameGeneration returns what is known of a session if its row was last listed in the generation of a version, and else a
// zero session: the row's version differs after a return, though its VM may not have renewed it.
func sameGeneration(known session, version uint64) session {
	if platform.GenerationOf(known.version) != platform.GenerationOf(version) {
		return session{}
	}
	return known
}

package lease

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/membership"
)

// guardLoop periodically checks this VM's rights against the clock and against the peers' heartbeat responses.
func (m *Manager) guardLoop(ctx context.Context) {
	clock.Every(ctx, m.cfg.GuardInterval, func(time.Time) { m.guard(m.fleet.Live(), time.Now()) })
}

// guard extends or takes over leases while the table is down, ends rights that have lapsed or for which
// another VM claims a higher fencing number, and hands over leases that belong on other VMs.
func (m *Manager) guard(live []membership.Member, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.yieldToClaims()
	if from, ok := m.tableDownForAll(now); ok {
		m.extend(from, now)
		m.takeOver(now)
	}
	for name, r := range m.rights {
		if !m.valid(r, now) && (r.lifecycle.State() == stateHeld || r.lifecycle.State() == stateProvisional) {
			m.lose(name, eventLapsed, nil)
		}
	}
	m.rebalance(live, now)
}

// peers returns the other VMs that could claim leases once the table responds to them. m.mu is held.
func (m *Manager) peers() []session {
	var peers []session
	for vm, s := range m.sessions {
		if vm != m.cfg.ID && !s.over() && !m.fleet.Gone(vm, s.Incarnation) {
			peers = append(peers, s)
		}
	}
	return peers
}

// tableDownForAll reports whether the table is down for this VM and, by its own report, for every peer. It
// returns the send time of the oldest of the heartbeats that the peers answered with this report: after that
// time all of them have reported it. m.mu is held.
func (m *Manager) tableDownForAll(now time.Time) (time.Time, bool) {
	peers := m.peers()
	if !m.upSince.IsZero() || !m.listed || len(peers) == 0 && m.mayBeForgotten(now) {
		return time.Time{}, false
	}
	earliest := now
	for _, s := range peers {
		answer, ok := m.fleet.LastReply(s.VM, s.Incarnation)
		if !ok || !answer.Beat.Status.StoreDown {
			return time.Time{}, false
		}
		if answer.Sent.Before(earliest) {
			earliest = answer.Sent
		}
	}
	return earliest, clock.Elapsed(earliest, now) < m.cfg.Duration
}

// maxCopyAge is the age that the copy from which the table returns is assumed not to exceed.
const maxCopyAge = 30 * time.Second

// mayBeForgotten reports whether the table may return from a copy without this VM's session. Other VMs could then claim its
// leases without asking it. m.mu is held.
func (m *Manager) mayBeForgotten(now time.Time) bool { return now.Sub(m.own.createdAt) < maxCopyAge }

// extend moves the start of validity of the rights that have not lapsed to from, and likewise the time up to
// which the rows are known to be current. What has lapsed stays lapsed. m.mu is held.
func (m *Manager) extend(from, now time.Time) {
	if clock.Elapsed(m.rowsCurrentAt, now) < m.cfg.Duration && from.After(m.rowsCurrentAt) {
		m.rowsCurrentAt = from
	}
	if clock.Elapsed(m.own.validFrom, now) < m.cfg.Duration && from.After(m.own.validFrom) {
		m.own.validFrom = from
	}
	for _, r := range m.rights {
		if r.lifecycle.State() == stateProvisional && m.valid(r, now) && from.After(r.validFrom) {
			r.validFrom = from
		}
	}
}

// yieldToClaims ends rights for which a peer has a higher fencing number. A claim that is in flight has no
// number yet: the table decides whether it succeeds. m.mu is held.
func (m *Manager) yieldToClaims() {
	for name, r := range m.rights {
		if state := r.lifecycle.State(); state != stateHeld && state != stateProvisional {
			continue
		}
		if m.highestClaim(name, true) > r.grant.Fencing {
			m.lose(name, eventSuperseded, nil)
		}
	}
}

// highestClaim returns the highest fencing number with which another VM claims the lease. includeGone says
// whether VMs that are proven gone count. m.mu is held.
func (m *Manager) highestClaim(name string, includeGone bool) uint64 {
	highest := uint64(0)
	for vm, s := range m.sessions {
		answer, ok := m.fleet.LastReply(vm, s.Incarnation)
		if !ok || !includeGone && m.fleet.Gone(vm, s.Incarnation) {
			continue
		}
		for _, claim := range answer.Beat.Status.Claims {
			if claim.Name == name {
				highest = max(highest, claim.Fencing)
			}
		}
	}
	return highest
}

// takeOver takes leases over provisionally while the table is down for all VMs: those whose rows still name this VM
// although it has given up or lost its right, and those whose holder has handed over or is proven gone and for which this VM is the first
// successor that is not proven gone. Until the generation of the table has settled, the rows may lack claims, and none is
// taken over. m.mu is held.
func (m *Manager) takeOver(now time.Time) {
	if m.draining || !m.settled() || m.leaseRowsStale() || clock.Elapsed(m.rowsCurrentAt, now) >= m.cfg.Duration {
		return
	}
	for name, l := range m.leases {
		if _, done := m.released[name]; m.releasing[name] && !done {
			continue
		}
		if !m.mine(l) && l.Holder != "" && !m.fleet.Gone(l.Holder, l.Incarnation) {
			delete(m.holderGoneSince, name)
			continue
		}
		if _, ok := m.holderGoneSince[name]; !ok {
			m.holderGoneSince[name] = now
		}
		rank, first := m.successorRank(l)
		from, fresh := m.allAnsweredSince(m.holderGoneSince[name], now)
		if first && fresh && !m.hasRight(name) && m.highestClaim(name, false) <= l.Fencing {
			m.takeProvisionally(name, l, rank, from)
		}
	}
}

// leaseRowsStale reports whether a peer has listed a newer version of the lease rows than this VM, or may have.
// m.mu is held.
func (m *Manager) leaseRowsStale() bool {
	for _, s := range m.peers() {
		answer, ok := m.fleet.LastReply(s.VM, s.Incarnation)
		if !ok || answer.Beat.Status.LeaseSeen > m.leaseVersionSeen {
			return true
		}
	}
	return false
}

// successorRank returns this VM's rank for a takeover, and whether the VM may take over: all before it must be
// proven gone. The rank is 0 if the row names this VM as the holder, and otherwise its position among the
// successors counted from 1. m.mu is held.
func (m *Manager) successorRank(l lease) (int, bool) {
	if m.mine(l) {
		return 0, true
	}
	for i, s := range l.Successors {
		if s.VM == m.cfg.ID {
			return i + 1, s.Incarnation == m.cfg.Incarnation
		}
		if !m.fleet.Gone(s.VM, s.Incarnation) {
			return 0, false
		}
	}
	return 0, false
}

// allAnsweredSince reports whether every peer has answered a heartbeat sent after since, and returns
// the earliest send time of these heartbeats. m.mu is held.
func (m *Manager) allAnsweredSince(since, now time.Time) (time.Time, bool) {
	earliest := now
	for _, s := range m.peers() {
		answer, ok := m.fleet.LastReply(s.VM, s.Incarnation)
		if !ok || !answer.Sent.After(since) {
			return time.Time{}, false
		}
		if answer.Sent.Before(earliest) {
			earliest = answer.Sent
		}
	}
	return earliest, true
}

// takeProvisionally gives this VM a provisional right to the lease, valid from the given time on. m.mu is held.
func (m *Manager) takeProvisionally(name string, l lease, rank int, from time.Time) {
	fencing := provisionalFencing(l.Fencing, m.generation, rank)
	if fencing >= nextFencing(l.Fencing, m.generation) || fencing <= m.highestClaim(name, true) {
		m.log.WithFields(logrus.Fields{"event": "provisional_number_too_low", "lease": name}).Error("cannot take the lease over: another VM claims a fencing number as high, or none is left for this rank")
		return
	}
	r := m.right(name)
	r.validFrom = from
	r.replacedVersion = l.version
	m.clearRelease(name)
	// The holder, unless it is this VM, and the successors before this VM are proven gone.
	m.fleet.Announce()
	gone := rank > 0 && len(m.notGone(l.LingeringHolders)) == 0
	m.gain(name, r, eventTake, Grant{
		Name: name, Fencing: fencing, PreviousProvenGone: gone, Recent: l.recentHolders(),
		Unrecorded: m.unrecorded(l), HistoryLost: m.generation > 0, EarlierCallsUntil: m.earlierCallsUntil(l, time.Now()),
	})
}

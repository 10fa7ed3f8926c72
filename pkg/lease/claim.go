package lease

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/membership"
)

// claimable reports whether the lease is free for this VM to claim at now, provided that claimWindowOpen holds and
// every VM knows of this one (see unawareVMs). Otherwise claimable returns the time at which that may change,
// zero if it cannot be foreseen. m.mu is held.
func (m *Manager) claimable(l lease, exists bool, now time.Time) (bool, time.Time) {
	if !exists {
		return true, time.Time{}
	}
	if l.Holder == "" || m.mine(l) {
		return true, time.Time{}
	}
	s, ok := m.sessions[l.Holder]
	if s.malformed {
		return false, time.Time{}
	}
	if !ok || s.Incarnation != l.Incarnation || m.fleet.Gone(l.Holder, l.Incarnation) {
		return true, time.Time{}
	}
	if s.over() {
		return true, time.Time{}
	}
	due := m.lapseTime(s)
	return !due.After(now), due
}

// lapsed reports whether the session has lapsed by now. m.mu is held.
func (m *Manager) lapsed(s session, now time.Time) bool { return !m.lapseTime(s).After(now) }

// earlierCallsUntil returns the time until which calls that the lease's holder has made may still arrive, zero if none can. The
// end of a process, which another process of the VM proves, does not end calls that are under way; a session lasts longer than
// all calls made in it, and a VM that frees a lease or announces its end says that they have ended. m.mu is held.
func (m *Manager) earlierCallsUntil(l lease, now time.Time) time.Time {
	if l.Holder == "" || m.mine(l) || m.fleet.EndAnnounced(l.Holder, l.Incarnation) {
		return time.Time{}
	}
	s, ok := m.sessions[l.Holder]
	if ok && s.Incarnation == l.Incarnation && (s.Closed || s.Lapsed || !s.Ended && m.lapsed(s, now)) {
		return time.Time{}
	}
	return now.Add(m.cfg.CallLimit + m.cfg.Margin)
}

// lapseTime returns the time from which this VM considers the session lapsed if it is not renewed.
func (m *Manager) lapseTime(s session) time.Time {
	return s.firstSeen.Add(max(s.Duration, m.cfg.Duration) + m.cfg.Margin)
}

// unawareVMs returns the VMs that may not know of this VM: those that live, and had not listed this VM's session
// when they last renewed their own. If the table goes down for them, they extend their leases without waiting
// for this VM to report the same. The session of a VM ends only after all its rights have lapsed. m.mu is held.
func (m *Manager) unawareVMs() []string {
	var list []string
	for vm, s := range m.sessions {
		if vm == m.cfg.ID || s.over() || !s.malformed && m.fleet.Gone(vm, s.Incarnation) {
			continue
		}
		if s.malformed || s.SessionVersionSeen < m.own.created {
			list = append(list, vm)
		}
	}
	return list
}

// setHeldBack records why this VM claims no lease for now, and because of which VMs, and logs each change. An
// empty reason says that the VM may claim. m.mu is held.
func (m *Manager) setHeldBack(reason string, vms []string) {
	slices.Sort(vms)
	state := reason + " " + strings.Join(vms, ",")
	if m.heldBack == state {
		return
	}
	m.heldBack = state
	fields, message := logrus.Fields{"event": "claims_free"}, "this VM may claim leases"
	if reason != "" {
		fields = logrus.Fields{"event": "claims_held_back", "reason": reason, "vms": strings.Join(vms, ",")}
		message = "this VM claims no leases for now"
	}
	m.log.WithFields(fields).Info(message)
}

// lingeringHolders returns the earlier holders whose orders may still arrive after a claim of the lease:
// those that have neither handed over nor are proven gone. A successor may have taken the lease over
// without the table, so the successors are included unless the table has responded to this VM without a
// break since before the last renewal of the holder's session, or since before the last write of a row
// that names no holder. m.mu is held.
func (m *Manager) lingeringHolders(l lease) []vmIncarnation {
	if l.version == 0 {
		return nil
	}
	candidates := slices.Clone(l.LingeringHolders)
	beforeLastWrite := l.previousLastSeen
	if l.Holder != "" {
		candidates = append(candidates, vmIncarnation{VM: l.Holder, Incarnation: l.Incarnation})
		if s, ok := m.sessions[l.Holder]; ok && s.Incarnation == l.Incarnation {
			beforeLastWrite = s.previousLastSeen
		} else {
			beforeLastWrite = time.Time{}
		}
	}
	if !m.upSinceBefore(beforeLastWrite) {
		candidates = append(candidates, l.Successors...)
	}
	return m.notGone(candidates)
}

// notGone returns the VMs that are not proven gone, without duplicates. m.mu is held.
func (m *Manager) notGone(vms []vmIncarnation) []vmIncarnation {
	var left []vmIncarnation
	for _, s := range vms {
		if !m.fleet.Gone(s.VM, s.Incarnation) && !slices.Contains(left, s) {
			left = append(left, s)
		}
	}
	return left
}

// upSinceBefore reports whether the table has responded without a break since t or earlier. m.mu is held.
func (m *Manager) upSinceBefore(t time.Time) bool {
	return !m.upSince.IsZero() && !t.Before(m.upSince)
}

// planSessionCleanup adds the end of lapsed sessions that no claim of the plan ends, and the deletion of the rows
// of sessions that ended long ago. For each row only one VM, the first in rendezvous order, does this. m.mu is
// held.
func (m *Manager) planSessionCleanup(p *plan, live []membership.Member, now time.Time) {
	if len(live) == 0 {
		// A VM that leaves does not count as live itself.
		return
	}
	for vm, s := range m.sessions {
		if vm == m.cfg.ID || s.malformed || membership.Rank(sessionPrefix+vm, memberIDs(live))[0] != m.cfg.ID {
			continue
		}
		if _, planned := p.ends[vm]; planned {
			continue
		}
		switch {
		case !s.over() && m.lapsed(s, now):
			p.end(s, true)
		case s.over():
			m.planDelete(p, s, now)
		}
	}
}

// unprovenRetention is the factor by which the session row of a VM that is not proven gone is kept longer
// than that of others, because the VM may still come back.
const unprovenRetention = 10

// planDelete adds the deletion of a session row if its retention has passed and no lease row names the VM. m.mu
// is held.
func (m *Manager) planDelete(p *plan, s session, now time.Time) {
	if now.Sub(s.firstSeen) < m.cfg.SessionRetention {
		return
	}
	if !s.Closed && !m.fleet.Gone(s.VM, s.Incarnation) && now.Sub(s.firstSeen) < unprovenRetention*m.cfg.SessionRetention {
		return
	}
	for _, l := range m.leases {
		if l.Holder == s.VM || slices.ContainsFunc(l.Successors, func(o vmIncarnation) bool { return o.VM == s.VM }) {
			return
		}
	}
	if p.deletes == nil {
		p.deletes = map[string]session{}
	}
	p.deletes[s.VM] = s
}

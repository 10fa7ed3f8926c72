package lease

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/membership"
)

// open reports whether this VM may claim the lease at now, provided that window and known hold. Otherwise it returns when that may change, zero if nothing foreseeable will do it.
// m.mu is held.
func (m *Manager) open(l lease, exists bool, now time.Time) (bool, time.Time) {
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
	due := m.lapse(s)
	return !due.After(now), due
}

// lapse returns when a session that is not renewed has lapsed in the eyes of this VM.
func (m *Manager) lapse(s session) time.Time {
	return s.since.Add(max(s.Duration, m.cfg.Duration) + m.cfg.Margin)
}

// strangers returns the VMs that could act on their peers' word that the table is down without this VM's
// word: those that live, and had not listed this VM's session when they last renewed their own. Sessions
// end after all rights of their VMs have lapsed. m.mu is held.
func (m *Manager) strangers() []string {
	var list []string
	for vm, s := range m.sessions {
		if vm == m.cfg.ID || s.over() || !s.malformed && m.fleet.Gone(vm, s.Incarnation) {
			continue
		}
		if s.malformed || s.Seen < m.own.created {
			list = append(list, vm)
		}
	}
	return list
}

// holdBack logs why this VM claims no lease for now, and because of which VMs, once for each change.
// m.mu is held.
func (m *Manager) holdBack(reason string, because []string) {
	slices.Sort(because)
	state := reason + " " + strings.Join(because, ",")
	if m.heldBack == state {
		return
	}
	m.heldBack = state
	fields := logrus.Fields{"event": "claims_free"}
	if reason != "" {
		fields = logrus.Fields{"event": "claims_held_back", "reason": reason, "vms": strings.Join(because, ",")}
	}
	m.log.WithFields(fields).Info()
}

// lingering returns the earlier holders whose orders may still arrive after a claim of the lease:
// those that have neither handed over nor are proven gone. The successors are among them unless the
// table has answered this VM from before the row's last sign of life on, because one of them may have
// taken over without the table. m.mu is held.
func (m *Manager) lingering(l lease) []successor {
	if l.version == 0 {
		return nil
	}
	suspects := slices.Clone(l.Lingering)
	sign := l.before
	if l.Holder != "" {
		suspects = append(suspects, successor{VM: l.Holder, Incarnation: l.Incarnation})
		if s, ok := m.sessions[l.Holder]; ok && s.Incarnation == l.Incarnation {
			sign = s.before
		} else {
			sign = time.Time{}
		}
	}
	if !m.upBefore(sign) {
		suspects = append(suspects, l.Successors...)
	}
	return m.notGone(suspects)
}

// notGone returns the VMs that are not proven gone, each once. m.mu is held.
func (m *Manager) notGone(vms []successor) []successor {
	var left []successor
	for _, s := range vms {
		if !m.fleet.Gone(s.VM, s.Incarnation) && !slices.Contains(left, s) {
			left = append(left, s)
		}
	}
	return left
}

// upBefore reports whether the table has answered without a break since t or before. m.mu is held.
func (m *Manager) upBefore(t time.Time) bool {
	return !m.upSince.IsZero() && !t.Before(m.upSince)
}

// planSessions ends the lapsed sessions of VMs that hold no lease, and deletes the rows of those
// that are long gone. One VM does it for each row. m.mu is held.
func (m *Manager) planSessions(p *plan, live []membership.Member, now time.Time) {
	for vm, s := range m.sessions {
		if vm == m.cfg.ID || s.malformed || membership.Rank(sessionPrefix+vm, ids(live))[0] != m.cfg.ID {
			continue
		}
		if _, planned := p.ends[vm]; planned {
			continue
		}
		switch {
		case !s.over() && !m.lapse(s).After(now):
			p.end(s)
		case s.over():
			m.planDelete(p, s, now)
		}
	}
}

// unprovenRetention is how many times longer the session row of a VM stays that has lapsed but is not
// proven gone: it may still come back.
const unprovenRetention = 10

// planDelete adds the deletion of a session row that no lease row names. m.mu is held.
func (m *Manager) planDelete(p *plan, s session, now time.Time) {
	if now.Sub(s.since) < m.cfg.SessionRetention {
		return
	}
	if !s.Closed && !m.fleet.Gone(s.VM, s.Incarnation) && now.Sub(s.since) < unprovenRetention*m.cfg.SessionRetention {
		return
	}
	for _, l := range m.leases {
		if l.Holder == s.VM || slices.ContainsFunc(l.Successors, func(o successor) bool { return o.VM == s.VM }) {
			return
		}
	}
	if p.deletes == nil {
		p.deletes = map[string]session{}
	}
	p.deletes[s.VM] = s
}

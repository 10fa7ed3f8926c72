package lease

import (
	"slices"
	"time"

	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// plan is one conditional write: the session with all that is due.
type plan struct {
	session        sessionRow
	sessionVersion uint64
	claims         []change
	confirms       []change
	releases       []change
	// notes are written with a plain renewal, by the name of the lease.
	notes map[string][]byte
	// ends are the sessions of other VMs that the write ends, deletes those it deletes.
	ends    map[string]session
	deletes map[string]session
	// due is when a claim will be due that is not part of this plan.
	due time.Time
}

// change is a new value of one lease row.
type change struct {
	name string
	row  leaseRow
	// version is the version that the row must be at, 0 if it must be absent.
	version uint64
	// state is what the previous holder passed on, note what it last wrote down.
	state, note []byte
	// target is the VM that a released lease is meant for.
	target membership.Member
}

func (c change) grant() Grant {
	return Grant{
		Name:               c.name,
		Fencing:            c.row.Fencing,
		First:              c.version == 0,
		PreviousProvenGone: len(c.row.Lingering) == 0,
		State:              c.state,
		Note:               c.note,
		Recent:             c.row.Recent,
	}
}

// alone reports whether the plan writes nothing but the session.
func (p *plan) alone() bool {
	return len(p.claims)+len(p.confirms)+len(p.releases)+len(p.ends)+len(p.deletes) == 0
}

// txn returns the plan as a transaction. Notes need no condition of their own: they are written together
// with the renewal of a session that a claim of the lease would have ended.
func (p *plan) txn(attempt string) platform.Txn {
	t := platform.Txn{Attempt: attempt}
	add := func(key string, version uint64, value []byte) {
		t.Conditions = append(t.Conditions, platform.Condition{Key: key, Version: version})
		t.Writes = append(t.Writes, platform.Write{Key: key, Value: value, Delete: value == nil})
	}
	add(sessionPrefix+p.session.VM, p.sessionVersion, encode(p.session))
	for _, list := range [][]change{p.claims, p.confirms, p.releases} {
		for _, c := range list {
			add(leasePrefix+c.name, c.version, encode(c.row))
		}
	}
	for vm, s := range p.ends {
		s.Ended = true
		add(sessionPrefix+vm, s.version, encode(s.sessionRow))
	}
	for vm, s := range p.deletes {
		add(sessionPrefix+vm, s.version, nil)
	}
	if p.alone() {
		for name, note := range p.notes {
			t.Writes = append(t.Writes, platform.Write{Key: notePrefix + name, Value: note})
		}
	}
	return t
}

// takeNotes returns what the holder's side has to write down of the leases that this VM holds.
func (m *Manager) takeNotes(now time.Time) map[string][]byte {
	m.mu.RLock()
	var held []string
	for name, r := range m.rights {
		if m.valid(r, now) {
			held = append(held, name)
		}
	}
	m.mu.RUnlock()
	// The holder's side may ask this manager for its leases: it is called without locks.
	notes := map[string][]byte{}
	for _, name := range held {
		if note := m.cfg.Note(name); note != nil {
			notes[name] = note
		}
	}
	return notes
}

// plan decides what to write. It returns nil before the first listing.
func (m *Manager) plan(listed bool, now time.Time) *plan {
	live := m.fleet.Live()
	notes := m.takeNotes(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listed {
		return nil
	}
	p := &plan{session: m.nextSession(now), sessionVersion: m.own.version, notes: notes}
	if !listed || m.own.created == 0 {
		return p
	}
	m.planConfirms(p, live, now)
	m.planReleases(p, live)
	if m.draining {
		p.session.Closed = m.drained(p)
		return p
	}
	if !m.window(now) {
		m.holdBack("VMs have not said that the table answers them", m.unvouched())
		p.wait(m.windowOpens())
		return p
	}
	if strangers := m.strangers(); len(strangers) > 0 {
		m.holdBack("VMs do not know of this one", strangers)
		return p
	}
	m.holdBack("", nil)
	m.planClaims(p, live, now)
	m.planSessions(p, live, now)
	return p
}

// nextSession returns the session row to write. m.mu is held.
func (m *Manager) nextSession(now time.Time) sessionRow {
	return sessionRow{
		VM:          m.cfg.ID,
		Incarnation: m.cfg.Incarnation,
		Address:     m.cfg.Address,
		Counter:     m.own.counter + 1,
		Duration:    m.cfg.Duration,
		Capacity:    m.cfg.Capacity,
		Seen:        m.seen,
		Draining:    m.draining,
		Able:        m.own.created != 0 && !m.draining && m.window(now) && len(m.strangers()) == 0,
	}
}

// planConfirms adds the rows of provisional rights. m.mu is held.
func (m *Manager) planConfirms(p *plan, live []membership.Member, now time.Time) {
	for name, r := range m.rights {
		if r.life.State() != stateProvisional || !m.valid(r, now) {
			continue
		}
		row := m.row(name, r.grant.Fencing, live)
		row.Lingering = m.notGone(m.leases[name].Lingering)
		row.Recent = m.leases[name].remember()
		p.confirms = append(p.confirms, change{name: name, row: row, version: r.taken})
	}
}

// planReleases adds the rows of leases that this VM has given up and that still name it. m.mu is held.
func (m *Manager) planReleases(p *plan, live []membership.Member) {
	for name, state := range m.released {
		l := m.leases[name]
		if !m.mine(l) {
			m.endRelease(name)
			continue
		}
		row := l.leaseRow
		row.Recent = row.remember()
		row.Holder, row.Incarnation, row.Address = "", "", ""
		row.State = state
		row.Lingering = m.notGone(slices.DeleteFunc(slices.Clone(l.Lingering), m.isSelf))
		c := change{name: name, row: row, version: l.version, target: m.firstOther(name, live)}
		c.row.For = c.target.ID
		p.releases = append(p.releases, c)
	}
}

func (m *Manager) isSelf(s successor) bool {
	return s.VM == m.cfg.ID && s.Incarnation == m.cfg.Incarnation
}

// drained reports whether no lease names this VM once p is written. m.mu is held.
func (m *Manager) drained(p *plan) bool {
	mine := 0
	for _, l := range m.leases {
		if m.mine(l) {
			mine++
		}
	}
	return mine == len(p.releases) && len(p.confirms) == 0
}

// planClaims adds the leases that this VM may claim at now. m.mu is held.
func (m *Manager) planClaims(p *plan, live []membership.Member, now time.Time) {
	for _, name := range m.cfg.Names() {
		l, exists := m.leases[name]
		open, due := m.open(l, exists, now)
		if !open {
			delete(m.openSince, name)
			p.wait(due)
			continue
		}
		if !exists && now.Before(m.windowOpens()) {
			// The fleet is starting: the VMs that come first would claim what others are to hold.
			p.wait(m.windowOpens())
			continue
		}
		if m.believed(name) || m.releasing[name] || l.malformed || m.highestClaim(name, false) > l.Fencing {
			continue
		}
		if due = m.turn(name, l, live, now); due.After(now) {
			p.wait(due)
			continue
		}
		m.planClaim(p, name, l, live)
	}
}

// wait keeps the earliest time at which something will be due.
func (p *plan) wait(due time.Time) {
	if !due.IsZero() && (p.due.IsZero() || due.Before(p.due)) {
		p.due = due
	}
}

// believed reports whether this VM holds the lease already. m.mu is held.
func (m *Manager) believed(name string) bool {
	r := m.rights[name]
	return r != nil && (r.life.State() == stateHeld || r.life.State() == stateProvisional)
}

// turn returns when this VM may claim an open lease: the VM that it is meant for and the first one in
// rendezvous order at once, each further one a step later. m.mu is held.
func (m *Manager) turn(name string, l lease, live []membership.Member, now time.Time) time.Time {
	if _, ok := m.openSince[name]; !ok {
		m.openSince[name] = now
	}
	rank := slices.Index(membership.Rank(name, ids(live)), m.cfg.ID)
	if rank < 0 {
		rank = len(live)
	}
	if l.Holder == "" && l.For == m.cfg.ID {
		rank = 0
	}
	at := m.openSince[name].Add(time.Duration(rank) * m.cfg.RankStep)
	if until := m.yieldUntil[name]; until.After(at) {
		return until
	}
	return at
}

// planClaim adds one claim. m.mu is held.
func (m *Manager) planClaim(p *plan, name string, l lease, live []membership.Member) {
	c := change{name: name, row: m.row(name, nextFencing(l.Fencing), live), version: l.version}
	c.row.Lingering = m.lingering(l)
	c.row.Recent = l.remember()
	c.note = m.notes[name]
	if l.Holder == "" {
		c.state = l.State
	}
	m.fire(name, m.right(name), eventClaim)
	p.claims = append(p.claims, c)
	// The claim ends the holder's session, or rests on its being over: it must not have been renewed
	// or revived since. A session of a later incarnation is another matter.
	if s, ok := m.sessions[l.Holder]; ok && l.Holder != m.cfg.ID && s.Incarnation == l.Incarnation {
		p.end(s)
	}
}

// end adds a session to end.
func (p *plan) end(s session) {
	if p.ends == nil {
		p.ends = map[string]session{}
	}
	p.ends[s.VM] = s
}

// row returns a lease row that names this VM. m.mu is held.
func (m *Manager) row(name string, fencing uint64, live []membership.Member) leaseRow {
	row := leaseRow{Holder: m.cfg.ID, Incarnation: m.cfg.Incarnation, Address: m.cfg.Address, Fencing: fencing}
	byID := map[string]membership.Member{}
	for _, member := range live {
		byID[member.ID] = member
	}
	for _, id := range membership.Rank(name, ids(live)) {
		if id == m.cfg.ID || len(row.Successors) == maxSuccessors {
			continue
		}
		row.Successors = append(row.Successors, successor{VM: id, Incarnation: byID[id].Incarnation})
	}
	return row
}

// firstOther returns the first live VM other than this one in rendezvous order.
func (m *Manager) firstOther(name string, live []membership.Member) membership.Member {
	for _, id := range membership.Rank(name, ids(live)) {
		if id == m.cfg.ID {
			continue
		}
		for _, member := range live {
			if member.ID == id {
				return member
			}
		}
	}
	return membership.Member{}
}

func ids(members []membership.Member) []string {
	list := make([]string, len(members))
	for i, member := range members {
		list[i] = member.ID
	}
	return list
}

package lease

import (
	"slices"
	"time"

	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// plan is one conditional write: this VM's session with all other changes that are due.
type plan struct {
	session        sessionRow
	sessionVersion uint64
	claims         []rowChange
	confirms       []rowChange
	releases       []rowChange
	// notes maps lease names to the notes to write. They are written only if the plan renews the session and
	// does nothing else.
	notes map[string][]byte
	// ends are the sessions of other VMs that the write ends, deletes those whose rows it deletes, both by VM.
	ends    map[string]session
	deletes map[string]session
	// due is when the next claim that is not part of this plan will be due; zero if none is foreseen.
	due time.Time
}

// rowChange is a new value of one lease row.
type rowChange struct {
	name string
	row  leaseRow
	// version is the version that the row must have, 0 if the row must be absent.
	version uint64
	// state is the data that the previous holder passed on at a handover, note its last note.
	state, note []byte
	// target is the VM to which a released lease is handed over.
	target membership.Member
	// generation is the generation of the table service, replacedFencing the fencing number that the row had.
	generation, replacedFencing uint64
	// unrecorded and earlierCallsUntil are the fields of the same names in the grant.
	unrecorded        bool
	earlierCallsUntil time.Time
}

func (c rowChange) grant() Grant {
	return Grant{
		Name:               c.name,
		Fencing:            c.row.Fencing,
		NeverHeldBefore:    c.version == 0 && c.generation == 0,
		PreviousProvenGone: len(c.row.LingeringHolders) == 0 && claimedInGeneration(c.replacedFencing, c.generation),
		EarlierCallsUntil:  c.earlierCallsUntil,
		State:              c.state,
		Note:               c.note,
		Recent:             c.row.Recent,
		Unrecorded:         c.unrecorded,
		HistoryLost:        c.generation > 0,
	}
}

// sessionOnly reports whether the plan writes nothing but the session, apart from notes.
func (p *plan) sessionOnly() bool {
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
	for _, list := range [][]rowChange{p.claims, p.confirms, p.releases} {
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
	if p.sessionOnly() {
		for name, note := range p.notes {
			t.Writes = append(t.Writes, platform.Write{Key: notePrefix + name, Value: note})
		}
	}
	return t
}

// collectNotes returns the notes to write for the leases that this VM holds.
func (m *Manager) collectNotes(now time.Time) map[string][]byte {
	m.mu.RLock()
	var held []string
	for name, r := range m.rights {
		if m.valid(r, now) {
			held = append(held, name)
		}
	}
	m.mu.RUnlock()
	// Note is called without m.mu, because the callback may call methods of this manager.
	notes := map[string][]byte{}
	for _, name := range held {
		if note := m.cfg.Note(name); note != nil {
			notes[name] = note
		}
	}
	return notes
}

// plan decides what to write. It returns nil before the first listing. listed says whether the rows have just
// been listed; without that, the plan only renews the session.
func (m *Manager) plan(listed bool, now time.Time) *plan {
	live := m.fleet.Live()
	notes := m.collectNotes(now)
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
	m.planReleases(p, live, now)
	if m.draining {
		p.session.Closed = m.drained(p)
		return p
	}
	if !m.claimWindowOpen(now) {
		m.setHeldBack("some VMs have not reported that the lease table responds to them", m.unconfirmedVMs())
		p.noteDue(m.claimWindowStart())
		return p
	}
	if unaware := m.unawareVMs(); len(unaware) > 0 {
		m.setHeldBack("some VMs have not listed the session of this VM", unaware)
		return p
	}
	m.setHeldBack("", nil)
	m.planClaims(p, live, now)
	m.planSessionCleanup(p, live, now)
	return p
}

// nextSession returns the session row to write. m.mu is held.
func (m *Manager) nextSession(now time.Time) sessionRow {
	return sessionRow{
		VM:                 m.cfg.ID,
		Incarnation:        m.cfg.Incarnation,
		Address:            m.cfg.Address,
		Counter:            m.own.counter + 1,
		Duration:           m.cfg.Duration,
		Capacity:           m.cfg.Capacity,
		SessionVersionSeen: m.sessionVersionSeen,
		SettledGeneration:  m.settledGeneration,
		Draining:           m.draining,
		CanClaim:           m.own.created != 0 && !m.draining && m.claimWindowOpen(now) && len(m.unawareVMs()) == 0,
	}
}

// planConfirms adds the rows that confirm provisional rights. m.mu is held.
func (m *Manager) planConfirms(p *plan, live []membership.Member, now time.Time) {
	for name, r := range m.rights {
		if r.lifecycle.State() != stateProvisional || !m.valid(r, now) {
			continue
		}
		row := m.newRow(name, r.grant.Fencing, live)
		row.LingeringHolders = m.notGone(m.leases[name].LingeringHolders)
		row.Recent = m.leases[name].recentHolders()
		p.confirms = append(p.confirms, rowChange{name: name, row: row, version: r.replacedVersion})
	}
}

// planReleases adds the rows of leases that this VM has given up and that still name it. m.mu is held.
func (m *Manager) planReleases(p *plan, live []membership.Member, now time.Time) {
	if m.gathering(now) {
		return
	}
	for name, state := range m.released {
		l := m.leases[name]
		if !m.mine(l) {
			m.clearRelease(name)
			continue
		}
		row := l.leaseRow
		row.Recent = row.recentHolders()
		row.Holder, row.Incarnation, row.Address = "", "", ""
		row.State = state
		row.LingeringHolders = m.notGone(slices.DeleteFunc(slices.Clone(l.LingeringHolders), m.isSelf))
		c := rowChange{name: name, row: row, version: l.version, target: m.firstOther(name, live)}
		c.row.IntendedHolder = c.target.ID
		p.releases = append(p.releases, c)
	}
}

func (m *Manager) isSelf(s vmIncarnation) bool {
	return s.VM == m.cfg.ID && s.Incarnation == m.cfg.Incarnation
}

// drained reports whether no lease row will name this VM once p is written, and no call under a lease is under way. m.mu is held.
func (m *Manager) drained(p *plan) bool {
	mine := 0
	for _, l := range m.leases {
		if m.mine(l) {
			mine++
		}
	}
	for _, r := range m.rights {
		if r.lifecycle.State() == stateSettling {
			return false
		}
	}
	return mine == len(p.releases) && len(p.confirms) == 0
}

// planClaims adds the leases that this VM may claim at now. m.mu is held.
func (m *Manager) planClaims(p *plan, live []membership.Member, now time.Time) {
	for _, name := range m.cfg.Names() {
		l, exists := m.leases[name]
		open, due := m.claimable(l, exists, now)
		if !open {
			delete(m.claimableSince, name)
			p.noteDue(due)
			continue
		}
		if !exists && now.Before(m.claimWindowStart()) {
			// The fleet may be starting: the VMs that are up first would claim leases that belong on others.
			p.noteDue(m.claimWindowStart())
			continue
		}
		if m.hasRight(name) || m.releasing[name] || l.malformed || m.highestClaim(name, false) > l.Fencing {
			continue
		}
		if due = m.claimTime(name, l, live, now); due.After(now) {
			p.noteDue(due)
			continue
		}
		m.planClaim(p, name, l, live, now)
	}
}

// noteDue sets due to the given time if that is earlier. A zero time is ignored.
func (p *plan) noteDue(due time.Time) {
	if !due.IsZero() && (p.due.IsZero() || due.Before(p.due)) {
		p.due = due
	}
}

// hasRight reports whether this VM's right to the lease is held or provisional; it may have lapsed. m.mu is held.
func (m *Manager) hasRight(name string) bool {
	r := m.rights[name]
	return r != nil && (r.lifecycle.State() == stateHeld || r.lifecycle.State() == stateProvisional)
}

// claimTime returns when this VM may claim a lease that is claimable. The intended holder and the first VM in
// rendezvous order may claim at once, each further VM one RankStep later. m.mu is held.
func (m *Manager) claimTime(name string, l lease, live []membership.Member, now time.Time) time.Time {
	if _, ok := m.claimableSince[name]; !ok {
		m.claimableSince[name] = now
	}
	rank := slices.Index(membership.Rank(name, memberIDs(live)), m.cfg.ID)
	if rank < 0 {
		rank = len(live)
	}
	if l.Holder == "" && l.IntendedHolder == m.cfg.ID {
		rank = 0
	}
	at := m.claimableSince[name].Add(time.Duration(rank) * m.cfg.RankStep)
	if until := m.noClaimBefore[name]; until.After(at) {
		return until
	}
	return at
}

// planClaim adds one claim. m.mu is held.
func (m *Manager) planClaim(p *plan, name string, l lease, live []membership.Member, now time.Time) {
	c := rowChange{
		name: name, row: m.newRow(name, nextFencing(l.Fencing, m.generation), live), version: l.version,
		generation: m.generation, replacedFencing: l.Fencing, unrecorded: m.unrecorded(l),
		earlierCallsUntil: m.earlierCallsUntil(l, now),
	}
	c.row.LingeringHolders = m.lingeringHolders(l)
	c.row.Recent = l.recentHolders()
	c.note = m.notes[name]
	if l.Holder == "" {
		c.state = l.State
	}
	m.fire(name, m.right(name), eventClaim)
	p.claims = append(p.claims, c)
	// The claim ends the holder's session, or requires that it is over: the write must fail if the session has
	// been renewed or revived since. The session of a later incarnation does not matter.
	if s, ok := m.sessions[l.Holder]; ok && l.Holder != m.cfg.ID && s.Incarnation == l.Incarnation {
		p.end(s, m.lapsed(s, now))
	}
}

// unrecorded reports whether a VM may have held the lease later than the row shows. m.mu is held.
func (m *Manager) unrecorded(l lease) bool {
	handedOver := l.version != 0 && l.Holder == ""
	return handedOver || !claimedInGeneration(l.Fencing, m.generation)
}

// end adds a session to those that the plan ends. lapsed says that it has lapsed.
func (p *plan) end(s session, lapsed bool) {
	if p.ends == nil {
		p.ends = map[string]session{}
	}
	s.Lapsed = s.Lapsed || lapsed
	p.ends[s.VM] = s
}

// newRow returns a lease row that names this VM as the holder, with successors in rendezvous order. m.mu is held.
func (m *Manager) newRow(name string, fencing uint64, live []membership.Member) leaseRow {
	row := leaseRow{Holder: m.cfg.ID, Incarnation: m.cfg.Incarnation, Address: m.cfg.Address, Fencing: fencing}
	byID := map[string]membership.Member{}
	for _, member := range live {
		byID[member.ID] = member
	}
	for _, id := range membership.Rank(name, memberIDs(live)) {
		if id == m.cfg.ID || len(row.Successors) == maxSuccessors {
			continue
		}
		row.Successors = append(row.Successors, vmIncarnation{VM: id, Incarnation: byID[id].Incarnation})
	}
	return row
}

// firstOther returns the first live VM in rendezvous order other than this one, or a zero Member.
func (m *Manager) firstOther(name string, live []membership.Member) membership.Member {
	for _, id := range membership.Rank(name, memberIDs(live)) {
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

func memberIDs(members []membership.Member) []string {
	list := make([]string, len(members))
	for i, member := range members {
		list[i] = member.ID
	}
	return list
}

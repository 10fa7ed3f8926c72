package lease

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// tick lists the rows, and writes this VM's session together with every claim, confirmation and
// handover that is due. It returns the time at which the next claim will be due, zero if none is foreseen.
func (m *Manager) tick(ctx context.Context) time.Time {
	if m.isClosed() {
		return time.Time{}
	}
	if m.canSkipListing(time.Now()) {
		m.commit(ctx, m.plan(false, time.Now()))
		if !m.listingRequired() {
			return time.Time{}
		}
	}
	listed := m.refresh(ctx)
	p := m.plan(listed, time.Now())
	if p == nil {
		m.markDown("list")
		return time.Time{}
	}
	written := m.commit(ctx, p)
	m.cfg.OnListed()
	if listed && written {
		m.markUp()
	}
	return p.due
}

// canSkipListing reports whether the rows need not be listed now: they were listed recently, nothing has changed
// since, and every lease has a holder that is live and does not report the table as down.
func (m *Manager) canSkipListing(now time.Time) bool {
	members := m.fleet.Live()
	m.mu.Lock()
	defer m.mu.Unlock()
	live := map[string]bool{}
	allListed := true
	for _, member := range members {
		live[member.ID] = !member.StoreDown
		// A VM whose session this VM has not listed yet claims nothing until this VM has.
		allListed = allListed && (member.ID == m.cfg.ID || m.sessions[member.ID].Incarnation == member.Incarnation)
	}
	woken := m.woken || !allListed
	m.woken = false
	if woken || m.draining || m.upSince.IsZero() || m.own.created == 0 || now.Sub(m.rowsCurrentAt) >= m.cfg.ListPeriod {
		return false
	}
	if len(m.released) > 0 || len(m.releasing) > 0 || len(m.own.unresolved) > 0 {
		return false
	}
	for _, name := range m.cfg.Names() {
		if holder := m.leases[name].Holder; holder == "" || holder != m.cfg.ID && !live[holder] {
			return false
		}
	}
	for vm, s := range m.sessions {
		if vm != m.cfg.ID && !s.over() && !live[vm] {
			return false
		}
	}
	return true
}

// requireListing makes the next tick list the rows, or this one if it has not done so.
func (m *Manager) requireListing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.woken = true
}

// listingRequired reports whether requireListing has been called, or the VM woken, since canSkipListing was.
func (m *Manager) listingRequired() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.woken
}

func (m *Manager) isClosed() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.closed
}

// markDown records that the table does not respond.
func (m *Manager) markDown(cause string) {
	m.mu.Lock()
	was := m.upSince
	m.upSince = time.Time{}
	m.mu.Unlock()
	if !was.IsZero() {
		m.log.WithFields(logrus.Fields{"event": "store_down", "cause": cause}).Warn("lease table does not respond")
		m.fleet.Announce()
	}
}

// markUp records that the table responds.
func (m *Manager) markUp() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.upSince.IsZero() {
		m.upSince = time.Now()
		m.log.WithField("event", "store_up").Info("lease table responds")
	}
}

// claimWindowOpen reports whether a claim is safe from VMs that extend their leases because their peers report the
// table as down, and from VMs whose claims the table has lost. Then no VM can hold a lease that way, except leases that it
// announces as its claims: either the table has responded for long enough, or every VM reports that the table responds to
// it. m.mu is held.
func (m *Manager) claimWindowOpen(now time.Time) bool {
	if m.upSince.IsZero() {
		return false
	}
	return !now.Before(m.claimWindowStart()) || (m.settled() || m.formerComplete) && len(m.unconfirmedVMs()) == 0
}

// unconfirmedVMs returns the VMs that could hold a lease extended on their peers' reports or by a claim that the table
// has lost, and that have not reported, since the table began to respond to this VM, that the table responds to them too
// and in the same generation. Once they have, none of them can still rely on an earlier report of this VM that the table
// is down. m.mu is held.
func (m *Manager) unconfirmedVMs() []string {
	var list []string
	for vm, s := range m.sessions {
		if m.unconfirmed(s) {
			list = append(list, vm)
		}
	}
	for vm, s := range m.formerSessions {
		if m.sessions[vm].Incarnation != s.Incarnation && m.unconfirmed(s) {
			list = append(list, vm)
		}
	}
	return list
}

// unconfirmed reports whether unconfirmedVMs contains the VM of a session. m.mu is held.
func (m *Manager) unconfirmed(s session) bool {
	if s.VM == m.cfg.ID || s.over() || !s.malformed && m.fleet.Gone(s.VM, s.Incarnation) {
		return false
	}
	answer, ok := m.fleet.LastReply(s.VM, s.Incarnation)
	status := answer.Beat.Status
	return s.malformed || !ok || !answer.Sent.After(m.upSince) || status.StoreDown || status.StoreGeneration != m.generation
}

// claimWindowStart returns the time from which claimWindowOpen holds without reports of other VMs, zero while the
// table is down. m.mu is held.
func (m *Manager) claimWindowStart() time.Time {
	if m.upSince.IsZero() {
		return time.Time{}
	}
	return m.upSince.Add(m.longestDuration() + m.cfg.Margin)
}

// longestDuration returns the longest duration of any VM's session: VMs with other settings may extend
// their leases for longer on their peers' reports. m.mu is held.
func (m *Manager) longestDuration() time.Duration {
	longest := m.cfg.Duration
	for _, sessions := range []map[string]session{m.sessions, m.formerSessions} {
		for _, s := range sessions {
			longest = max(longest, s.Duration)
		}
	}
	return longest
}

// refresh lists the rows. It reports false if the table did not respond.
func (m *Manager) refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.StoreTimeout)
	defer cancel()
	sent := clock.Now()
	rows, err := m.table.List(ctx, rowPrefix)
	if err != nil {
		m.markDown("list")
		return false
	}
	sessions, leases, notes := splitRows(rows)
	now := time.Now()
	m.mu.Lock()
	m.enterGeneration(m.listedGeneration(rows), now)
	m.storeSessions(sessions, now)
	m.updateSettled(now)
	m.storeLeases(leases, now)
	m.notes = notes
	m.listed = true
	m.rowsCurrentAt = sent
	m.syncOwnSession(now)
	m.reconcile(now)
	sightings := m.sightings(now)
	m.mu.Unlock()
	for _, sighting := range sightings {
		m.fleet.RecordSession(sighting)
	}
	return true
}

// splitRows separates the rows into session rows, lease rows and notes. Notes are returned by lease name.
func splitRows(rows []platform.Row) (sessions, leases []platform.Row, notes map[string][]byte) {
	notes = map[string][]byte{}
	for _, row := range rows {
		if name, ok := strings.CutPrefix(row.Key, notePrefix); ok {
			notes[name] = row.Value
		}
		switch {
		case strings.HasPrefix(row.Key, sessionPrefix):
			sessions = append(sessions, row)
		case strings.HasPrefix(row.Key, leasePrefix):
			leases = append(leases, row)
		}
	}
	return sessions, leases, notes
}

// sightings returns, for the membership registry, what the listing at now shows of the VMs. m.mu is held.
func (m *Manager) sightings(now time.Time) []membership.SessionUpdate {
	var list []membership.SessionUpdate
	for vm, s := range m.sessions {
		if s.Closed || s.malformed {
			continue
		}
		list = append(list, membership.SessionUpdate{
			ID: vm, Incarnation: s.Incarnation, PeerAddress: s.Address,
			Renewed: s.firstSeen.Equal(now) && !s.previousLastSeen.IsZero() && !s.Ended, Draining: s.Draining,
		})
	}
	return list
}

// storeSessions replaces the known session rows with those of a listing. m.mu is held.
func (m *Manager) storeSessions(rows []platform.Row, now time.Time) {
	sessions := make(map[string]session, len(rows))
	for _, row := range rows {
		m.sessionVersionSeen = max(m.sessionVersionSeen, row.Version)
		value, err := decodeSession(row)
		if err != nil {
			m.log.WithError(err).WithField("event", "session_row_malformed").Error("cannot decode a session row")
			value = sessionRow{malformed: true}
		}
		value.VM = strings.TrimPrefix(row.Key, sessionPrefix)
		old := sameGeneration(m.sessions[value.VM], row.Version)
		sessions[value.VM] = session{
			sessionRow: value,
			rowTimes:   old.updated(now, old.version == row.Version),
			version:    row.Version,
			attempt:    row.Attempt,
		}
	}
	m.sessions = sessions
}

// storeLeases replaces the known lease rows with those of a listing. m.mu is held.
func (m *Manager) storeLeases(rows []platform.Row, now time.Time) {
	leases := make(map[string]lease, len(rows))
	for _, row := range rows {
		m.leaseVersionSeen = max(m.leaseVersionSeen, row.Version)
		name := strings.TrimPrefix(row.Key, leasePrefix)
		value, err := decodeLease(row)
		if err != nil {
			m.log.WithError(err).WithField("event", "lease_row_malformed").Error("cannot decode a lease row")
			value = leaseRow{malformed: true}
		}
		old := m.leases[name]
		leases[name] = lease{
			leaseRow: value,
			rowTimes: old.updated(now, old.version == row.Version),
			version:  row.Version,
		}
	}
	m.leases = leases
}

// syncOwnSession compares this VM's session with its row as listed. A row that a write of unknown outcome has left
// counts as a renewal; any other change ends the session. m.mu is held.
func (m *Manager) syncOwnSession(now time.Time) {
	s, ok := m.sessions[m.cfg.ID]
	if ok && s.version == m.own.version {
		return
	}
	if !ok && m.own.version == 0 {
		return
	}
	sent, own := m.own.unresolved[s.attempt]
	if ok && own {
		if m.own.created == 0 {
			m.own.created, m.own.createdAt = s.version, now
		}
		m.applyRenewal(s.version, sent, now)
		return
	}
	if ok && m.resumes(s) {
		m.own.version = s.version
		return
	}
	// Another VM has ended the session, or an earlier process on this VM has left a row behind.
	m.loseHeld(eventSuperseded)
	m.own.created = 0
	m.own.version = s.version
	m.own.unresolved = map[string]time.Time{}
}

// applyRenewal applies a write of this VM's session that was sent at sent. A right that had lapsed
// before stays lost. m.mu is held.
func (m *Manager) applyRenewal(version uint64, sent, now time.Time) {
	if clock.Elapsed(m.own.validFrom, now) >= m.cfg.Duration {
		m.loseHeld(eventLapsed)
	}
	m.own.version = version
	m.own.unresolved = map[string]time.Time{}
	if sent.After(m.own.validFrom) {
		m.own.validFrom = sent
	}
}

// loseHeld ends every right that depends on the session. m.mu is held.
func (m *Manager) loseHeld(event chart.Event) {
	for name, r := range m.rights {
		if r.lifecycle.State() == stateHeld {
			m.lose(name, event, nil)
		}
	}
}

// reconcile compares the rights with the rows listed: it ends rights that the rows contradict, and turns
// provisional rights that the rows confirm into held ones. m.mu is held.
func (m *Manager) reconcile(now time.Time) {
	for name, r := range m.rights {
		l := m.leases[name]
		sameGrant := m.mine(l) && l.Fencing == r.grant.Fencing
		switch r.lifecycle.State() {
		case stateHeld:
			if !sameGrant {
				m.lose(name, eventSuperseded, nil)
			}
		case stateProvisional:
			if sameGrant && m.valid(r, now) {
				m.fire(name, r, eventGranted)
			} else if l.version != r.replacedVersion {
				m.lose(name, eventSuperseded, nil)
			}
		}
	}
}

// commit writes a plan to the table and applies the outcome. It reports whether the table responded.
func (m *Manager) commit(ctx context.Context, p *plan) bool {
	txn := p.txn(uuid.NewString())
	sent := clock.Now()
	version, err := m.write(ctx, txn)
	switch {
	case err == nil:
		m.applyWritten(p, version, sent)
		if len(p.claims) > 0 {
			m.fleet.Announce()
		}
		m.wakeIntendedHolders(ctx, p)
		return true
	case errors.Is(err, platform.ErrConflict):
		m.applyRefused(p)
		// The session must not lapse because a claim conflicted with another VM's: it is renewed without the claims.
		return m.renewSessionOnly(ctx, p)
	case errors.Is(err, platform.ErrUnavailable):
		m.applyRefused(p)
	default:
		m.mu.Lock()
		m.own.unresolved[txn.Attempt] = sent
		m.mu.Unlock()
		m.applyRefused(p)
	}
	m.markDown("commit")
	return false
}

func (m *Manager) write(ctx context.Context, txn platform.Txn) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.StoreTimeout)
	defer cancel()
	return m.table.Commit(ctx, txn)
}

// renewSessionOnly writes the session of a plan without its other writes.
func (m *Manager) renewSessionOnly(ctx context.Context, p *plan) bool {
	if p.sessionOnly() {
		// The row of this VM's session is not as expected.
		m.requireListing()
		return true
	}
	return m.commit(ctx, &plan{session: p.session, sessionVersion: p.sessionVersion})
}

// applyWritten updates the state after a plan whose write is known to have taken effect.
func (m *Manager) applyWritten(p *plan, version uint64, sent time.Time) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.own.created == 0 {
		m.own.created, m.own.createdAt = version, now
	}
	m.own.counter = p.session.Counter
	m.applyRenewal(version, sent, now)
	m.closed = p.session.Closed
	for vm, ended := range p.ends {
		ended.Ended = true
		ended.version = version
		m.sessions[vm] = ended
	}
	for _, c := range p.claims {
		m.storeWritten(c, version, now)
		delete(m.claimableSince, c.name)
		m.gain(c.name, m.right(c.name), eventGranted, c.grant())
	}
	for _, c := range p.confirms {
		m.storeWritten(c, version, now)
		m.fire(c.name, m.right(c.name), eventGranted)
	}
	for _, c := range p.releases {
		m.storeWritten(c, version, now)
		m.clearRelease(c.name)
	}
}

// storeWritten records a lease row that this VM has written. m.mu is held.
func (m *Manager) storeWritten(c rowChange, version uint64, now time.Time) {
	m.leases[c.name] = lease{leaseRow: c.row, rowTimes: rowTimes{firstSeen: now, lastSeen: now, previousLastSeen: now}, version: version}
}

// applyRefused updates the state after a plan whose claims must not be acted on: they conflicted with another
// VM's write, were not written, or may have been written. In the last case the row may name this VM, which then
// claims the lease again.
func (m *Manager) applyRefused(p *plan) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range p.claims {
		m.fire(c.name, m.right(c.name), eventRefused)
	}
}

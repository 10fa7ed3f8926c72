package lease

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// Default settings of the manager.
const (
	DefaultPeriod            = time.Second
	DefaultDuration          = 3 * time.Second
	DefaultMargin            = 300 * time.Millisecond
	DefaultStoreTimeout      = 800 * time.Millisecond
	DefaultRankStep          = 300 * time.Millisecond
	DefaultGuardInterval     = 200 * time.Millisecond
	DefaultRebalanceInterval = 10 * time.Second
	DefaultSessionRetention  = time.Minute

	// callLimitShare is the part of Duration that CallLimit is by default.
	callLimitShare = 3
)

// Config describes this VM and sets the manager's timing and callbacks.
type Config struct {
	ID          string
	Incarnation string
	Address     string
	// Capacity is this VM's relative capacity for work, compared with other VMs.
	Capacity float64
	// OnListed is called after the rows have been listed or written. It may be nil.
	OnListed func()
	// Names returns the names of the leases that must always have a holder.
	Names func() []string
	// State returns the data to pass on to the next holder of a lease that is handed over. It is called
	// after LeaseLost for that lease. It may be nil.
	State func(name string) []byte
	// Settled returns a channel that is closed once no call that this VM has made under the lease can still arrive anywhere. It is
	// called after LeaseLost for a lease that this VM gives up, which is free for other VMs only then. Nil stands for a closed channel.
	// It may be nil.
	Settled func(name string) <-chan struct{}
	// Note returns data on a lease that this VM holds, for the next holder. The data is written with each renewal,
	// so that it survives a failure of this VM. Note may be nil, and may return nil if there is nothing to write.
	Note func(name string) []byte
	// ListPeriod is the time between two listings of the table while nothing changes.
	ListPeriod time.Duration
	// Period is the time between two renewals, Duration the time for which a renewal is valid.
	Period   time.Duration
	Duration time.Duration
	// Margin is the time that a claimant waits on top of Duration, because the clocks of VMs drift apart.
	Margin time.Duration
	// CallLimit bounds the time for which a call that was made under a lease may be under way. It is less than Duration minus Period,
	// so that calls are possible at all times while the table responds.
	CallLimit time.Duration
	// StoreTimeout bounds each call of the table service.
	StoreTimeout time.Duration
	// RankStep is the additional wait of each VM after the first in rendezvous order before it claims a free lease.
	RankStep time.Duration
	// GuardInterval is the time between two checks for lapsed leases.
	GuardInterval time.Duration
	// RebalanceInterval is the time between two handovers that spread leases over the fleet.
	RebalanceInterval time.Duration
	// SessionRetention is how long the session row of a VM that has stopped stays in the table.
	SessionRetention time.Duration
}

func (c *Config) setDefaults() {
	setDefault(&c.Period, DefaultPeriod)
	setDefault(&c.Duration, DefaultDuration)
	setDefault(&c.ListPeriod, c.Period)
	setDefault(&c.Margin, DefaultMargin)
	setDefault(&c.CallLimit, c.Duration/callLimitShare)
	setDefault(&c.StoreTimeout, DefaultStoreTimeout)
	setDefault(&c.RankStep, DefaultRankStep)
	setDefault(&c.GuardInterval, DefaultGuardInterval)
	setDefault(&c.RebalanceInterval, DefaultRebalanceInterval)
	setDefault(&c.SessionRetention, DefaultSessionRetention)
	if c.OnListed == nil {
		c.OnListed = func() {}
	}
	if c.State == nil {
		c.State = func(string) []byte { return nil }
	}
	if c.Settled == nil {
		c.Settled = func(string) <-chan struct{} { return nil }
	}
	if c.Note == nil {
		c.Note = func(string) []byte { return nil }
	}
}

func setDefault(v *time.Duration, def time.Duration) {
	if *v == 0 {
		*v = def
	}
}

// CallsEndAfter returns how long calls of a process may still arrive after its end, for leases of the given duration with the default
// limits.
func CallsEndAfter(duration time.Duration) time.Duration {
	return duration/callLimitShare + DefaultMargin
}

// Fleet is the part of membership.Registry that the manager uses.
type Fleet interface {
	Live() []membership.Member
	// Gone reports whether the given incarnation of the VM is proven gone.
	Gone(id, incarnation string) bool
	// LastReply returns the last response of the given incarnation to a heartbeat of this VM.
	LastReply(id, incarnation string) (membership.Reply, bool)
	// EndAnnounced reports whether the given incarnation has announced its end, and its calls have ended by what it announced.
	EndAnnounced(id, incarnation string) bool
	// Claims returns the leases that the given incarnation last claimed.
	Claims(id, incarnation string) []membership.Claim
	// Announce notifies the other VMs at once of this VM's claims.
	Announce()
	// AnnounceToAll sends a heartbeat to every VM at once, including VMs that do not get one regularly from this VM.
	AnnounceToAll()
	// RecordSession records what the table shows of a VM.
	RecordSession(seen membership.SessionUpdate)
}

// Manager holds and claims leases for this VM. One goroutine reads and writes the table; another checks
// for lapsed leases and, while the table does not respond, for leases to extend or take over. Manager is safe
// for concurrent use.
type Manager struct {
	cfg        Config
	table      platform.Table
	fleet      Fleet
	peerClient peer.Client
	log        logrus.FieldLogger
	events     *notifier
	wake       chan struct{}

	mu sync.RWMutex
	// The fields below are guarded by mu.

	own      ownSession
	sessions map[string]session // as last listed, by VM
	leases   map[string]lease   // as last listed, by lease name
	notes    map[string][]byte  // as last listed, by lease name
	listed   bool               // the maps above hold a complete listing
	// rowsCurrentAt is the time up to which sessions and leases are known to be current: when the listing was
	// requested, or later if all peers have reported since that the table was down for them too.
	rowsCurrentAt time.Time
	// generation is the generation of the table service that was listed last, settledGeneration the highest one that is
	// known to have settled. See generation.go.
	generation, settledGeneration uint64
	// formerSessions are the sessions listed in earlier generations that have not settled, by VM; they are complete if
	// formerComplete is set.
	formerSessions map[string]session
	formerComplete bool
	// sessionVersionSeen and leaseVersionSeen are the highest table versions of the session and lease rows listed.
	sessionVersionSeen, leaseVersionSeen uint64
	// rights are this VM's rights by lease name.
	rights map[string]*right
	// upSince is when the table began to respond without a break; zero while it is down.
	upSince time.Time
	// claimableSince is when each lease was first found claimable; holderGoneSince when each lease's
	// holder was first found proven gone during an outage of the table.
	claimableSince, holderGoneSince map[string]time.Time
	// releasing are the leases given up whose rows still name this VM as the holder. released holds, for those
	// of them whose loss the listener has handled, the state to pass on.
	releasing map[string]bool
	released  map[string][]byte
	// settlingSince is when each lease was given up whose calls are not settled.
	settlingSince map[string]time.Time
	// noClaimBefore is, for each lease that this VM has handed over, the time until which it does not claim it again.
	noClaimBefore map[string]time.Time
	nextRebalance time.Time
	draining      bool
	closed        bool
	// heldBack is why this VM claims no lease for now; blank if it may claim.
	heldBack string
	// woken says that Wake or requireListing has been called since canSkipListing last was.
	woken bool
}

// ownSession is the state of this VM's own session.
type ownSession struct {
	// version is the row version on which the next write is conditional.
	version uint64
	counter uint64
	// created is the row version at which this VM's session began; 0 before that.
	created uint64
	// createdAt is when this VM learned that its session had begun.
	createdAt time.Time
	// validFrom is the time from which Duration counts.
	validFrom time.Time
	// unresolved maps the write attempts whose outcome is unknown to the time at which they were sent.
	unresolved map[string]time.Time
}

// right is this VM's right to one lease.
type right struct {
	lifecycle *chart.Machine
	grant     Grant
	// validFrom is the time from which Duration counts while the right is provisional.
	validFrom time.Time
	// replacedVersion is the version of the lease row that a provisional right is to replace.
	replacedVersion uint64
}

// NewManager returns a manager. The listener is called, one call at a time, only while Run runs.
func NewManager(cfg Config, table platform.Table, fleet Fleet, peerClient peer.Client, listener Listener, log logrus.FieldLogger) *Manager {
	cfg.setDefaults()
	return &Manager{
		cfg:             cfg,
		table:           table,
		fleet:           fleet,
		peerClient:      peerClient,
		log:             log,
		events:          newNotifier(listener),
		wake:            make(chan struct{}, 1),
		own:             ownSession{unresolved: map[string]time.Time{}},
		sessions:        map[string]session{},
		formerSessions:  map[string]session{},
		leases:          map[string]lease{},
		rights:          map[string]*right{},
		claimableSince:  map[string]time.Time{},
		holderGoneSince: map[string]time.Time{},
		releasing:       map[string]bool{},
		released:        map[string][]byte{},
		settlingSince:   map[string]time.Time{},
		noClaimBefore:   map[string]time.Time{},
	}
}

// Run renews and claims leases until ctx ends. The peer port must accept calls before Run starts, because other VMs
// need the responses of this one before they claim a lease.
func (m *Manager) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { m.events.run(ctx) })
	group.Go(func() { m.guardLoop(ctx) })
	for {
		due := m.tick(ctx)
		if !m.sleep(ctx, due) {
			return
		}
	}
}

// sleep waits for a period, for the time at which a claim is due, or for a call of Wake, whichever comes first. It
// reports false if ctx has ended.
func (m *Manager) sleep(ctx context.Context, due time.Time) bool {
	wait := m.cfg.Period
	if m.awaitingStartup(time.Now()) {
		wait = min(wait, startupPeriod)
		m.fleet.AnnounceToAll()
	}
	if until := time.Until(due); !due.IsZero() && until < wait {
		wait = max(until, minTickInterval)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-m.wake:
		m.mu.Lock()
		m.woken = true
		m.mu.Unlock()
	}
	return true
}

const (
	// startupPeriod is the time between two listings of the table while this VM waits for VMs that may be
	// starting too to respond.
	startupPeriod = 250 * time.Millisecond
	// startupLimit is how long after the table has begun to respond this VM lists it that often.
	startupLimit = 4 * time.Second
)

// awaitingStartup reports whether this VM, which holds back its claims, waits for VMs that may be starting too.
func (m *Manager) awaitingStartup(now time.Time) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return strings.TrimSpace(m.heldBack) != "" && !m.upSince.IsZero() && now.Sub(m.upSince) < startupLimit
}

// minTickInterval is the minimum time between two ticks that a due claim causes.
const minTickInterval = 10 * time.Millisecond

// Wake makes the manager list the table at once. It never blocks.
func (m *Manager) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Held returns the grant if this VM holds the lease now.
func (m *Manager) Held(name string) (Grant, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r := m.rights[name]
	if r == nil || !m.valid(r, time.Now()) {
		return Grant{}, false
	}
	return r.grant, true
}

// Callable returns the grant and the time by which a call that is made now under the lease must have ended. It reports false
// if this VM does not hold the lease, or not until then.
func (m *Manager) Callable(name string) (Grant, time.Time, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r, now := m.rights[name], time.Now()
	if r == nil || !m.valid(r, now.Add(m.cfg.CallLimit)) {
		return Grant{}, time.Time{}, false
	}
	return r.grant, now.Add(m.cfg.CallLimit), true
}

// Settling reports whether this VM has given the lease up and no other VM can hold it yet, because calls made under it may still
// arrive.
func (m *Manager) Settling(name string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.settling(name, time.Now())
}

// settling is Settling for callers that hold m.mu.
func (m *Manager) settling(name string, now time.Time) bool {
	r := m.rights[name]
	return r != nil && r.lifecycle.State() == stateSettling && m.mine(m.leases[name]) && clock.Elapsed(m.own.validFrom, now) < m.cfg.Duration
}

// HolderOf returns the holder of the lease as far as this VM knows, which may be this VM.
func (m *Manager) HolderOf(name string) (Holder, bool) {
	if grant, ok := m.Held(name); ok {
		return Holder{VM: m.cfg.ID, Incarnation: m.cfg.Incarnation, Address: m.cfg.Address, Fencing: grant.Fencing}, true
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.settling(name, time.Now()) {
		return m.leases[name].toHolder(), true
	}
	l, known := m.leases[name]
	if known && m.namesHolder(l, m.cfg.ID, m.cfg.Incarnation) {
		known = false
	}
	best := Holder{}
	if known && l.Holder != "" {
		best = Holder{VM: l.Holder, Incarnation: l.Incarnation, Address: l.Address, Fencing: l.Fencing}
	}
	m.overrideByClaims(name, &best)
	return best, best.VM != ""
}

// overrideByClaims replaces the holder with a VM that claims a higher fencing number. m.mu is held.
func (m *Manager) overrideByClaims(name string, best *Holder) {
	for vm, s := range m.sessions {
		if vm == m.cfg.ID {
			continue
		}
		for _, claim := range m.fleet.Claims(vm, s.Incarnation) {
			if claim.Name == name && claim.Fencing > best.Fencing {
				*best = Holder{VM: vm, Incarnation: s.Incarnation, Address: s.Address, Fencing: claim.Fencing}
			}
		}
	}
}

// namesHolder reports whether the row names the given incarnation of the VM as its holder.
func (m *Manager) namesHolder(l lease, vm, incarnation string) bool {
	return l.Holder == vm && l.Incarnation == incarnation
}

// mine reports whether the row names this VM incarnation as its holder.
func (m *Manager) mine(l lease) bool { return m.namesHolder(l, m.cfg.ID, m.cfg.Incarnation) }

// valid reports whether the right may be used at now. m.mu is held.
func (m *Manager) valid(r *right, now time.Time) bool {
	switch r.lifecycle.State() {
	case stateHeld:
		return clock.Elapsed(m.own.validFrom, now) < m.cfg.Duration
	case stateProvisional:
		return clock.Elapsed(r.validFrom, now) < m.cfg.Duration
	}
	return false
}

// AddStatus sets the fields on the store and the leases in the status that heartbeats carry.
func (m *Manager) AddStatus(s *membership.Status) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s.StoreDown, s.LeaseSeen, s.StoreGeneration = m.upSince.IsZero(), m.leaseVersionSeen, m.generation
	for name, l := range m.leases {
		if m.mine(l) {
			s.Claims = append(s.Claims, membership.Claim{Name: name, Fencing: l.Fencing})
		}
	}
	for name, r := range m.rights {
		if state := r.lifecycle.State(); state == stateProvisional || state == stateSettling && !m.mine(m.leases[name]) {
			s.Claims = append(s.Claims, membership.Claim{Name: name, Fencing: r.grant.Fencing})
		}
	}
}

// gain moves a right to the state to which event leads, and notifies the listener. m.mu is held.
func (m *Manager) gain(name string, r *right, event chart.Event, grant Grant) {
	m.fire(name, r, event)
	r.grant = grant
	m.log.WithFields(logrus.Fields{
		"event": "lease_gained", "lease": name, "fencing": grant.Fencing,
		"previous_gone": grant.PreviousProvenGone, "state": r.lifecycle.State(),
	}).Info("lease gained")
	m.events.gained(grant)
}

// lose ends a right, and notifies the listener if the right was held or provisional. done, if not nil, is called
// after the listener has returned. m.mu is held.
func (m *Manager) lose(name string, event chart.Event, done func()) {
	r := m.rights[name]
	if r == nil {
		return
	}
	was := r.lifecycle.State()
	m.fire(name, r, event)
	if was != stateHeld && was != stateProvisional {
		return
	}
	m.log.WithFields(logrus.Fields{
		"event": "lease_lost", "lease": name, "fencing": r.grant.Fencing, "cause": event,
	}).Info("lease lost")
	m.events.lost(name, done)
}

// fire applies an event to a right's state chart. m.mu is held.
func (m *Manager) fire(name string, r *right, event chart.Event) {
	if err := r.lifecycle.Fire(event); err != nil {
		m.log.WithError(err).WithFields(logrus.Fields{"event": "lease_event_rejected", "lease": name}).Error("event not allowed in the current state of the lease")
	}
}

// right returns the right to a lease, and creates an idle one if there is none. m.mu is held.
func (m *Manager) right(name string) *right {
	r := m.rights[name]
	if r == nil {
		r = &right{lifecycle: chart.NewMachine(leaseChart)}
		m.rights[name] = r
	}
	return r
}

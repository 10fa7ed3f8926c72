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
)

// Config describes this VM and the pace of its lease work.
type Config struct {
	ID          string
	Incarnation string
	Address     string
	// Capacity says how much work this VM can bear, compared with others.
	Capacity float64
	// Listed is called after the rows have been listed or written. It may be nil.
	Listed func()
	// Names returns the leases that should be held by some VM.
	Names func() []string
	// State returns what to pass on to the next holder of a lease that is handed over. It is called
	// after LeaseLost for that lease. It may be nil.
	State func(name string) []byte
	// Note returns what the next holder should know of a lease that this VM holds, also if this VM fails. It
	// is written with each renewal. It may be nil, and return nil.
	Note func(name string) []byte
	// ListPeriod is the time between two listings while nothing has happened.
	ListPeriod time.Duration
	// Period is the time between two renewals, Duration how long one is good for.
	Period   time.Duration
	Duration time.Duration
	// Margin is what a claimant waits on top of Duration, for clocks that drift apart.
	Margin time.Duration
	// StoreTimeout bounds each call of the table service.
	StoreTimeout time.Duration
	// RankStep is what each further VM waits before it claims a free lease.
	RankStep time.Duration
	// GuardInterval is the time between two checks for lapsed leases.
	GuardInterval time.Duration
	// RebalanceInterval is the time between two handovers that spread leases over the fleet.
	RebalanceInterval time.Duration
	// SessionRetention is how long the session row of a VM that is gone stays in the table.
	SessionRetention time.Duration
}

func (c *Config) setDefaults() {
	setDefault(&c.Period, DefaultPeriod)
	setDefault(&c.Duration, DefaultDuration)
	setDefault(&c.ListPeriod, c.Period)
	setDefault(&c.Margin, DefaultMargin)
	setDefault(&c.StoreTimeout, DefaultStoreTimeout)
	setDefault(&c.RankStep, DefaultRankStep)
	setDefault(&c.GuardInterval, DefaultGuardInterval)
	setDefault(&c.RebalanceInterval, DefaultRebalanceInterval)
	setDefault(&c.SessionRetention, DefaultSessionRetention)
	if c.Listed == nil {
		c.Listed = func() {}
	}
	if c.State == nil {
		c.State = func(string) []byte { return nil }
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

// Fleet is what the manager asks of membership.Registry.
type Fleet interface {
	Live() []membership.Member
	// Gone reports whether that incarnation of the VM is proven gone.
	Gone(id, incarnation string) bool
	// Answer returns the last reply of that incarnation to a heartbeat of this VM.
	Answer(id, incarnation string) (membership.Answer, bool)
	// Claims returns the leases that that incarnation last claimed.
	Claims(id, incarnation string) []membership.Claim
	// Announce tells the other VMs at once of this VM's claims.
	Announce()
	// AskAll asks every VM at once for its word, also those that are not asked regularly.
	AskAll()
	// Learn takes in what the table tells of a VM.
	Learn(seen membership.Sighting)
}

// Manager holds and claims leases for this VM. One goroutine talks to the table; another checks
// for lapsed leases and, while the table does not answer, for leases to extend or take over.
type Manager struct {
	cfg    Config
	table  platform.Table
	fleet  Fleet
	caller peer.Caller
	log    logrus.FieldLogger
	events *notifier
	wake   chan struct{}

	mu sync.RWMutex
	// The fields below are guarded by mu.

	own      ownSession
	sessions map[string]session // as listed last, by VM
	leases   map[string]lease   // as listed last, by name
	notes    map[string][]byte  // as listed last, by name of the lease
	listed   bool               // both maps hold a whole listing
	// rowsBase is the moment up to which both maps are known to be current: when the listing was
	// sent, or later if all peers have said since that the table was down for them too.
	rowsBase time.Time
	// seen and leaseSeen are the highest table versions of session and lease rows listed.
	seen, leaseSeen uint64
	rights          map[string]*right
	// upSince is the start of the unbroken run of answers from the table; zero while it is down.
	upSince time.Time
	// openSince is when each lease was first found open to claims; goneSince when each lease's
	// holder was first found proven gone during an outage of the table.
	openSince, goneSince map[string]time.Time
	// releasing are the leases given up whose rows still have to be written free. released holds the
	// state to pass on of those of them whose loss the listener has dealt with.
	releasing map[string]bool
	released  map[string][]byte
	// yieldUntil keeps this VM from claiming back a lease that it has handed over.
	yieldUntil    map[string]time.Time
	nextRebalance time.Time
	draining      bool
	closed        bool
	// heldBack is why this VM claims no lease for now; empty if it may.
	heldBack string
	// woken says that something has happened since the last listing.
	woken bool
}

// ownSession is this VM's session as it knows it.
type ownSession struct {
	// version is the version of the row that the next write is conditional on.
	version uint64
	counter uint64
	// created is the version at which this VM's session began; 0 before that.
	created uint64
	// base is the moment from which Duration counts.
	base time.Time
	// unresolved maps attempts whose outcome is unknown to the time they were sent.
	unresolved map[string]time.Time
}

// right is this VM's right to one lease.
type right struct {
	life  *chart.Machine
	grant Grant
	// base is the moment from which Duration counts while the right is provisional.
	base time.Time
	// taken is the version of the lease row that a provisional right replaces.
	taken uint64
}

// NewManager returns a manager. The listener's calls are made one at a time, from Run.
func NewManager(cfg Config, table platform.Table, fleet Fleet, caller peer.Caller, listener Listener, log logrus.FieldLogger) *Manager {
	cfg.setDefaults()
	return &Manager{
		cfg:        cfg,
		table:      table,
		fleet:      fleet,
		caller:     caller,
		log:        log,
		events:     newNotifier(listener),
		wake:       make(chan struct{}, 1),
		own:        ownSession{unresolved: map[string]time.Time{}},
		sessions:   map[string]session{},
		leases:     map[string]lease{},
		rights:     map[string]*right{},
		openSince:  map[string]time.Time{},
		goneSince:  map[string]time.Time{},
		releasing:  map[string]bool{},
		released:   map[string][]byte{},
		yieldUntil: map[string]time.Time{},
	}
}

// Run renews and claims leases until ctx ends. The peer port must take calls before Run starts, so
// that a refused connection proves that the process is gone.
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

// sleep waits for a period, for the time at which a claim is due, or for a wake-up.
func (m *Manager) sleep(ctx context.Context, due time.Time) bool {
	wait := m.cfg.Period
	if m.starting(time.Now()) {
		wait = min(wait, startPeriod)
		m.fleet.AskAll()
	}
	if until := time.Until(due); !due.IsZero() && until < wait {
		wait = max(until, minTickGap)
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
	// startPeriod is the time between two looks at the table while this VM waits for the word of VMs that
	// may be starting too.
	startPeriod = 250 * time.Millisecond
	// startLimit is how long after the table has begun to answer this VM looks that often.
	startLimit = 4 * time.Second
)

// starting reports whether this VM waits for the word of VMs that may be starting too.
func (m *Manager) starting(now time.Time) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return strings.TrimSpace(m.heldBack) != "" && !m.upSince.IsZero() && now.Sub(m.upSince) < startLimit
}

// minTickGap bounds the pace of the work loop.
const minTickGap = 10 * time.Millisecond

// Wake makes the manager look at the table at once. It never blocks.
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

// HolderOf returns the believed holder.
func (m *Manager) HolderOf(name string) (Holder, bool) {
	if grant, ok := m.Held(name); ok {
		return Holder{VM: m.cfg.ID, Incarnation: m.cfg.Incarnation, Address: m.cfg.Address, Fencing: grant.Fencing}, true
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	l, known := m.leases[name]
	if known && m.names(l, m.cfg.ID, m.cfg.Incarnation) {
		known = false
	}
	best := Holder{}
	if known && l.Holder != "" {
		best = Holder{VM: l.Holder, Incarnation: l.Incarnation, Address: l.Address, Fencing: l.Fencing}
	}
	m.overrideByClaims(name, &best)
	return best, best.VM != ""
}

// overrideByClaims replaces the holder by a VM that claims a higher fencing number. m.mu is held.
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

// names reports whether the row names that VM as its holder.
func (m *Manager) names(l lease, vm, incarnation string) bool {
	return l.Holder == vm && l.Incarnation == incarnation
}

func (m *Manager) mine(l lease) bool { return m.names(l, m.cfg.ID, m.cfg.Incarnation) }

// valid reports whether the right may be used at now. m.mu is held.
func (m *Manager) valid(r *right, now time.Time) bool {
	switch r.life.State() {
	case stateHeld:
		return clock.Elapsed(m.own.base, now) < m.cfg.Duration
	case stateProvisional:
		return clock.Elapsed(r.base, now) < m.cfg.Duration
	}
	return false
}

// Status returns what heartbeats tell of the store and the leases.
func (m *Manager) Status() (storeDown bool, leaseSeen uint64, claims []membership.Claim) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for name, l := range m.leases {
		if m.mine(l) {
			claims = append(claims, membership.Claim{Name: name, Fencing: l.Fencing})
		}
	}
	for name, r := range m.rights {
		if r.life.State() == stateProvisional {
			claims = append(claims, membership.Claim{Name: name, Fencing: r.grant.Fencing})
		}
	}
	return m.upSince.IsZero(), m.leaseSeen, claims
}

// gain moves a right to the state that event leads to and tells the listener. m.mu is held.
func (m *Manager) gain(name string, r *right, event chart.Event, grant Grant) {
	m.fire(name, r, event)
	r.grant = grant
	m.log.WithFields(logrus.Fields{
		"event": "lease_gained", "lease": name, "fencing": grant.Fencing,
		"previous_gone": grant.PreviousProvenGone, "state": r.life.State(),
	}).Info()
	m.events.gained(grant)
}

// lose ends a right that may still be believed in. done, if not nil, is called after the listener
// has been told. m.mu is held.
func (m *Manager) lose(name string, event chart.Event, done func()) {
	r := m.rights[name]
	if r == nil {
		return
	}
	was := r.life.State()
	m.fire(name, r, event)
	if was != stateHeld && was != stateProvisional {
		return
	}
	m.log.WithFields(logrus.Fields{
		"event": "lease_lost", "lease": name, "fencing": r.grant.Fencing, "cause": event,
	}).Info()
	m.events.lost(name, done)
}

// fire moves a right's life on. m.mu is held.
func (m *Manager) fire(name string, r *right, event chart.Event) {
	if err := r.life.Fire(event); err != nil {
		m.log.WithError(err).WithFields(logrus.Fields{"event": "lease_event_rejected", "lease": name}).Error()
	}
}

// right returns the right to a lease, which it creates if need be. m.mu is held.
func (m *Manager) right(name string) *right {
	r := m.rights[name]
	if r == nil {
		r = &right{life: chart.NewMachine(leaseChart)}
		m.rights[name] = r
	}
	return r
}

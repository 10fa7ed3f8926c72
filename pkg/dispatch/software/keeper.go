package software

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// tick is the time between two checks of what is to be read, written or sent, calmTick the same while each group has one version.
	tick     = 50 * time.Millisecond
	calmTick = 500 * time.Millisecond
	// startWait is how long after the start of the process requests wait for the first read of the rows.
	startWait = time.Second
	// sweepPeriod is the time between two passes that forget streams that are over.
	sweepPeriod = time.Second
	// defaultRetryAfter is for streams of which nothing more will be known.
	defaultRetryAfter = time.Second
)

// Sources of decisions, in logs. Decisions by another VM's memory name that VM.
const (
	SourceMemory = "memory"
	SourceTable  = "tables"
	SourceSole   = "only-version"
	// SourceJournal stands for what VMs had written of their streams before all of them were lost.
	SourceJournal = "journal"
)

// Decision is the software version at which a stream begins or goes on.
type Decision struct {
	Version string
	// Source says by what it was decided, and Age how old that is.
	Source string
	Age    time.Duration
}

// Unknown is the error for a stream whose version cannot be decided.
type Unknown struct {
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (u *Unknown) Error() string { return u.Reason }

// Rows is the fleet's table. platform.Table implements it.
type Rows interface {
	List(ctx context.Context, prefix string) ([]platform.Row, error)
	Commit(ctx context.Context, txn platform.Txn) (uint64, error)
	Generation() uint64
}

// Config holds the dependencies and settings of a Keeper.
type Config struct {
	// Self is the ID of this VM.
	Self string
	Rows Rows
	// Listed returns the rows as last listed for other purposes, when that call was sent, and the generation of the table; a zero time
	// if they have not been listed. It makes no call.
	Listed func(prefix string) (rows []platform.Row, sent time.Time, generation uint64)
	// WritesFirst reports whether this VM writes rows before the others do.
	WritesFirst func() bool
	// Settled reports whether a generation of the table has settled, so that what it had lost is written again.
	Settled func(generation uint64) bool
	// FirstStart reports that no VM of the deployment had run when this one started.
	FirstStart func() bool
	// Life returns how long a resumable stream of a group may be taken up, false if the group has none.
	Life       func(group string) (time.Duration, bool)
	Members    func() []membership.Member
	PeerClient peer.Client
	Timing     Timing
	// ReadInterval is the time between two reads of the rows while versions change, ReadTimeout bounds a read.
	ReadInterval, ReadTimeout time.Duration
	Log                       logrus.FieldLogger
}

// Keeper knows the software versions of streams at one VM. It is safe for concurrent use.
type Keeper struct {
	cfg     Config
	started time.Time
	// wake ends the wait for the next check.
	wake chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.

	groups   map[string]*group
	software map[string]string // of the listed endpoints, by ID
	memory   *memory
	// readSent is when the last read that was applied was sent, readTried when this VM last tried to read for itself; reading is
	// closed when the read under way has ended, nil without one.
	readSent, readTried time.Time
	// rowsGeneration is the generation of the rows that were read last.
	rowsGeneration uint64
	reading        chan struct{}
	// generation is that of the store, as last seen in a list or a read; heldUntil is the time before which nothing that the
	// store says is valid, because it has returned from an older copy.
	generation uint64
	hasSeen    bool
	heldUntil  time.Time
	// heldAtStart says that this VM does not know whether the store has returned, because it has just started.
	heldAtStart bool
	listedAt    time.Time // when the first list was applied
	due         map[string]time.Time
	// writing says that rows are being written.
	writing bool
	journal journal
	// writingJournal says that the journal is being written.
	writingJournal bool
	// unsent are the streams whose homes may need a record, stages are the states of the groups when the streams were last checked.
	unsent []Key
	stages map[string]groupStage
	// malformed are the versions of rows that cannot be read, by group.
	malformed map[string]uint64
}

// groupStage is what decides whether the homes of a group's streams need records.
type groupStage struct {
	tables   int
	newest   string
	outdated bool
	changing bool
}

// NewKeeper returns a Keeper that knows nothing yet.
func NewKeeper(cfg Config) *Keeper {
	return &Keeper{
		cfg: cfg, started: time.Now(), wake: make(chan struct{}, 1), groups: map[string]*group{}, software: map[string]string{}, memory: newMemory(), due: map[string]time.Time{},
		stages: map[string]groupStage{}, malformed: map[string]uint64{},
	}
}

// group returns what is known of a group. k.mu is held.
func (k *Keeper) group(name string) *group {
	g := k.groups[name]
	if g == nil {
		g = newGroup(k.cfg.Timing)
		if k.hasRead() && !time.Now().Before(k.heldUntil) {
			g.known = k.readSent
		}
		g.unproven = k.heldUntil
		g.fresh = k.cfg.FirstStart()
		k.groups[name] = g
	}
	return g
}

// hasRead reports whether the rows have been read. k.mu is held.
func (k *Keeper) hasRead() bool { return !k.readSent.IsZero() }

// enter records the generation of the store. k.mu is held.
func (k *Keeper) enter(generation uint64, now time.Time) {
	first, returned := !k.hasSeen, k.hasSeen && generation > k.generation
	if first && generation > 0 {
		k.heldUntil, k.heldAtStart = now.Add(k.cfg.Timing.Hold), true
	}
	if returned {
		k.heldUntil, k.heldAtStart = now.Add(k.cfg.Timing.Hold), false
		k.cfg.Log.WithFields(logrus.Fields{"event": "software_held", "generation": generation, "held_for": k.cfg.Timing.Hold}).
			Warn("the store has returned from an older copy; its rows of software versions are not valid yet")
	}
	if first || returned {
		k.generation, k.hasSeen = generation, true
	}
}

// List applies a list of endpoints, read at a position of its table, that was current at the time confirmed.
func (k *Keeper) List(list []roster.Endpoint, position uint64, confirmed time.Time) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listedAt.IsZero() {
		k.listedAt = now
	}
	k.enter(platform.GenerationOf(position), now)
	clear(k.software)
	byGroup := map[string][]roster.Endpoint{}
	for _, e := range list {
		byGroup[e.Group] = append(byGroup[e.Group], e)
		k.software[e.ID] = e.Software
	}
	for name := range byGroup {
		k.group(name)
	}
	for name, g := range k.groups {
		g.list(byGroup[name], k.validAt(confirmed, now), now)
		if _, relevant := k.cfg.Life(name); !relevant && g.row == nil && g.newcomers() > 0 {
			// No stream of the group can be taken up.
			g.hasSole = false
			g.findSole()
		}
	}
	if !k.calm(now) {
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
}

// calm reports whether each group has one version, and this VM knows so. k.mu is held.
func (k *Keeper) calm(now time.Time) bool {
	if !k.hasRead() || now.Before(k.heldUntil) || len(k.journal.keys) > 0 {
		return false
	}
	for name, g := range k.groups {
		if _, relevant := k.cfg.Life(name); relevant && (g.row != nil || g.changing() || g.age(now) >= k.cfg.Timing.Bound) {
			return false
		}
	}
	return true
}

// Confirm records that the list as last applied was current at a time.
func (k *Keeper) Confirm(confirmed time.Time) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, g := range k.groups {
		g.confirmList(k.validAt(confirmed, now))
	}
}

// validAt returns the time up to which what the store says is valid, if it was current at a time: not while it may have lost
// rows. k.mu is held.
func (k *Keeper) validAt(current, now time.Time) time.Time {
	if k.heldAtStart && k.cfg.Settled(k.generation) {
		// Other VMs have been there since the store returned.
		k.heldUntil, k.heldAtStart = time.Time{}, false
		for _, g := range k.groups {
			g.unproven = time.Time{}
		}
	}
	if now.Before(k.heldUntil) {
		return time.Time{}
	}
	return current
}

// Begin returns the version at which a stream begins. The error is an *Unknown.
func (k *Keeper) Begin(ctx context.Context, group, id string) (Decision, error) {
	k.awaitStart(ctx)
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	g := k.group(group)
	version, source, why := g.begin(KeyOf(group, id), now)
	if why == decided {
		return Decision{Version: version, Source: source, Age: g.age(now)}, nil
	}
	if why == outOfDate {
		return Decision{}, &Unknown{"this VM's copy of the software versions is too old to begin a stream by", minRetryAfter}
	}
	return Decision{}, &Unknown{"the software versions of the endpoints are not agreed yet", g.settlesIn()}
}

// awaitStart waits briefly until the rows have been read for the first time.
func (k *Keeper) awaitStart(ctx context.Context) {
	for time.Since(k.started) < startWait && ctx.Err() == nil {
		k.mu.Lock()
		has := k.hasRead()
		k.mu.Unlock()
		if has {
			return
		}
		clock.Sleep(ctx, tick/5)
	}
}

// TakeUp returns the version at which a stream has begun, by the ID of the caller's attempt that brought its first event. The error
// is an *Unknown.
func (k *Keeper) TakeUp(ctx context.Context, group, id string) (Decision, error) {
	k.awaitStart(ctx)
	d, why := k.recall(group, id)
	if d == nil && why != conflicting {
		d, why = k.decide(group, id)
	}
	switch {
	case d != nil:
		return *d, nil
	case why == conflicting:
		return Decision{}, &Unknown{"streams of several software versions have the same id", defaultRetryAfter}
	}
	homes := make(chan *Decision, 1)
	go func() { homes <- k.askHomes(ctx, KeyOf(group, id)) }()
	if why == outOfDate {
		k.refresh(ctx)
		if d, why = k.decide(group, id); d != nil {
			return *d, nil
		}
	}
	if d := <-homes; d != nil {
		return *d, nil
	}
	if d := k.recallFromJournal(ctx, group, id); d != nil {
		return *d, nil
	}
	return Decision{}, k.unknown(group, why)
}

// recall returns what this VM remembers of a stream; nil if nothing.
func (k *Keeper) recall(group, id string) (*Decision, reason) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.memory.find(KeyOf(group, id), now)
	if s == nil {
		return nil, ambiguous
	}
	if s.conflict {
		return nil, conflicting
	}
	d := Decision{Version: s.version, Source: SourceMemory}
	if s.from != "" {
		d.Source = s.from
	}
	return &d, decided
}

// decide decides a take-up by the tables; nil if it does not follow from them.
func (k *Keeper) decide(group, id string) (*Decision, reason) {
	k.mu.Lock()
	defer k.mu.Unlock()
	g := k.group(group)
	// The time is read last: a VM that stood still until here finds its copy too old.
	now := time.Now()
	version, source, why := g.takeUp(KeyOf(group, id), now)
	if why != decided {
		return nil, why
	}
	return &Decision{Version: version, Source: source, Age: g.age(now)}, decided
}

// unknown returns the error for a take-up that cannot be decided.
func (k *Keeper) unknown(group string, why reason) error {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if why == outOfDate {
		return &Unknown{"this VM's copy of the software versions is too old to tell at which one the stream began", minRetryAfter}
	}
	life, _ := k.cfg.Life(group)
	return &Unknown{"it is not known at which software version the stream began", k.group(group).agreeIn(life, now)}
}

// Began records that the first event of a stream, or of a part of one, has come from a version.
func (k *Keeper) Began(group, id, version string) {
	life, ok := k.cfg.Life(group)
	if !ok || id == "" {
		return
	}
	now := time.Now()
	key := KeyOf(group, id)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.memory.add(key, stream{group: group, version: version, until: now.Add(life)}, now)
	k.unsent = append(k.unsent, key)
}

// Serves reports whether the endpoint listed under an ID has the version, or none is listed any more.
func (k *Keeper) Serves(endpoint, version string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	listed, ok := k.software[endpoint]
	return !ok || listed == version
}

// Run reads and writes rows, and sends records of streams to their homes, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	// A listing under way may take long.
	go k.loop(ctx, nil, func(time.Time) {
		if rows, sent, generation := k.cfg.Listed(rowPrefix); !sent.IsZero() {
			k.applyRows(rows, sent, generation)
		}
	})
	swept := time.Now()
	k.loop(ctx, k.wake, func(now time.Time) {
		if k.readDue(now) {
			go k.refresh(ctx)
		}
		k.writeDue(ctx)
		k.sendRecords(ctx)
		k.writeJournal(ctx)
		if now.Sub(swept) >= sweepPeriod {
			swept = now
			k.mu.Lock()
			k.memory.sweep(now)
			k.mu.Unlock()
		}
	})
}

// loop calls do regularly, and when wake says so, until ctx ends.
func (k *Keeper) loop(ctx context.Context, wake <-chan struct{}, do func(now time.Time)) {
	for {
		k.mu.Lock()
		pause := time.Duration(tick)
		if k.calm(time.Now()) {
			pause = calmTick
		}
		k.mu.Unlock()
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-wake:
			timer.Stop()
		case <-timer.C:
		}
		do(time.Now())
	}
}

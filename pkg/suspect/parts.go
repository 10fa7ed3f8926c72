package suspect

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// partCrashes is the number of crashes from which a part is held.
	partCrashes = 3
	// maxCrashesPerPart bounds the crashes recorded for one part.
	maxCrashesPerPart = 16
	// maxPartEntries bounds the parts in a PartTable: those of several requests whose lists of parts fill their headers. When it is
	// full, the client account with the most parts loses those that met the fewest crashes; evictedShare of all go at once.
	maxPartEntries = 16384
	evictedShare   = 1.0 / 16
	// maxPartName bounds the recorded length of a part's ID, in bytes.
	maxPartName = 64
	// partSettleTime is the time between the crash that makes a part held and the first refusal. Within it, the reports of other
	// VMs arrive, on this part and on those that were there at the same crashes; requests with it wait.
	partSettleTime = 100 * time.Millisecond
	// undecidedTime is the time for which requests with a part that cannot be distinguished from another one wait for a trial, and
	// are not refused. ambiguousTrialDelay is the time between two such trials without a result, maxAmbiguousTrials their number.
	undecidedTime       = 10 * time.Second
	ambiguousTrialDelay = time.Second
	maxAmbiguousTrials  = 10
	// servedBeforePeriod is the time for which a part that was served is taken for one that has been sound.
	servedBeforePeriod = 2 * time.Minute
	// minCrashSpread is the least time between the first and the last crash of a part that had been served before: many
	// endpoints that end at once say nothing of the parts that all requests share.
	minCrashSpread = time.Second
	// servedBeforeReportDelay is the time after which a crash is reported to other VMs if the part had been served before. Most such
	// parts are served again within it.
	servedBeforeReportDelay = 300 * time.Millisecond
	// partClearanceRetention is how long it is remembered that a part was cleared of crashes that several VMs may know of: a VM
	// that was cut off meanwhile may report them again.
	partClearanceRetention = 10 * time.Minute
	// trialAskInterval is the least time between two requests of one VM for a trial of a part.
	trialAskInterval = time.Second
	// heldRetention is how long a held part is kept after its last crash.
	heldRetention = 24 * time.Hour
)

// PartTable records crashes of endpoints for the parts of prompts, which different requests share. A part is held, and requests
// with it are refused, once partCrashes endpoints have crashed before they answered requests with it, or as they began to, and it has
// not been served since: no answer to a request with it was complete. It is safe for concurrent use.
type PartTable struct {
	self string
	// size is the number of entries. It is read without mu, so that requests cost nothing extra while there are none.
	size   atomic.Int64
	served *servedParts

	mu sync.Mutex
	// The fields below are guarded by mu.

	entries    map[uint64]*partEntry
	perAccount map[string]int
	held       map[uint64]*partEntry
	// settledAt is when settle last ran, unsettledUntil the time until which a change of the entries may still have consequences.
	settledAt, unsettledUntil time.Time
	// onHeld is called when a part becomes held, onExplained when a held part explains the crashes recorded for another. They
	// are set before the first use and must not block.
	onHeld      func(HeldPart)
	onExplained func(part HeldPart, by string)
}

// partEntry is the state of one part.
type partEntry struct {
	fingerprint uint64
	// part is the part's ID, shortened.
	part    string
	account string
	// crashes are those since the part was last served, oldest first. pending are the possible ones that this VM still checks:
	// they count once they are confirmed, when they are reported to other VMs, which reply whether they have served the part.
	crashes, pending []partCrash
	// clearedAt is when the part was served after a crash; crashes up to then do not count.
	clearedAt time.Time
	// servedAt is when any VM is known to have served the part last.
	servedAt time.Time
	// observed says that this VM itself has seen a crash or a response, so that it reports what is recorded.
	observed bool
	// shared says that several crashes were recorded at some time, so that all VMs may know of the part.
	shared bool
	// heldSince is when the part became held; zero if it is not.
	heldSince time.Time
	// settled says that partSettleTime has passed since.
	settled   bool
	trials    int
	lastTrial time.Time
	// lastAsked is when this VM last asked for a trial.
	lastAsked time.Time
	// refusals counts the requests that this VM has refused.
	refusals int64
}

// partCrash is a crash recorded for a part. recorded is when this VM learned of it, local says that no other VM has reported it.
type partCrash struct {
	id, seenBy   string
	at, recorded time.Time
	local        bool
}

// NewPartTable returns an empty PartTable of the VM with the ID self.
func NewPartTable(self string) *PartTable {
	return &PartTable{
		self: self, served: newServedParts(), entries: map[uint64]*partEntry{}, perAccount: map[string]int{}, held: map[uint64]*partEntry{},
		onHeld: func(HeldPart) {}, onExplained: func(HeldPart, string) {},
	}
}

// PartFingerprint identifies a part of prompts. It is never 0.
func PartFingerprint(part string) uint64 { return max(1, xxhash.Sum64String("part/"+part)) }

// Empty reports whether the table has no entries.
func (t *PartTable) Empty() bool { return t.size.Load() == 0 }

// HeldPart describes a held part.
type HeldPart struct {
	// Part is the part's ID, shortened.
	Part        string
	Fingerprint uint64
	Crashes     int
	// SeenBy lists the VMs that saw the crashes.
	SeenBy []string
	// Age is the time since the latest crash, HeldFor the time since the part became held, NextTrial the time until the fleet
	// may try the part again.
	Age, HeldFor, NextTrial time.Duration
	Trials                  int
	Refusals                int64
}

// Admit decides whether a request with the parts may run. The held parts are those that forbid it, unless a trial is allowed. With
// Wait, it is not known yet whether they are to blame.
func (t *PartTable) Admit(now time.Time, parts []string) (Decision, []HeldPart) {
	if t.Empty() {
		return Allow, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(now)
	decision := Allow
	var held []*partEntry
	for _, part := range parts {
		e := t.lookup(now, PartFingerprint(part))
		switch {
		case e == nil || e.heldSince.IsZero():
		case !e.settled:
			decision = max(decision, Wait)
		default:
			decision = Refuse
			held = append(held, e)
		}
	}
	if len(held) == 1 && t.undecided(now, held[0]) {
		decision = Wait
	}
	described := make([]HeldPart, len(held))
	for i, e := range held {
		described[i] = t.describe(now, e)
	}
	return decision, described
}

// CountRefusal counts a refusal of a request with the part.
func (t *PartTable) CountRefusal(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[fingerprint]; e != nil {
		e.refusals++
	}
}

// describe returns the description of an entry. The caller holds mu.
func (t *PartTable) describe(now time.Time, e *partEntry) HeldPart {
	h := HeldPart{
		Part: e.part, Fingerprint: e.fingerprint, Crashes: len(e.crashes), Age: now.Sub(e.lastCrash()), HeldFor: now.Sub(e.heldSince),
		NextTrial: max(0, t.trialDue(e).Sub(now)), Trials: e.trials, Refusals: e.refusals,
	}
	for _, c := range e.crashes {
		if !slices.Contains(h.SeenBy, c.seenBy) {
			h.SeenBy = append(h.SeenBy, c.seenBy)
		}
	}
	slices.Sort(h.SeenBy)
	return h
}

// AddObservedCrash records a crash that this VM has seen, of an endpoint that had not answered a request of the account with the part,
// or had just begun to. The crash counts from ConfirmCrash on.
func (t *PartTable) AddObservedCrash(now time.Time, account, part, crash string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fingerprint := PartFingerprint(part)
	e := t.entryOf(now, fingerprint, account, part)
	e.servedAt, e.observed = latest(e.servedAt, t.served.at(fingerprint)), true
	if indexOf(e.crashes, crash) < 0 && indexOf(e.pending, crash) < 0 && len(e.pending) < maxCrashesPerPart {
		e.pending = append(e.pending, partCrash{id: crash, seenBy: t.self, at: now, local: true})
	}
	t.update(now, e)
}

// ConfirmCrash records that an endpoint did crash.
func (t *PartTable) ConfirmCrash(now time.Time, fingerprint uint64, crash string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[fingerprint]
	if e == nil {
		return
	}
	if i := indexOf(e.pending, crash); i >= 0 {
		c := e.pending[i]
		e.pending = slices.Delete(e.pending, i, i+1)
		t.addCrash(now, e, c)
		t.update(now, e)
	}
}

// Retract removes a possible crash, after the endpoint has turned out not to have crashed.
func (t *PartTable) Retract(now time.Time, fingerprint uint64, crash string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[fingerprint]
	if e == nil {
		return
	}
	e.pending = slices.DeleteFunc(e.pending, func(c partCrash) bool { return c.id == crash })
	t.update(now, e)
}

// ClearedPart describes a part whose crashes no longer count.
type ClearedPart struct {
	HeldPart
	WasHeld bool
}

// Served records that an endpoint has completed its answer to a request of the account with the parts. It returns the parts
// that this has cleared of crashes.
func (t *PartTable) Served(now time.Time, account string, parts []string) []ClearedPart {
	t.served.add(account, parts, now)
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var cleared []ClearedPart
	for _, part := range parts {
		fingerprint := PartFingerprint(part)
		e := t.lookup(now, fingerprint)
		if e == nil {
			continue
		}
		if len(e.crashes) > 0 {
			cleared = append(cleared, ClearedPart{t.describe(now, e), !e.heldSince.IsZero()})
		}
		e.servedAt, e.observed = now, true
		e.clear(now)
		t.update(now, e)
	}
	return cleared
}

// Release removes the crashes recorded for a part, on behalf of an operator. It reports whether there were any.
func (t *PartTable) Release(now time.Time, part string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	fingerprint := PartFingerprint(part)
	e := t.lookup(now, fingerprint)
	if e == nil || len(e.crashes) == 0 {
		return false
	}
	e.observed, e.shared = true, true
	e.clear(now)
	t.update(now, e)
	return true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// entryOf returns the entry of a part, and creates it if there is none. The caller holds mu.
func (t *PartTable) entryOf(now time.Time, fingerprint uint64, account, part string) *partEntry {
	if e := t.lookup(now, fingerprint); e != nil {
		return e
	}
	t.evict(account)
	e := &partEntry{fingerprint: fingerprint, part: strings.ToValidUTF8(part[:min(len(part), maxPartName)], ""), account: account}
	t.entries[fingerprint] = e
	t.perAccount[account]++
	t.size.Add(1)
	return e
}

// addCrash records a crash unless it is known, older than a response to the part, or explained by another part. The caller holds
// mu.
func (t *PartTable) addCrash(now time.Time, e *partEntry, c partCrash) {
	c.recorded = now
	if i := indexOf(e.crashes, c.id); i >= 0 {
		e.crashes[i].local = e.crashes[i].local && c.local
		return
	}
	if !c.at.After(e.clearedAt) || t.explained(now, e, c.id) {
		return
	}
	if len(e.crashes) == maxCrashesPerPart {
		// The first and the latest crashes are kept: the time between them counts, and whether a trial has crashed an endpoint.
		e.crashes = slices.Delete(e.crashes, 1, 2)
	}
	e.crashes = append(e.crashes, c)
	slices.SortStableFunc(e.crashes, func(a, b partCrash) int { return a.at.Compare(b.at) })
	e.shared = e.shared || len(e.crashes) >= broadcastThreshold
}

// indexOf returns the index of a crash, or -1.
func indexOf(crashes []partCrash, id string) int {
	return slices.IndexFunc(crashes, func(c partCrash) bool { return c.id == id })
}

// clear removes the crashes up to the given time, at which the part was served or released. Without such crashes nothing is
// recorded: two VMs that report a clearance to each other would otherwise never cease.
func (e *partEntry) clear(at time.Time) {
	before := len(e.crashes)
	old := func(c partCrash) bool { return !c.at.After(at) }
	e.crashes, e.pending = slices.DeleteFunc(e.crashes, old), slices.DeleteFunc(e.pending, old)
	if len(e.crashes) == before {
		return
	}
	e.clearedAt = latest(e.clearedAt, at)
	if len(e.crashes) == 0 {
		e.trials, e.lastTrial, e.refusals = 0, time.Time{}, 0
	}
}

// lastCrash returns the time of the latest crash; zero if there is none.
func (e *partEntry) lastCrash() time.Time {
	if len(e.crashes) == 0 {
		return time.Time{}
	}
	return e.crashes[len(e.crashes)-1].at
}

// update brings an entry into the state that follows from its crashes, and deletes it if nothing is recorded. The caller holds mu.
func (t *PartTable) update(now time.Time, e *partEntry) {
	t.setHeld(now, e)
	for _, holder := range t.held {
		if holder.settled {
			t.explainCrashes(now, holder, e)
		}
	}
	// Reports on parts of the same crashes may be on their way.
	t.unsettledUntil = now.Add(2 * partSettleTime)
	if e.empty() {
		t.remove(e)
	}
}

// empty reports whether nothing is recorded of the part.
func (e *partEntry) empty() bool {
	return len(e.crashes) == 0 && len(e.pending) == 0 && e.clearedAt.IsZero()
}

// Held returns the held parts, those with the most crashes first.
func (t *PartTable) Held(now time.Time) []HeldPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []HeldPart
	for _, e := range t.held {
		list = append(list, t.describe(now, e))
	}
	slices.SortFunc(list, func(a, b HeldPart) int {
		if a.Crashes != b.Crashes {
			return b.Crashes - a.Crashes
		}
		return strings.Compare(a.Part, b.Part)
	})
	return list
}

// Sweep removes expired crashes and clearances.
func (t *PartTable) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for fingerprint, e := range t.entries {
		retention := clearanceRetention
		if e.shared {
			retention = partClearanceRetention
		}
		if now.Sub(e.clearedAt) >= retention {
			e.clearedAt = time.Time{}
		}
		if t.lookup(now, fingerprint) != nil && e.empty() {
			t.remove(e)
		}
	}
}

// lookup returns the entry of a part, or nil, after it has removed expired crashes. The caller holds mu.
func (t *PartTable) lookup(now time.Time, fingerprint uint64) *partEntry {
	e := t.entries[fingerprint]
	if e == nil {
		return nil
	}
	retention := DirectRetention
	if !e.heldSince.IsZero() {
		retention = heldRetention
	}
	if len(e.crashes) > 0 && now.Sub(e.lastCrash()) >= retention {
		e.crashes = nil
		t.setHeld(now, e)
		if e.empty() {
			t.remove(e)
		}
	}
	return t.entries[fingerprint]
}

// remove deletes an entry. The caller holds mu.
func (t *PartTable) remove(e *partEntry) {
	if t.entries[e.fingerprint] != e {
		return
	}
	delete(t.entries, e.fingerprint)
	delete(t.held, e.fingerprint)
	t.size.Add(-1)
	if t.perAccount[e.account]--; t.perAccount[e.account] == 0 {
		delete(t.perAccount, e.account)
	}
}

// evict removes entries if the table is full: those of the account with the most entries, and among them the ones with the fewest
// crashes, so that no account can displace the parts of others. account is the one to make room for, preferred among equals. The
// caller holds mu.
func (t *PartTable) evict(account string) {
	if len(t.entries) < maxPartEntries {
		return
	}
	largest := account
	for name, n := range t.perAccount {
		if n > t.perAccount[largest] {
			largest = name
		}
	}
	victims := make([]*partEntry, 0, t.perAccount[largest])
	for _, e := range t.entries {
		if e.account == largest {
			victims = append(victims, e)
		}
	}
	slices.SortFunc(victims, (*partEntry).compareSuspicion)
	for _, e := range victims[:min(len(victims), int(maxPartEntries*evictedShare))] {
		t.remove(e)
	}
}

// compareSuspicion orders entries for eviction: by the number of crashes, then by the age of the latest.
func (e *partEntry) compareSuspicion(other *partEntry) int {
	return cmp.Or(
		cmp.Compare(len(e.crashes)+len(e.pending), len(other.crashes)+len(other.pending)),
		e.lastCrash().Compare(other.lastCrash()), cmp.Compare(e.fingerprint, other.fingerprint),
	)
}

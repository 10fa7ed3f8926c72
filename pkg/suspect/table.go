// Package suspect keeps track of requests that were in flight when an endpoint crashed, so that one
// request that crashes every endpoint it reaches costs the fleet only a few of them.
//
// Owners keep a Table of what runs on their endpoints, which bounds copies of one request that
// arrive at the same moment; entries keep one too, told to each other, which survives the owner.
// VMs that dispatch directly have no owner: each keeps a Watch, which finds out whether an endpoint
// has ended and tells the other VMs.
package suspect

import (
	"slices"
	"sync"
	"time"
)

// Defaults of Limits.
const (
	// MaxCrashes is the crashes after which a request is refused by the owner of an endpoint group, which sees
	// every request that runs at its endpoints.
	MaxCrashes = 2
	// DirectCrashes is the crashes after which a request is refused by VMs that dispatch directly. They cannot
	// always keep others' requests away from a suspect, so that two ends may be met by chance.
	DirectCrashes = 3
	// DefaultMemory is how long a crash is held against a request.
	DefaultMemory = 10 * time.Minute
	// DirectMemory is the same for VMs that dispatch directly: each time it ends, the request may crash
	// DirectCrashes endpoints again.
	DirectMemory = time.Hour
	// DefaultEntries bounds the requests with a crash that a Table knows.
	DefaultEntries = 4096
)

// Limits bound what a Table holds against requests.
type Limits struct {
	// Crashes is the crashes after which a request is refused.
	Crashes int
	// Memory is how long a crash is held against a request.
	Memory time.Duration
	// Entries bounds the requests with a crash.
	Entries int
}

// OwnerLimits are those of owners of endpoint groups and of the entries before them.
func OwnerLimits() Limits {
	return Limits{Crashes: MaxCrashes, Memory: DefaultMemory, Entries: DefaultEntries}
}

// DirectLimits are those of VMs that dispatch directly.
func DirectLimits() Limits {
	return Limits{Crashes: DirectCrashes, Memory: DirectMemory, Entries: DefaultEntries}
}

// Decision says how a request may run.
type Decision uint8

// Decisions.
const (
	// Allow lets the request run anywhere.
	Allow Decision = iota + 1
	// Isolate lets it run on an endpoint on which no other suspect runs.
	Isolate
	// Wait lets it run only on an endpoint on which a copy of it runs, or once a copy has ended.
	Wait
	// Refuse lets it not run.
	Refuse
)

// Table counts the crashes of each fingerprint and where copies of it run.
// It is safe for concurrent use. Time is passed in.
type Table struct {
	limits Limits

	mu sync.Mutex
	// The fields below are guarded by mu.

	entries map[uint64]*entry
	// crashed counts the entries with crashes, perAccount by client account.
	crashed    int
	perAccount map[string]int
}

type entry struct {
	account string
	crashes []string
	last    time.Time
	// cleared is when the request was last answered whole; crashes up to then are not held against it.
	cleared time.Time
	// witnessed says that this VM itself has seen a crash, or the whole answer.
	witnessed bool
	// own are the crashes that only this VM has seen, as far as it knows.
	own []string
	// trials counts the times that the request was let run after it had been refused, the last time at trialAt.
	trials  int
	trialAt time.Time
	// running counts the copies on each endpoint.
	running map[string]int
}

// NewTable returns an empty Table.
func NewTable(l Limits) *Table {
	return &Table{limits: l, entries: map[uint64]*entry{}, perAccount: map[string]int{}}
}

// Empty reports whether nothing is known of any request.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries) == 0
}

// Admit decides whether a request may run. After Refuse the duration says when to come back. After
// Wait, and after Isolate while a copy runs, Endpoints tells where a copy may join.
func (t *Table) Admit(now time.Time, fingerprint uint64) (Decision, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lookup(now, fingerprint)
	if e == nil {
		return Allow, 0
	}
	crashes := len(e.crashes)
	switch {
	case crashes >= t.limits.Crashes:
		return Refuse, t.limits.Memory - now.Sub(e.last)
	case crashes+len(e.running) >= t.limits.Crashes:
		return Wait, 0
	case crashes > 0:
		return Isolate, 0
	}
	return Allow, 0
}

// Endpoints returns the endpoints on which copies of the request run, in lexical order.
func (t *Table) Endpoints(fingerprint uint64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[fingerprint]
	if e == nil {
		return nil
	}
	names := make([]string, 0, len(e.running))
	for name := range e.running {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Started says that a copy of the request begins to run on the endpoint. It reports false, and
// counts nothing, if the endpoint could be one too many that the request crashes.
func (t *Table) Started(now time.Time, fingerprint uint64, endpoint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lookup(now, fingerprint)
	if e == nil {
		e = &entry{running: map[string]int{}}
		t.entries[fingerprint] = e
	}
	if len(e.crashes) >= t.limits.Crashes {
		return false
	}
	if e.running[endpoint] == 0 && len(e.crashes)+len(e.running) >= t.limits.Crashes {
		return false
	}
	e.running[endpoint]++
	return true
}

// Ended says that a copy has ended on the endpoint. whole says that it was answered whole, which
// clears the request of its crashes. A crash is told by CrashSeen before Ended.
func (t *Table) Ended(now time.Time, fingerprint uint64, endpoint string, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lookup(now, fingerprint)
	if e == nil {
		return
	}
	e.running[endpoint]--
	if e.running[endpoint] <= 0 {
		delete(e.running, endpoint)
	}
	if whole && len(e.crashes) < t.limits.Crashes {
		t.clear(e)
	}
	t.drop(fingerprint, e)
}

// CrashSeen holds a crash against the request. The same crash counts once. It returns the crashes
// now held against the request.
func (t *Table) CrashSeen(now time.Time, fingerprint uint64, crash string) int {
	return t.Accuse(now, "", fingerprint, crash)
}

// Accuse is CrashSeen for a request of a client account, for a crash that another VM has seen. An account with many
// crashing requests makes room with its own.
func (t *Table) Accuse(now time.Time, account string, fingerprint uint64, crash string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, _ := t.accuse(now, account, fingerprint, crash)
	e.own = slices.DeleteFunc(e.own, func(c string) bool { return c == crash })
	return len(e.crashes)
}

// Witness is Accuse for a crash that this VM itself has seen.
func (t *Table) Witness(now time.Time, account string, fingerprint uint64, crash string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, added := t.accuse(now, account, fingerprint, crash)
	if added {
		e.own = append(e.own, crash)
	}
	e.witnessed = true
}

// accuse holds a crash against a request. It reports whether it was not held before. The caller holds mu.
func (t *Table) accuse(now time.Time, account string, fingerprint uint64, crash string) (*entry, bool) {
	e := t.lookup(now, fingerprint)
	if e == nil {
		e = &entry{running: map[string]int{}}
		t.entries[fingerprint] = e
	}
	if slices.Contains(e.crashes, crash) || !now.After(e.cleared) {
		t.drop(fingerprint, e)
		return e, false
	}
	if len(e.crashes) == 0 {
		t.makeRoom(account)
		e.account = account
		t.crashed++
		t.perAccount[account]++
	}
	e.last = now
	if len(e.crashes) == t.limits.Crashes {
		return e, false
	}
	e.crashes = append(e.crashes, crash)
	return e, true
}

// Vouch says that this VM itself has seen that a request was answered whole.
func (t *Table) Vouch(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[fingerprint]; e != nil {
		e.witnessed = true
	}
}

// Retract takes back a crash that only this VM has seen, and that has turned out to be none.
func (t *Table) Retract(fingerprint uint64, crash string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[fingerprint]
	if e == nil || !slices.Contains(e.own, crash) {
		return
	}
	e.own = slices.DeleteFunc(e.own, func(c string) bool { return c == crash })
	left := slices.DeleteFunc(slices.Clone(e.crashes), func(c string) bool { return c == crash })
	if len(left) == 0 {
		t.clear(e)
		t.drop(fingerprint, e)
		return
	}
	e.crashes = left
}

// Acquit drops whatever is held against a request that was answered whole at that time: it does not crash every
// endpoint. It reports whether anything was held against it.
func (t *Table) Acquit(at time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[fingerprint]
	if e == nil || len(e.crashes) == 0 {
		return false
	}
	t.clear(e)
	if at.After(e.cleared) {
		e.cleared = at
	}
	return true
}

// Cleared drops the crashes held against a request that has since been answered whole, unless it
// is refused already.
func (t *Table) Cleared(now time.Time, fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lookup(now, fingerprint)
	if e == nil || len(e.crashes) >= t.limits.Crashes {
		return
	}
	t.clear(e)
	t.drop(fingerprint, e)
}

// Notice tells of one crash held against a request, or, if Cleared, that the request was answered whole.
type Notice struct {
	Account     string
	Fingerprint uint64
	Crash       string
	Cleared     bool
	// Witnessed says that the VM that holds the notice has seen that itself, or another crash of the request.
	Witnessed bool
	// Age is how long ago that was seen.
	Age time.Duration
}

// Notices returns every crash that is held against a request.
func (t *Table) Notices(now time.Time) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Notice
	for fingerprint, e := range t.entries {
		list = append(list, t.notices(now, fingerprint, e)...)
	}
	return list
}

// Of returns what is known of a request.
func (t *Table) Of(now time.Time, fingerprint uint64) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.lookup(now, fingerprint); e != nil {
		return t.notices(now, fingerprint, e)
	}
	return nil
}

// notices returns what is known of a request. The caller holds mu.
func (t *Table) notices(now time.Time, fingerprint uint64, e *entry) []Notice {
	if len(e.crashes) > 0 && now.Sub(e.last) >= t.limits.Memory {
		return nil
	}
	var list []Notice
	for _, crash := range e.crashes {
		list = append(list, Notice{Account: e.account, Fingerprint: fingerprint, Crash: crash, Witnessed: e.witnessed, Age: now.Sub(e.last)})
	}
	if len(list) == 0 && !e.cleared.IsZero() {
		list = append(list, Notice{Account: e.account, Fingerprint: fingerprint, Cleared: true, Witnessed: e.witnessed, Age: now.Sub(e.cleared)})
	}
	return list
}

// trialAfter is how long a request has to have been refused for each of its trials. One that was taken for another by
// chance must not be refused for long; one that does crash endpoints ends another one each time.
var trialAfter = [...]time.Duration{5 * time.Minute, 30 * time.Minute}

// Trial reports whether a request that is refused may run once more, and counts that.
func (t *Table) Trial(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lookup(now, fingerprint)
	if e == nil || len(e.crashes) < t.limits.Crashes || e.trials >= len(trialAfter) {
		return false
	}
	since := e.last
	if e.trialAt.After(since) {
		since = e.trialAt
	}
	if now.Sub(since) < trialAfter[e.trials] {
		return false
	}
	e.trials++
	e.trialAt = now
	return true
}

// Exonerate notes that a request was answered whole lately, as this VM knows, so that other VMs hear of it.
func (t *Table) Exonerate(now time.Time, account string, fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lookup(now, fingerprint)
	if e == nil {
		e = &entry{account: account, running: map[string]int{}}
		t.entries[fingerprint] = e
	}
	t.clear(e)
	e.cleared, e.witnessed = now, true
}

// SuspectEndpoints returns the endpoints on which copies of other requests with crashes run.
func (t *Table) SuspectEndpoints(fingerprint uint64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for other, e := range t.entries {
		if other == fingerprint || len(e.crashes) == 0 {
			continue
		}
		for name := range e.running {
			names = append(names, name)
		}
	}
	return names
}

// clearedMemory is how long it is known that a request was answered whole after crashes: longer than others
// take to hear of it.
const clearedMemory = 30 * time.Second

// Sweep forgets what is no longer held against requests.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for fingerprint, e := range t.entries {
		if now.Sub(e.cleared) >= clearedMemory {
			e.cleared = time.Time{}
		}
		if t.lookup(now, fingerprint) != nil {
			t.drop(fingerprint, e)
		}
	}
}

// lookup returns the entry, after forgetting crashes older than memory. The caller holds mu.
func (t *Table) lookup(now time.Time, fingerprint uint64) *entry {
	e := t.entries[fingerprint]
	if e == nil {
		return nil
	}
	if len(e.crashes) > 0 && now.Sub(e.last) >= t.limits.Memory {
		t.clear(e)
		t.drop(fingerprint, e)
	}
	return t.entries[fingerprint]
}

// clear forgets the crashes of e. The caller holds mu.
func (t *Table) clear(e *entry) {
	if len(e.crashes) > 0 {
		t.crashed--
		if t.perAccount[e.account]--; t.perAccount[e.account] == 0 {
			delete(t.perAccount, e.account)
		}
	}
	e.crashes, e.own = nil, nil
}

// drop deletes e if nothing is known of it. The caller holds mu.
func (t *Table) drop(fingerprint uint64, e *entry) {
	if len(e.crashes) == 0 && len(e.running) == 0 && e.cleared.IsZero() {
		delete(t.entries, fingerprint)
	}
}

// makeRoom forgets the oldest crashes while the table is full: those of the client account with the most, so
// that no account drives out what is known of others. The caller holds mu.
func (t *Table) makeRoom(account string) {
	for t.crashed >= t.limits.Entries {
		most := account
		for name, n := range t.perAccount {
			if n > t.perAccount[most] || n == t.perAccount[most] && name < most && most != account {
				most = name
			}
		}
		var oldest *entry
		var key uint64
		for fingerprint, e := range t.entries {
			if len(e.crashes) > 0 && e.account == most && (oldest == nil || e.last.Before(oldest.last)) {
				oldest, key = e, fingerprint
			}
		}
		t.clear(oldest)
		t.drop(key, oldest)
	}
}

// Package suspect keeps track of requests that were in flight at an endpoint when that endpoint crashed, so that one
// request that crashes every endpoint it reaches costs the fleet only a few of them. Such a request is called a suspect.
// Equal requests of one client account share a fingerprint, and are copies of each other. A crash is identified by the ID
// and the start time of the endpoint incarnation that crashed.
//
// The package serves two kinds of deployment:
//
//   - Where endpoint groups have owners, each owner keeps a Table of the requests that run at its endpoints, which bounds
//     the copies of one request that arrive at the same moment. The entry VMs, which pass requests on to the owners, keep
//     a Table behind a Guard as well and report crashes to each other, so that the knowledge survives the loss of the
//     owner.
//   - VMs that dispatch directly have no owner. Each runs a crash detector (detector.go), which finds out whether an
//     endpoint has crashed, and exchanges crash reports with the other VMs (syncer.go). Refused requests are also kept in
//     the table of the platform (store.go).
package suspect

import (
	"slices"
	"sync"
	"time"
)

// Defaults of Limits.
const (
	// MaxCrashes is the number of crashes from which a request is refused by the owner of an endpoint group, which sees
	// every request that runs at its endpoints.
	MaxCrashes = 2
	// DirectCrashes is the number of crashes from which a request is refused by VMs that dispatch directly. They cannot
	// always keep other requests away from a suspect, so that an innocent request may be in flight at two crashes by chance.
	DirectCrashes = 3
	// DefaultRetention is how long a crash is held against a request.
	DefaultRetention = 10 * time.Minute
	// DirectRetention is how long VMs that dispatch directly hold a crash against a request. It is longer because the request
	// may crash DirectCrashes endpoints again each time it expires.
	DirectRetention = time.Hour
	// DefaultEntries is the number of suspects that a Table holds at most.
	DefaultEntries = 4096
)

// Limits bound the crashes that a Table holds against requests.
type Limits struct {
	// Crashes is the number of crashes from which a request is refused.
	Crashes int
	// Retention is how long a crash is held against a request, counted from the latest one.
	Retention time.Duration
	// Entries is the maximum number of suspects.
	Entries int
}

// OwnerLimits returns the limits for owners of endpoint groups and for the entry VMs that pass requests on to them.
func OwnerLimits() Limits {
	return Limits{Crashes: MaxCrashes, Retention: DefaultRetention, Entries: DefaultEntries}
}

// DirectLimits returns the limits for VMs that dispatch directly.
func DirectLimits() Limits {
	return Limits{Crashes: DirectCrashes, Retention: DirectRetention, Entries: DefaultEntries}
}

// Decision says whether and where a request may run.
type Decision uint8

// Values of Decision.
const (
	// Allow lets the request run on any endpoint.
	Allow Decision = iota + 1
	// Isolate lets the request run only on an endpoint on which no other suspect runs.
	Isolate
	// Wait lets the request run only on an endpoint on which a copy of it runs already, or after a copy has ended.
	Wait
	// Refuse forbids the request to run.
	Refuse
)

// Table records the crashes held against each fingerprint, and the endpoints on which copies of the request run.
// It is safe for concurrent use. Methods that need the current time take it as an argument.
type Table struct {
	limits Limits

	mu sync.Mutex
	// The fields below are guarded by mu.

	entries map[uint64]*entry
	// suspects is the number of entries with crashes, suspectsPerAccount the same for each client account.
	suspects           int
	suspectsPerAccount map[string]int
}

// entry is the state of one fingerprint.
type entry struct {
	account string
	crashes []string
	// lastCrash is the time of the latest crash.
	lastCrash time.Time
	// clearedAt is when the request last received a complete response; crashes up to then do not count.
	clearedAt time.Time
	// observed says that this VM itself has seen a crash of the request, or its complete response.
	observed bool
	// localOnly are the crashes that no other VM has reported to this one: they may be retracted.
	localOnly []string
	// trials counts the times that the request was allowed to run although it was refused; lastTrial is the latest.
	trials    int
	lastTrial time.Time
	// running counts the copies of the request by endpoint.
	running map[string]int
}

// NewTable returns an empty Table.
func NewTable(l Limits) *Table {
	return &Table{limits: l, entries: map[uint64]*entry{}, suspectsPerAccount: map[string]int{}}
}

// Empty reports whether the table has no entries.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries) == 0
}

// Admit decides whether a request may run. With Refuse, the duration is the time after which the request will be allowed
// again. With Wait, and with Isolate while a copy runs, Endpoints returns the endpoints on which the request may join a
// copy.
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
		return Refuse, t.limits.Retention - now.Sub(e.lastCrash)
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

// Started records that a copy of the request starts to run on the endpoint. It reports false, and records nothing, if the
// copy must not run there, since the request could then crash more endpoints than the limit.
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

// Ended records that a copy of the request no longer runs on the endpoint. complete says that it received a complete
// response, which removes the crashes held against the request unless it is refused already. A crash must be recorded with
// CrashSeen before Ended is called.
func (t *Table) Ended(now time.Time, fingerprint uint64, endpoint string, complete bool) {
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
	if complete && len(e.crashes) < t.limits.Crashes {
		t.removeCrashes(e)
	}
	t.deleteIfEmpty(fingerprint, e)
}

// CrashSeen records a crash against the request, without a client account. The same crash counts once. It returns the number
// of crashes held against the request.
func (t *Table) CrashSeen(now time.Time, fingerprint uint64, crash string) int {
	return t.AddReportedCrash(now, "", fingerprint, crash)
}

// AddReportedCrash records a crash that another VM has reported, for a request of the client account. It returns the number of
// crashes held against the request. In a full table, the account with the most suspects loses its oldest one.
func (t *Table) AddReportedCrash(now time.Time, account string, fingerprint uint64, crash string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, _ := t.addCrash(now, account, fingerprint, crash)
	e.localOnly = slices.DeleteFunc(e.localOnly, func(c string) bool { return c == crash })
	return len(e.crashes)
}

// AddObservedCrash records a crash that this VM itself has seen, for a request of the client account.
func (t *Table) AddObservedCrash(now time.Time, account string, fingerprint uint64, crash string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, added := t.addCrash(now, account, fingerprint, crash)
	if added {
		e.localOnly = append(e.localOnly, crash)
	}
	e.observed = true
}

// addCrash records a crash against a request. It reports whether the crash is new. The caller holds mu.
func (t *Table) addCrash(now time.Time, account string, fingerprint uint64, crash string) (*entry, bool) {
	e := t.lookup(now, fingerprint)
	if e == nil {
		e = &entry{running: map[string]int{}}
		t.entries[fingerprint] = e
	}
	if slices.Contains(e.crashes, crash) || !now.After(e.clearedAt) {
		t.deleteIfEmpty(fingerprint, e)
		return e, false
	}
	if len(e.crashes) == 0 {
		t.evict(account)
		e.account = account
		t.suspects++
		t.suspectsPerAccount[account]++
	}
	e.lastCrash = now
	if len(e.crashes) == t.limits.Crashes {
		return e, false
	}
	e.crashes = append(e.crashes, crash)
	return e, true
}

// MarkObserved marks what is recorded of the request as seen by this VM itself, so that it is reported to other VMs.
func (t *Table) MarkObserved(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[fingerprint]; e != nil {
		e.observed = true
	}
}

// Retract removes a crash that no other VM has reported, after the endpoint has turned out not to have crashed. A crash
// that another VM has reported stays.
func (t *Table) Retract(fingerprint uint64, crash string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[fingerprint]
	if e == nil || !slices.Contains(e.localOnly, crash) {
		return
	}
	e.localOnly = slices.DeleteFunc(e.localOnly, func(c string) bool { return c == crash })
	remaining := slices.DeleteFunc(slices.Clone(e.crashes), func(c string) bool { return c == crash })
	if len(remaining) == 0 {
		t.removeCrashes(e)
		t.deleteIfEmpty(fingerprint, e)
		return
	}
	e.crashes = remaining
}

// Clear removes the crashes held against a request, also a refused one, that received a complete response at the given time:
// it does not crash every endpoint. It reports whether any crash was removed.
func (t *Table) Clear(at time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[fingerprint]
	if e == nil || len(e.crashes) == 0 {
		return false
	}
	t.removeCrashes(e)
	if at.After(e.clearedAt) {
		e.clearedAt = at
	}
	return true
}

// ClearUnlessRefused removes the crashes held against a request that has received a complete response since, unless the
// request is refused already.
func (t *Table) ClearUnlessRefused(now time.Time, fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lookup(now, fingerprint)
	if e == nil || len(e.crashes) >= t.limits.Crashes {
		return
	}
	t.removeCrashes(e)
	t.deleteIfEmpty(fingerprint, e)
}

// CrashReport reports one crash held against a request or, if Cleared is set, that the request received a complete response.
type CrashReport struct {
	Account     string
	Fingerprint uint64
	Crash       string
	Cleared     bool
	// Witnessed says that the VM that holds the report has seen the crash or response itself, or another crash of the request.
	Witnessed bool
	// Age is how long ago the crash or response was seen.
	Age time.Duration
	// The fields below are set in reports on parts of prompts only. Part is the part's ID, shortened; SeenBy the VM that has seen
	// the crash. ServedAge is how long ago the part was last served, 0 if it is not known to have been. Trials counts the trials
	// of a held part, TrialAge is how long ago the latest was.
	Part      string
	SeenBy    string
	ServedAge time.Duration
	Trials    int
	TrialAge  time.Duration

	// clearedAt and shared are the state of a part's entry. They are not sent.
	clearedAt time.Time
	shared    bool
}

// Reports returns reports of the crashes and clearances of all requests.
func (t *Table) Reports(now time.Time) []CrashReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []CrashReport
	for fingerprint, e := range t.entries {
		list = append(list, t.reportsOf(now, fingerprint, e)...)
	}
	return list
}

// ReportsOf returns reports of the crashes of one request, or of its clearance.
func (t *Table) ReportsOf(now time.Time, fingerprint uint64) []CrashReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.lookup(now, fingerprint); e != nil {
		return t.reportsOf(now, fingerprint, e)
	}
	return nil
}

// reportsOf returns reports of the crashes of e, or of its clearance. The caller holds mu.
func (t *Table) reportsOf(now time.Time, fingerprint uint64, e *entry) []CrashReport {
	if len(e.crashes) > 0 && now.Sub(e.lastCrash) >= t.limits.Retention {
		return nil
	}
	var list []CrashReport
	for _, crash := range e.crashes {
		list = append(list, CrashReport{Account: e.account, Fingerprint: fingerprint, Crash: crash, Witnessed: e.observed, Age: now.Sub(e.lastCrash)})
	}
	if len(list) == 0 && !e.clearedAt.IsZero() {
		list = append(list, CrashReport{Account: e.account, Fingerprint: fingerprint, Cleared: true, Witnessed: e.observed, Age: now.Sub(e.clearedAt)})
	}
	return list
}

// trialDelays are the times for which a request must have been refused before each of its trials: since its latest crash,
// or since the previous trial. A request that is refused by coincidence must not be refused for long, but one that does
// crash endpoints crashes another one in each trial.
var trialDelays = [...]time.Duration{5 * time.Minute, 30 * time.Minute}

// AllowTrial reports whether a refused request may run once more, and counts the trial if so.
func (t *Table) AllowTrial(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lookup(now, fingerprint)
	if e == nil || len(e.crashes) < t.limits.Crashes || e.trials >= len(trialDelays) {
		return false
	}
	since := e.lastCrash
	if e.lastTrial.After(since) {
		since = e.lastTrial
	}
	if now.Sub(since) < trialDelays[e.trials] {
		return false
	}
	e.trials++
	e.lastTrial = now
	return true
}

// RecordClearance records that a request has recently received a complete response, as this VM has seen, so that other VMs
// are notified of it. It removes any crashes held against the request.
func (t *Table) RecordClearance(now time.Time, account string, fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lookup(now, fingerprint)
	if e == nil {
		e = &entry{account: account, running: map[string]int{}}
		t.entries[fingerprint] = e
	}
	t.removeCrashes(e)
	e.clearedAt, e.observed = now, true
}

// SuspectEndpoints returns the endpoints on which copies of other suspects run.
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

// clearanceRetention is how long a clearance is kept: longer than it takes to reach the other VMs.
const clearanceRetention = 30 * time.Second

// Sweep removes expired crashes and clearances.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for fingerprint, e := range t.entries {
		if now.Sub(e.clearedAt) >= clearanceRetention {
			e.clearedAt = time.Time{}
		}
		if t.lookup(now, fingerprint) != nil {
			t.deleteIfEmpty(fingerprint, e)
		}
	}
}

// lookup returns the entry of a fingerprint, or nil, after it has removed expired crashes. The caller holds mu.
func (t *Table) lookup(now time.Time, fingerprint uint64) *entry {
	e := t.entries[fingerprint]
	if e == nil {
		return nil
	}
	if len(e.crashes) > 0 && now.Sub(e.lastCrash) >= t.limits.Retention {
		t.removeCrashes(e)
		t.deleteIfEmpty(fingerprint, e)
	}
	return t.entries[fingerprint]
}

// removeCrashes removes the crashes of e. The caller holds mu.
func (t *Table) removeCrashes(e *entry) {
	if len(e.crashes) > 0 {
		t.suspects--
		if t.suspectsPerAccount[e.account]--; t.suspectsPerAccount[e.account] == 0 {
			delete(t.suspectsPerAccount, e.account)
		}
	}
	e.crashes, e.localOnly = nil, nil
}

// deleteIfEmpty deletes e if it has no crashes, running copies or clearance. The caller holds mu.
func (t *Table) deleteIfEmpty(fingerprint uint64, e *entry) {
	if len(e.crashes) == 0 && len(e.running) == 0 && e.clearedAt.IsZero() {
		delete(t.entries, fingerprint)
	}
}

// evict removes the crashes of the oldest suspects until the table has room for one more. The suspects are those of the
// client account that has the most, so that no account can displace the suspects of others; account is the one to make room
// for, preferred among equals. The caller holds mu.
func (t *Table) evict(account string) {
	for t.suspects >= t.limits.Entries {
		largest := account
		for name, n := range t.suspectsPerAccount {
			if n > t.suspectsPerAccount[largest] || n == t.suspectsPerAccount[largest] && name < largest && largest != account {
				largest = name
			}
		}
		var oldest *entry
		var key uint64
		for fingerprint, e := range t.entries {
			if len(e.crashes) > 0 && e.account == largest && (oldest == nil || e.lastCrash.Before(oldest.lastCrash)) {
				oldest, key = e, fingerprint
			}
		}
		t.removeCrashes(oldest)
		t.deleteIfEmpty(key, oldest)
	}
}

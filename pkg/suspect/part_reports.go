package suspect

import "time"

// Record records a report of another VM, or of a stored row. A crash that this VM knows to be older than a response to the part
// does not count.
func (t *PartTable) Record(now time.Time, r CrashReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Add(-max(0, r.Age))
	if r.Cleared {
		if e := t.entries[r.Fingerprint]; e != nil {
			e.servedAt = latest(e.servedAt, at)
			e.clear(at)
			t.update(now, e)
		}
		return
	}
	e := t.entryOf(now, r.Fingerprint, r.Account, r.Part)
	if r.ServedAge > 0 {
		e.servedAt = latest(e.servedAt, now.Add(-r.ServedAge))
	}
	if known := t.served.at(r.Fingerprint); known.After(e.servedAt) {
		e.servedAt, e.observed = known, true
	}
	if e.servedAt.After(at) || len(e.crashes) > 0 && e.servedAt.After(e.crashes[0].at) {
		e.clear(e.servedAt)
	}
	if r.Trials > e.trials {
		e.trials, e.lastTrial = r.Trials, now.Add(-max(0, r.TrialAge))
	}
	t.addCrash(now, e, partCrash{id: r.Crash, seenBy: r.SeenBy, at: at})
	t.update(now, e)
}

// Refused reports whether requests with the part are refused.
func (t *PartTable) Refused(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(now)
	e := t.lookup(now, fingerprint)
	return e != nil && e.settled
}

// Retention returns how long a held part is kept.
func (t *PartTable) Retention() time.Duration { return heldRetention }

// MarkObserved marks what is recorded of the part as seen by this VM itself, so that it is reported to other VMs.
func (t *PartTable) MarkObserved(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[fingerprint]; e != nil {
		e.observed = true
	}
}

// Reports returns reports of the crashes and clearances of all parts.
func (t *PartTable) Reports(now time.Time) []CrashReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []CrashReport
	for _, e := range t.entries {
		list = append(list, e.reports(now)...)
	}
	return list
}

// ReportsOf returns reports of the crashes of one part, and of its clearance.
func (t *PartTable) ReportsOf(now time.Time, fingerprint uint64) []CrashReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.lookup(now, fingerprint); e != nil {
		return e.reports(now)
	}
	return nil
}

// reports returns reports of the crashes of e, and of its clearance.
func (e *partEntry) reports(now time.Time) []CrashReport {
	base := CrashReport{Account: e.account, Fingerprint: e.fingerprint, Part: e.part, Witnessed: e.observed, Trials: e.trials, shared: e.shared}
	if !e.servedAt.IsZero() {
		base.ServedAge = max(1, now.Sub(e.servedAt))
	}
	if e.trials > 0 {
		base.TrialAge = now.Sub(e.lastTrial)
	}
	var list []CrashReport
	if !e.clearedAt.IsZero() {
		r := base
		r.Cleared, r.Age, r.clearedAt = true, now.Sub(e.clearedAt), e.clearedAt
		list = append(list, r)
	}
	for _, c := range e.crashes {
		if c.local && e.servedBefore() && now.Sub(c.at) < servedBeforeReportDelay {
			continue
		}
		r := base
		r.Crash, r.SeenBy, r.Age = c.id, c.seenBy, now.Sub(c.at)
		list = append(list, r)
	}
	return list
}

package suspect

import (
	"slices"
	"time"
)

// servedBefore reports whether the part had been served for some time before its first crash.
func (e *partEntry) servedBefore() bool {
	return len(e.crashes) > 0 && !e.servedAt.IsZero() && e.crashes[0].at.Sub(e.servedAt) < servedBeforePeriod
}

// isHeld reports whether the crashes suffice to hold the part. One that has had a trial was held before.
func (e *partEntry) isHeld() bool {
	return len(e.crashes) >= partCrashes && (e.trials > 0 || !e.servedBefore() || e.lastCrash().Sub(e.crashes[0].at) >= minCrashSpread)
}

// setHeld records when a part becomes held, or is no longer. The caller holds mu.
func (t *PartTable) setHeld(now time.Time, e *partEntry) {
	switch {
	case !e.isHeld():
		e.heldSince, e.settled = time.Time{}, false
		delete(t.held, e.fingerprint)
	case e.heldSince.IsZero():
		e.heldSince = now
		t.held[e.fingerprint] = e
		t.onHeld(t.describe(now, e))
	}
}

// settle completes the holds whose partSettleTime has passed, and explains by them what has been recorded for as long. The caller
// holds mu.
func (t *PartTable) settle(now time.Time) {
	if len(t.held) == 0 || now.Sub(t.settledAt) < partSettleTime/4 {
		return
	}
	t.settledAt = now
	for _, e := range t.held {
		if !e.settled && now.Sub(e.heldSince) >= partSettleTime {
			e.settled = true
			t.unsettledUntil = now.Add(2 * partSettleTime)
		}
	}
	if now.After(t.unsettledUntil) {
		return
	}
	for _, e := range t.held {
		if e.settled {
			t.explainAway(now, e)
		}
	}
}

// ambiguous reports whether another held part was in flight at all crashes recorded for e, so that either may be the cause. The
// caller holds mu.
func (t *PartTable) ambiguous(e *partEntry) bool {
	for _, other := range t.held {
		missing := slices.ContainsFunc(e.crashes, func(c partCrash) bool { return indexOf(other.crashes, c.id) < 0 })
		if other != e && !missing {
			return true
		}
	}
	return false
}

// undecided reports whether a held part may soon turn out to be sound: another held part may as well be to blame, and no trial has
// crashed an endpoint. The caller holds mu.
func (t *PartTable) undecided(now time.Time, e *partEntry) bool {
	return t.ambiguous(e) && !e.crashedInTrial() && now.Sub(e.heldSince) < undecidedTime
}

// explains reports whether a held part, of which all reports have arrived, is the more likely cause of the crashes that it shares
// with e: it has never been served, and e has or was not there at another of its crashes. The reports on e's part in a crash that
// was recorded just now may still be on their way.
func (holder *partEntry) explains(now time.Time, e *partEntry) bool {
	if holder == e || holder.servedBefore() {
		return false
	}
	return e.servedBefore() || slices.ContainsFunc(holder.crashes, func(c partCrash) bool {
		return now.Sub(c.recorded) >= partSettleTime && indexOf(e.crashes, c.id) < 0
	})
}

// explained reports whether a held part explains a crash that is to be recorded for e. The caller holds mu.
func (t *PartTable) explained(now time.Time, e *partEntry, crash string) bool {
	for _, holder := range t.held {
		if holder.settled && indexOf(holder.crashes, crash) >= 0 && holder.explains(now, e) {
			return true
		}
	}
	return false
}

// explainAway removes the crashes that a held part explains from the other parts, which only accompanied it. The caller holds mu.
func (t *PartTable) explainAway(now time.Time, holder *partEntry) {
	for _, e := range t.entries {
		t.explainCrashes(now, holder, e)
		if e.empty() {
			t.remove(e)
		}
	}
}

// explainCrashes removes the crashes that a held part explains from another part. The caller holds mu.
func (t *PartTable) explainCrashes(now time.Time, holder, e *partEntry) {
	shared := func(c partCrash) bool { return indexOf(holder.crashes, c.id) >= 0 }
	if !slices.ContainsFunc(e.crashes, shared) || !holder.explains(now, e) {
		return
	}
	before := t.describe(now, e)
	e.crashes = slices.DeleteFunc(e.crashes, shared)
	t.onExplained(before, holder.part)
	t.setHeld(now, e)
}

package suspect

import "time"

// partTrialDelays are the times for which a part must have been held before each of its trials, since the latest crash or trial.
// The first trials come early, since a sound part may be held by coincidence.
var partTrialDelays = [...]time.Duration{time.Second, 5 * time.Second, confirmedTrialDelay}

// confirmedTrialDelay is the delay of a trial after one that has crashed an endpoint.
const confirmedTrialDelay = 30 * time.Minute

// trialDue returns when the next trial of a held part is due: at once if the part cannot be distinguished from another one, and
// in a day once there have been all. The caller holds mu.
func (t *PartTable) trialDue(e *partEntry) time.Time {
	since := latest(latest(e.lastCrash(), e.lastTrial), e.heldSince)
	ambiguous := t.ambiguous(e)
	switch {
	case e.trials >= maxTrials(ambiguous):
		return since.Add(heldRetention)
	case e.crashedInTrial():
		return since.Add(confirmedTrialDelay)
	case ambiguous && e.trials == 0:
		return e.heldSince.Add(partSettleTime)
	case ambiguous:
		return e.lastTrial.Add(ambiguousTrialDelay)
	}
	return since.Add(partTrialDelays[e.trials])
}

// maxTrials returns the number of trials of a held part. One that cannot be distinguished from another part has more, because a
// trial of the part to blame would have a result.
func maxTrials(ambiguous bool) int {
	if ambiguous {
		return maxAmbiguousTrials
	}
	return len(partTrialDelays)
}

// trialAllowed reports whether a trial of a part is due. The caller holds mu.
func (t *PartTable) trialAllowed(now time.Time, e *partEntry) bool {
	return e != nil && !e.heldSince.IsZero() && e.trials < maxTrials(t.ambiguous(e)) && !now.Before(t.trialDue(e))
}

// AskTrial reports whether this VM should ask for a trial of a held part: one is due, and it has not asked just now.
func (t *PartTable) AskTrial(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lookup(now, fingerprint)
	if !t.trialAllowed(now, e) || now.Sub(e.lastAsked) < trialAskInterval {
		return false
	}
	e.lastAsked = now
	return true
}

// AllowTrial reports whether one request with a held part may run as a trial, and counts the trial if so.
func (t *PartTable) AllowTrial(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lookup(now, fingerprint)
	if !t.trialAllowed(now, e) {
		return false
	}
	e.trials++
	e.lastTrial, e.observed = now, true
	return true
}

// RecordTrial counts a trial that another VM has granted to this one.
func (t *PartTable) RecordTrial(now time.Time, fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.lookup(now, fingerprint); t.trialAllowed(now, e) {
		e.trials++
		e.lastTrial = now
	}
}

// crashedInTrial reports whether an endpoint has crashed since the latest trial.
func (e *partEntry) crashedInTrial() bool { return e.trials > 0 && e.lastCrash().After(e.lastTrial) }

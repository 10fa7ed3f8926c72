package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// grantHalfLife is the time in which a granted request loses half of its weight in the rate of grants.
	grantHalfLife = 2 * time.Second
	// minReturnInterval and maxReturnInterval bound the time between two callers that are asked to come back, and
	// initialReturnInterval applies until a request has been granted.
	minReturnInterval     = 5 * time.Millisecond
	maxReturnInterval     = 250 * time.Millisecond
	initialReturnInterval = 50 * time.Millisecond
	// maxCostReturn bounds the time after which a refused caller is asked to come back. Time limits of callers are
	// some seconds, and capacity may return before. Callers beyond it are spread over its last third.
	maxCostReturn = 3 * time.Second
	// promiseGrace is how long after the time that it was given a caller counts as one that returns, and
	// promiseMargin how long before.
	promiseGrace  = 2 * time.Second
	promiseMargin = 20 * time.Millisecond
	// maxPromises bounds the callers that are remembered.
	maxPromises = 4096
)

// Returns schedules the callers that this VM refuses: those of one group and rank come back one after the other, at the
// rate at which requests of that kind are granted. It is safe for concurrent use.
type Returns struct {
	mu        sync.Mutex
	schedules map[returnKey]*returnQueue // guarded by mu
	// promised is when callers that have been refused come back, by the number of the caller. Guarded by mu.
	promised map[uint64]time.Time
}

type returnKey struct {
	group     string
	rank      int
	overLimit bool
}

// returnQueue is the schedule of one group and rank.
type returnQueue struct {
	last time.Time
	// grants is the decayed number of granted requests.
	grants float64
	at     time.Time
}

// NewReturns returns an empty schedule.
func NewReturns() *Returns {
	return &Returns{schedules: map[returnKey]*returnQueue{}, promised: map[uint64]time.Time{}}
}

func (r Request) returnKey(group string) returnKey {
	return returnKey{group, Work{Urgency: r.Urgency}.rank(), r.OverLimit}
}

// queue returns the schedule of a key. r.mu must be held.
func (r *Returns) queue(key returnKey) *returnQueue {
	q := r.schedules[key]
	if q == nil {
		q = &returnQueue{}
		r.schedules[key] = q
	}
	return q
}

// granted counts a granted request.
func (r *Returns) granted(key returnKey, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queue(key)
	q.grants = q.grantsAt(now) + 1
	q.at = now
}

func (q *returnQueue) grantsAt(now time.Time) float64 {
	if q.grants == 0 {
		return 0
	}
	return q.grants * math.Exp2(-max(now.Sub(q.at).Seconds(), 0)/grantHalfLife.Seconds())
}

// interval returns the time between two granted requests.
func (q *returnQueue) interval(now time.Time) time.Duration {
	grants := q.grantsAt(now)
	if grants == 0 {
		return initialReturnInterval
	}
	interval := time.Duration(float64(grantHalfLife) / (grants * math.Ln2))
	return min(max(interval, minReturnInterval), maxReturnInterval)
}

// schedule returns when a refused caller should come back: not before earliest, and after the callers of the same group
// and rank that were refused before it.
func (r *Returns) schedule(key returnKey, caller uint64, earliest, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queue(key)
	at := earliest
	if next := q.last.Add(q.interval(now)); next.After(at) {
		at = next
	}
	q.last = at
	if latest := now.Add(maxCostReturn); at.After(latest) {
		at = latest.Add(-time.Duration(caller % uint64(maxCostReturn/3)))
		q.last = latest
	}
	if len(r.promised) < maxPromises {
		r.promised[caller] = at
	}
	return at
}

// Returned reports whether a caller comes back at the time that it was given when it was refused, and forgets that time.
func (r *Returns) Returned(caller uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.promised[caller]
	delete(r.promised, caller)
	return ok && !now.Before(at.Add(-promiseMargin)) && now.Before(at.Add(promiseGrace))
}

// Sweep discards what is out of date.
func (r *Returns) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for caller, at := range r.promised {
		if now.After(at.Add(promiseGrace)) {
			delete(r.promised, caller)
		}
	}
	for key, q := range r.schedules {
		if now.Sub(q.last) > maxCostReturn && q.grantsAt(now) < 0.01 {
			delete(r.schedules, key)
		}
	}
}

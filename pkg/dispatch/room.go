package dispatch

import (
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

// earliestRoom returns when the first endpoint of a group that has asked for a pause, or has no room within its stated
// limit, accepts requests again; zero if there is none.
func (d *Dispatcher) earliestRoom(group []roster.Endpoint, now time.Time) time.Time {
	var first time.Time
	for _, e := range group {
		until := d.health.earliestPauseEnd([]roster.Endpoint{e}, now)
		if blocked := d.cfg.Limits.BlockedUntil(e.Incarnation, now); e.AcceptsRequests(now) && blocked.After(until) {
			until = blocked
		}
		if !until.IsZero() && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	return first
}

// returnInterval returns the time between two requests of this VM for which a group has room if its endpoints are at
// the limits that they state; 0 if none of them states a limit.
func (d *Dispatcher) returnInterval(group []roster.Endpoint, now time.Time) time.Duration {
	var ids []string
	for _, e := range group {
		if e.AcceptsRequests(now) {
			ids = append(ids, e.ID)
		}
	}
	return d.cfg.Limits.Interval(ids)
}

// maxReturnDelay bounds the time after which a refused caller is asked to come back: limits may rise or end before.
const maxReturnDelay = 2 * time.Second

// returnSchedule spreads the times at which refused callers come back over the room that there will be, so that they
// do not all return for the same next request. It is safe for concurrent use.
type returnSchedule struct {
	mu   sync.Mutex
	last map[string]time.Time // by group, guarded by mu
}

// schedule returns when a refused caller should come back to a group: not before earliest, and an interval after the
// caller before.
func (r *returnSchedule) schedule(group string, earliest time.Time, interval time.Duration, now time.Time) time.Time {
	if interval == 0 {
		return earliest
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at := earliest
	if next := r.last[group].Add(interval); next.After(at) {
		at = next
	}
	if latest := now.Add(maxReturnDelay); at.After(latest) {
		at = latest
	}
	if r.last == nil {
		r.last = map[string]time.Time{}
	}
	r.last[group] = at
	return at
}

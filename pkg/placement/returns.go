package placement

import (
	"sync"
	"time"
)

// MaxReturnDelay bounds the time after which a refused caller is asked to come back: limits may rise or end before.
const MaxReturnDelay = 2 * time.Second

// ReturnSchedule spreads the times at which refused callers come back over the room that there will be, so that they
// do not all return for the same next request. It is safe for concurrent use.
type ReturnSchedule struct {
	mu   sync.Mutex
	last map[string]time.Time // by group, guarded by mu
}

// Schedule returns when a refused caller should come back to a group: not before earliest, and an interval after the
// caller before.
func (r *ReturnSchedule) Schedule(group string, earliest time.Time, interval time.Duration, now time.Time) time.Time {
	if interval == 0 {
		return earliest
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at := earliest
	if next := r.last[group].Add(interval); next.After(at) {
		at = next
	}
	if latest := now.Add(MaxReturnDelay); at.After(latest) {
		at = latest
	}
	if r.last == nil {
		r.last = map[string]time.Time{}
	}
	r.last[group] = at
	return at
}

package owner

import (
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/work"
)

const (
	// outcomeRetention is how long an attempt is kept after its end or its deadline, whichever is later, so that a
	// late Submit or Withdraw of the same attempt gets its true outcome.
	outcomeRetention = work.RetainEnded
	// eventRetention is how long the events of an ended attempt are kept after the entry VM's last poll.
	eventRetention = time.Minute
	// abandonTimeout is how long an idempotent attempt keeps running after the entry VM's last poll.
	abandonTimeout = 15 * time.Second
	// replyGracePeriod is how long after the entry VM's last poll the reply may still be in transit to it.
	replyGracePeriod = time.Second
)

// attemptTable holds the attempts that were submitted to this VM or withdrawn at it, until they expire. It is
// safe for concurrent use.
type attemptTable struct {
	mu sync.Mutex
	m  map[work.AttemptID]*attempt
}

func newAttemptTable() *attemptTable {
	return &attemptTable{m: map[work.AttemptID]*attempt{}}
}

// add stores a new attempt. If the table already has one with this ID, that one is returned and added
// is false.
func (t *attemptTable) add(req *work.Request, now time.Time) (a *attempt, added bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.m[req.ID]
	if ok {
		return known, false
	}
	a = newAttempt(req, now)
	t.m[req.ID] = a
	return a, true
}

func (t *attemptTable) get(id work.AttemptID) (*attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.m[id]
	return a, ok
}

// getOrTombstone returns the attempt. If it has not arrived, a withdrawn attempt is stored in its place,
// so that a later Submit is refused.
func (t *attemptTable) getOrTombstone(id work.AttemptID, now time.Time) *attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.m[id]
	if !ok {
		a = newTombstone(now)
		t.m[id] = a
	}
	return a
}

// open returns the attempts that have not ended.
func (t *attemptTable) open() []*attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*attempt
	for _, a := range t.m {
		if _, ended := a.times(); ended.IsZero() {
			list = append(list, a)
		}
	}
	return list
}

// busy returns the number of attempts that have not ended or whose entry VM may still be waiting for the
// last events.
func (t *attemptTable) busy(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, a := range t.m {
		polled, ended := a.times()
		if ended.IsZero() || now.Sub(polled) < replyGracePeriod || (a.log.undelivered() && now.Sub(polled) < abandonTimeout) {
			n++
		}
	}
	return n
}

// sweep removes expired attempts and events, and ends idempotent attempts whose entry VM has stopped
// polling.
func (t *attemptTable) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, a := range t.m {
		polled, ended := a.times()
		switch {
		case ended.IsZero() && a.req.Idempotent && now.Sub(polled) > abandonTimeout:
			abandon(a, now)
		case ended.IsZero():
		case now.Sub(ended) > outcomeRetention && now.Sub(a.deadline) > outcomeRetention:
			delete(t.m, id)
		case now.Sub(polled) > eventRetention:
			a.log.clear()
		}
	}
}

// abandon ends an idempotent attempt that nobody waits for any more.
func abandon(a *attempt, now time.Time) {
	if a.withdraw(now) == result.NotRun {
		return
	}
	a.fail(now, &work.Failure{
		Code:    result.CallerGone,
		Outcome: result.MayHaveRun,
		Detail:  "the entry stopped asking for events",
	})
}

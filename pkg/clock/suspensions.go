package clock

import (
	"sync"
	"time"
)

const (
	// minSuspension is the smallest advance of the boot-time clock over the monotonic clock that counts as
	// a suspension. Smaller ones may come from reading the two clocks one after the other, which can take a
	// few milliseconds on a busy VM.
	minSuspension = 10 * time.Millisecond
	// maxSuspensions is the maximum number of suspensions that are recorded one by one. Older ones are
	// counted in full for every base before the oldest recorded one was noticed.
	maxSuspensions = 64
)

// hostSuspensions holds the suspensions of the VM that this process runs on.
var hostSuspensions = newSuspensions(totalSuspended)

// suspension is one recorded suspension of the VM.
type suspension struct {
	// noticedAt is when the process noticed the suspension: no earlier than its end.
	noticedAt time.Time
	// priorTotal is the total duration of all earlier suspensions.
	priorTotal time.Duration
}

// suspensions records when and for how long the VM was suspended. Its methods are safe for concurrent use,
// except poll.
type suspensions struct {
	// total returns the time for which the VM was suspended since it booted.
	total func() time.Duration
	mu    sync.Mutex
	// recordedTotal is the result of total up to which suspensions have been recorded. It is guarded by mu.
	recordedTotal time.Duration
	// recent holds the last maxSuspensions suspensions, oldest first. It is guarded by mu.
	recent []suspension
}

// newSuspensions returns an empty record: suspensions before the call are not counted. The function total
// returns the time for which the VM was suspended since it booted.
func newSuspensions(total func() time.Duration) *suspensions {
	return &suspensions{total: total, recordedTotal: total()}
}

// now returns the time of clock, after recording any suspension before it.
func (s *suspensions) now(clock func() time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poll(clock)
	return clock()
}

// suspendedSince returns how long the VM was suspended since base. The result may be too long: a suspension that
// was noticed after base is counted in full, even if it ended before base.
func (s *suspensions) suspendedSince(base time.Time, clock func() time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poll(clock)
	for i := range s.recent {
		if s.recent[i].noticedAt.After(base) {
			return s.recordedTotal - s.recent[i].priorTotal
		}
	}
	return 0
}

// poll records a suspension since the last poll, if there was one. The caller must hold s.mu.
func (s *suspensions) poll(clock func() time.Time) {
	total := s.total()
	if total-s.recordedTotal < minSuspension {
		return
	}
	s.recent = append(s.recent, suspension{noticedAt: clock(), priorTotal: s.recordedTotal})
	s.recordedTotal = total
	if extra := len(s.recent) - maxSuspensions; extra > 0 {
		// The oldest entry that is kept takes over the durations of the discarded ones.
		s.recent[extra].priorTotal = s.recent[0].priorTotal
		s.recent = s.recent[extra:]
	}
}

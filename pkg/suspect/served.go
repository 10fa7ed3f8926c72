package suspect

import (
	"sync"
	"time"
)

const (
	// servedMemory is how long at least it is known that a request was answered whole: longer than endpoints take to come
	// back. It is known for twice that at most.
	servedMemory = 10 * time.Second
	// servedEntries bounds the requests of one servedMemory.
	servedEntries = 2048
)

// served knows the requests that were answered whole lately, in two generations. It is safe for concurrent use.
type served struct {
	mu sync.Mutex
	// The fields below are guarded by mu.

	now, before map[uint64]struct{}
	began       time.Time
}

func newServed() *served { return &served{now: map[uint64]struct{}{}} }

// note takes in a request that was answered whole.
func (s *served) note(fingerprint uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	if len(s.now) < servedEntries {
		s.now[fingerprint] = struct{}{}
	}
}

// lately reports whether a request was answered whole lately.
func (s *served) lately(fingerprint uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	if _, ok := s.now[fingerprint]; ok {
		return true
	}
	_, ok := s.before[fingerprint]
	return ok
}

// turn begins a new generation when the current one is old. s.mu is held.
func (s *served) turn(now time.Time) {
	age := now.Sub(s.began)
	if age < servedMemory {
		return
	}
	s.before = s.now
	if age >= 2*servedMemory {
		s.before = nil
	}
	s.now, s.began = map[uint64]struct{}{}, now
}

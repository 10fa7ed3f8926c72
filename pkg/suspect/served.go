package suspect

import (
	"sync"
	"time"
)

const (
	// servedRetention is the least time for which a request with a complete response is remembered: longer than endpoints
	// take to restart. It is remembered for at most twice as long.
	servedRetention = 10 * time.Second
	// maxServedPerGeneration bounds the number of requests remembered from one servedRetention.
	maxServedPerGeneration = 2048
)

// recentlyServed is the set of requests that have recently received a complete response, in two generations. It is safe for
// concurrent use.
type recentlyServed struct {
	mu sync.Mutex
	// The fields below are guarded by mu.

	current, previous map[uint64]struct{}
	currentSince      time.Time
}

func newRecentlyServed() *recentlyServed { return &recentlyServed{current: map[uint64]struct{}{}} }

// add adds a request that received a complete response. It is ignored if the current generation is full.
func (s *recentlyServed) add(fingerprint uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if len(s.current) < maxServedPerGeneration {
		s.current[fingerprint] = struct{}{}
	}
}

// contains reports whether a request has recently received a complete response.
func (s *recentlyServed) contains(fingerprint uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if _, ok := s.current[fingerprint]; ok {
		return true
	}
	_, ok := s.previous[fingerprint]
	return ok
}

// rotate starts a new generation if the current one is older than servedRetention. s.mu is held.
func (s *recentlyServed) rotate(now time.Time) {
	age := now.Sub(s.currentSince)
	if age < servedRetention {
		return
	}
	s.previous = s.current
	if age >= 2*servedRetention {
		s.previous = nil
	}
	s.current, s.currentSince = map[uint64]struct{}{}, now
}

package suspect

import (
	"sync"
	"time"
)

const (
	// servedPartsPeriod is the least time for which a served part is remembered; it is remembered for at most twice as long.
	servedPartsPeriod = time.Minute
	// maxServedParts bounds the parts remembered from one servedPartsPeriod, and maxServedPartsPerAccount those that one client
	// account can add.
	maxServedParts           = 32768
	maxServedPartsPerAccount = 4096
)

// servedParts remembers when parts of prompts were last served on this VM, in two generations. It is safe for concurrent use.
type servedParts struct {
	mu sync.Mutex
	// The fields below are guarded by mu.

	// base is the time of the first part; the times of the others count from it, which takes a third of the memory.
	base              time.Time
	current, previous map[uint64]time.Duration
	perAccount        map[string]int
	currentSince      time.Time
}

func newServedParts() *servedParts {
	return &servedParts{current: map[uint64]time.Duration{}, perAccount: map[string]int{}}
}

// add records that a request of the account with the parts was served. A new part is ignored if the account, or the current
// generation, is full: it may be held after three crashes, until it is served again.
func (s *servedParts) add(account string, parts []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.base.IsZero() {
		s.base = now
	}
	s.rotate(now)
	since := now.Sub(s.base)
	for _, part := range parts {
		fingerprint := PartFingerprint(part)
		if _, known := s.current[fingerprint]; !known {
			if len(s.current) >= maxServedParts || s.perAccount[account] >= maxServedPartsPerAccount {
				continue
			}
			s.perAccount[account]++
		}
		s.current[fingerprint] = since
	}
}

// at returns when the part was last served; zero if that is not remembered.
func (s *servedParts) at(fingerprint uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.current[fingerprint]
	if !ok {
		since, ok = s.previous[fingerprint]
	}
	if !ok {
		return time.Time{}
	}
	return s.base.Add(since)
}

// rotate starts a new generation if the current one is older than servedPartsPeriod. s.mu is held.
func (s *servedParts) rotate(now time.Time) {
	if now.Sub(s.currentSince) < servedPartsPeriod {
		return
	}
	s.previous, s.current = s.current, map[uint64]time.Duration{}
	s.perAccount, s.currentSince = map[string]int{}, now
}

package dispatch

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/placement"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// pickService returns the candidate with the lowest expected latency, and that latency. Ties are broken at
// random; random returns a number below n.
func (s *healthTracker) pickService(candidates []roster.Endpoint, domain string, random func(n int) int) (roster.Endpoint, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return placement.PickService(candidates, func(e roster.Endpoint) time.Duration { return s.get(e.Incarnation).cost() }, domain, random)
}

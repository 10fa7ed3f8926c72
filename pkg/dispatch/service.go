package dispatch

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

// distancePenalty is the factor on the expected latency of endpoints in another failure domain: traffic between
// failure domains is expensive, and the longer path matters for requests of a few milliseconds.
const distancePenalty = 1.25

// pickService returns the candidate with the lowest expected latency, and that latency. Ties are broken at
// random; random returns a number below n.
func (s *healthTracker) pickService(candidates []roster.Endpoint, domain string, random func(n int) int) (roster.Endpoint, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best roster.Endpoint
	var least time.Duration
	ties := 0
	for _, e := range candidates {
		cost := s.get(e.Incarnation).cost()
		if e.FailureDomain != domain {
			cost = time.Duration(float64(cost) * distancePenalty)
		}
		switch {
		case ties == 0 || cost < least:
			best, least, ties = e, cost, 1
		case cost == least:
			ties++
			if random(ties) == 0 {
				best = e
			}
		}
	}
	return best, least
}

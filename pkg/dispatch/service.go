package dispatch

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

// distancePenalty makes an endpoint in another failure domain seem as much slower: bytes between
// failure domains are dear, and a request of a few milliseconds feels the way.
const distancePenalty = 1.25

// pickService returns the candidate with the least expected time, among equals the one that random
// selects. It returns that time, too.
func (s *conditions) pickService(candidates []roster.Endpoint, domain string, random func(n int) int) (roster.Endpoint, time.Duration) {
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

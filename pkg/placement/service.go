package placement

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// distancePenalty is the factor on the expected latency of endpoints in another failure domain: traffic between
	// failure domains is expensive, and the longer path matters for requests of a few milliseconds.
	distancePenalty = 1.25
	// initialLatency is assumed before a latency has been measured.
	initialLatency = 20 * time.Millisecond
)

// ServiceCost returns the expected latency of one more request to a plain service. latency is the average time to the
// first part of a response, 0 if none has been measured; outstanding is the number of requests at the service.
func ServiceCost(latency time.Duration, outstanding int) time.Duration {
	if latency == 0 {
		latency = initialLatency
	}
	return latency * time.Duration(outstanding+1)
}

// PickService returns the candidate with the lowest expected latency, and that latency. cost returns the expected
// latency of a candidate. Ties are broken at random; random returns a number below n.
func PickService(candidates []roster.Endpoint, cost func(roster.Endpoint) time.Duration, domain string, random func(n int) int) (roster.Endpoint, time.Duration) {
	var best roster.Endpoint
	var least time.Duration
	ties := 0
	for _, e := range candidates {
		c := cost(e)
		if e.FailureDomain != domain {
			c = time.Duration(float64(c) * distancePenalty)
		}
		switch {
		case ties == 0 || c < least:
			best, least, ties = e, c, 1
		case c == least:
			ties++
			if random(ties) == 0 {
				best = e
			}
		}
	}
	return best, least
}

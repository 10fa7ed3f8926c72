package ratelimit

import "time"

const (
	// second is the time over which the requests to a cold endpoint are limited.
	second = time.Second
	// coldRoomShare is the part of what is allowed within a second beyond the rate that the home may grant as a burst. The
	// rest is for VMs that cannot reach the home, and for requests that arrive later than they were granted.
	coldRoomShare = 1.0 / 3
	// shareOfColdRate is the part of the rate that all VMs together may use while they cannot reach the home. It is lower
	// than shareOfLimit, because turns of different VMs that fall into the same second must stay within the rest.
	shareOfColdRate = 0.05
	// shareOfColdRest is the part of the rest that these turns use on average.
	shareOfColdRest = 1.0 / 8
	// maxColdTurn bounds the time for which a VM may use its turn at a cold endpoint. Several turns that are open at the
	// same moment may be used in the same second.
	maxColdTurn = time.Second
	// maxColdRetryAfter bounds the time after which a VM asks again for a cold endpoint, and coldAttempts is the number of
	// attempts of all VMs for each request that the home grants. Without spreading them, every VM would ask for each
	// single request.
	maxColdRetryAfter = time.Second
	coldAttempts      = 2
	// coldRetryAfter is the time after which to ask again if too many requests were sent before the endpoint was known to
	// be cold.
	coldRetryAfter = 250 * time.Millisecond
)

// ColdBounds set how many requests all VMs together may send to a cold endpoint within any one second: Overage times the
// rate that the endpoint accepts while it is cold, plus Slack.
type ColdBounds struct{ Overage, Slack float64 }

// coldPolicy divides the requests that a cold endpoint may get within one second.
type coldPolicy struct {
	// rate and burst are those of the home's bucket.
	rate, burst float64
	// unasked is the number of requests within the last second that the home did not grant, up to which it grants further
	// ones.
	unasked float64
	// shares is the rate of all VMs together that cannot reach the home.
	shares float64
}

// policy returns how to divide the requests of a cold endpoint that accepts a rate.
func (b ColdBounds) policy(rate float64) coldPolicy {
	allowed := rate*b.Overage + b.Slack
	room := max(allowed-rate, 0)
	burst := max(1, room*coldRoomShare)
	rest := max(1, room*coldRoomShare)
	return coldPolicy{
		rate:    max(minRate, min(rate, allowed-burst-rest)),
		burst:   burst,
		unasked: max(0, room-burst),
		shares:  max(minRate*shareOfColdRate, min(rate*shareOfColdRate, max(room-burst, 1)*shareOfColdRest)),
	}
}

// coldWait returns 0 if the home may grant a request to a cold endpoint, or else the time after which to ask again. vms is
// the number of VMs.
func (e *endpoint) coldWait(p coldPolicy, vms int, now time.Time) time.Duration {
	unasked := e.unasked.within(second, now) + e.cold.before.within(second, now)
	for _, c := range e.reports {
		unasked += c.within(second, now)
	}
	if float64(unasked) > p.unasked {
		return coldRetryAfter
	}
	missing := e.cold.bucket.missing(p.rate, p.burst, now)
	if missing == 0 {
		return 0
	}
	spread := time.Duration(float64(vms) / (coldAttempts * p.rate) * float64(time.Second))
	return max(min(missing, maxRetryAfter), min(spread, maxColdRetryAfter))
}

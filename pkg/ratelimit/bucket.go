package ratelimit

import (
	"time"
)

const (
	// burstPeriod is the time whose worth of requests may be sent at once after a quiet time.
	burstPeriod = 500 * time.Millisecond
	// minRate is the rate, in requests per second, at which an endpoint that states a lower limit gets requests:
	// only their responses show when the limit ends.
	minRate = 0.1
	// maxRetryAfter bounds the time after which a VM asks again: the limit may rise or end before.
	maxRetryAfter = 2 * time.Second
)

// effectiveRate returns the rate at which an endpoint with the given limit gets requests.
func effectiveRate(limit float64) float64 { return max(limit, minRate) }

// bucket is a token bucket for the requests of all VMs to one endpoint. It starts empty: its predecessor on another VM
// may just have granted a burst.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	// started identifies the newest incarnation of the endpoint that a request was for.
	started int64
}

// take takes a token at the given limit. If there is none, it returns the time until there is one.
func (b *bucket) take(limit float64, started int64, now time.Time) (granted bool, retryAfter time.Duration) {
	b.refill(limit, now)
	if started > b.started {
		if b.started != 0 {
			// The limit is that of an earlier incarnation. The first response shows whether it still holds.
			b.tokens = max(b.tokens, 1)
		}
		b.started = started
	}
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	missing := (1 - b.tokens) / effectiveRate(limit)
	return false, min(time.Duration(missing*float64(time.Second))+time.Millisecond, maxRetryAfter)
}

// refill adds the tokens of the time since the last call.
func (b *bucket) refill(limit float64, now time.Time) {
	rate := effectiveRate(limit)
	if !b.refilledAt.IsZero() {
		b.tokens += rate * max(now.Sub(b.refilledAt), 0).Seconds()
	}
	b.tokens = min(b.tokens, max(1, rate*burstPeriod.Seconds()))
	b.refilledAt = now
}

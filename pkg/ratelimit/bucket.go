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
	rate := effectiveRate(limit)
	b.refill(rate, max(1, rate*burstPeriod.Seconds()), now)
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
	return false, min(b.untilToken(rate), maxRetryAfter)
}

// missing returns 0 if the bucket, which has the given rate and size, holds a token, or else the time until it does.
func (b *bucket) missing(rate, size float64, now time.Time) time.Duration {
	b.refill(rate, size, now)
	if b.tokens >= 1 {
		return 0
	}
	return b.untilToken(rate)
}

// untilToken returns the time until the bucket, which holds none, holds a token.
func (b *bucket) untilToken(rate float64) time.Duration {
	return time.Duration((1-b.tokens)/rate*float64(time.Second)) + time.Millisecond
}

// refill adds the tokens of the time since the last call, up to the size of the bucket.
func (b *bucket) refill(rate, size float64, now time.Time) {
	if !b.refilledAt.IsZero() {
		b.tokens += rate * max(now.Sub(b.refilledAt), 0).Seconds()
	}
	b.tokens = min(b.tokens, size)
	b.refilledAt = now
}

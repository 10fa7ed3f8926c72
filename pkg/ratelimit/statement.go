package ratelimit

import (
	"math"
	"time"
)

// unlimited is the rate of an endpoint that states no limit.
var unlimited = math.Inf(1)

// statement is what a response says about the rate limit of an endpoint.
type statement struct {
	// started identifies the incarnation of the endpoint to which the request was addressed.
	started int64
	// rate is the limit in requests per second for all VMs together; unlimited if the response states none.
	rate float64
	// The endpoint wrote the response between sent, when the request was sent, and received.
	sent, received time.Time
}

// limited reports whether there is a limit.
func (s statement) limited() bool { return s.rate < unlimited }

// known reports whether the statement has been made.
func (s statement) known() bool { return !s.received.IsZero() }

// supersedes reports whether the statement replaces the one that is known. Of two statements whose order is not
// certain, the one with the lower limit counts.
func (s statement) supersedes(k statement) bool {
	switch {
	case !k.known(), s.started > k.started, !s.sent.Before(k.received):
		return true
	case s.started < k.started:
		return false
	case s.rate == k.rate:
		return s.received.After(k.received)
	}
	return s.rate < k.rate && s.received.After(k.sent)
}

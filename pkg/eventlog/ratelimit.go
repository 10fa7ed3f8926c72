package eventlog

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// burstDuration is the time for which an unused rate accumulates: the burst is the number of lines that the rate
// allows in it.
const burstDuration = 2 * time.Second

// Fractions of the burst that are reserved for lines of higher severity, so that the line of a failed request is
// still written when those of successful ones are dropped.
const (
	debugReserve = 0.6 // not available to debug lines
	infoReserve  = 0.3 // not available to info lines
)

// rateLimiter limits the rate of lines with a token bucket, one token a line. It is safe for concurrent use.
type rateLimiter struct {
	perSecond float64
	burst     float64

	mu     sync.Mutex
	tokens float64 // guarded by mu
	// updatedAt is when tokens was last updated; zero before the first line. It is guarded by mu.
	updatedAt time.Time
}

// newRateLimiter returns a rateLimiter with a full burst.
func newRateLimiter(linesPerSecond int) *rateLimiter {
	rate := float64(linesPerSecond)
	burst := rate * burstDuration.Seconds()
	return &rateLimiter{perSecond: rate, burst: burst, tokens: burst}
}

// allow reports whether a line of the level may be written, and takes its token if so.
func (l *rateLimiter) allow(level logrus.Level, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.updatedAt.IsZero() {
		l.tokens = min(l.burst, l.tokens+max(now.Sub(l.updatedAt).Seconds(), 0)*l.perSecond)
	}
	l.updatedAt = now
	if l.tokens < 1+l.reserve(level) {
		return false
	}
	l.tokens--
	return true
}

// reserve returns the number of tokens that lines of the level must leave to lines of higher severity.
func (l *rateLimiter) reserve(level logrus.Level) float64 {
	switch {
	case level >= logrus.DebugLevel:
		return debugReserve * l.burst
	case level == logrus.InfoLevel:
		return infoReserve * l.burst
	}
	return 0
}

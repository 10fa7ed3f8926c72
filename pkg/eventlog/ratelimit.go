package eventlog

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// burstTime is how much of the rate may be saved up.
const burstTime = 2 * time.Second

// Parts of the saved-up budget that lines of lower severity leave to those of higher ones, so that the
// line of a failed request is still written when those of answered ones are dropped.
const (
	debugLeaves = 0.6
	infoLeaves  = 0.3
)

// budget bounds the rate of lines by a token bucket.
type budget struct {
	perSecond float64
	burst     float64

	mu     sync.Mutex
	tokens float64   // guarded by mu
	at     time.Time // guarded by mu
}

func newBudget(linesPerSecond int) *budget {
	rate := float64(linesPerSecond)
	burst := rate * burstTime.Seconds()
	return &budget{perSecond: rate, burst: burst, tokens: burst}
}

// take reports whether a line may be written.
func (b *budget) take(level logrus.Level, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.at.IsZero() {
		b.tokens = min(b.burst, b.tokens+max(now.Sub(b.at).Seconds(), 0)*b.perSecond)
	}
	b.at = now
	if b.tokens < 1+b.leaves(level) {
		return false
	}
	b.tokens--
	return true
}

// leaves returns the tokens that lines of a level leave to more severe ones.
func (b *budget) leaves(level logrus.Level) float64 {
	switch {
	case level >= logrus.DebugLevel:
		return debugLeaves * b.burst
	case level == logrus.InfoLevel:
		return infoLeaves * b.burst
	}
	return 0
}

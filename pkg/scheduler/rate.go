package scheduler

import (
	"math"
	"time"
)

// meter estimates a rate from a sum that decays exponentially.
type meter struct {
	halfLife time.Duration
	sum      float64
	updated  time.Time
	started  time.Time
}

func (m *meter) add(now time.Time, amount float64) {
	if m.started.IsZero() {
		m.started, m.updated = now, now
	}
	m.sum = m.decayed(now) + amount
	m.updated = now
}

func (m *meter) decayed(now time.Time) float64 {
	return m.sum * math.Exp2(-float64(now.Sub(m.updated))/float64(m.halfLife))
}

// minMeterPeriod is the shortest period over which a newly started meter averages, so that the first
// amounts do not give a huge rate.
const minMeterPeriod = time.Second

// perSecond returns the rate per second. It corrects for the short history of a recently started
// meter.
func (m *meter) perSecond(now time.Time) float64 {
	elapsed := max(now.Sub(m.started), minMeterPeriod)
	observed := 1 - math.Exp2(-float64(elapsed)/float64(m.halfLife))
	return m.decayed(now) * math.Ln2 / m.halfLife.Seconds() / observed
}

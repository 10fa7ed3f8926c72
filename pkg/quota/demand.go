package quota

import (
	"math"
	"time"
)

// demandHalfLife is the time after which past demand counts half as much.
const demandHalfLife = 500 * time.Millisecond

// demand estimates how many tokens per second requests ask for, as an exponentially decaying average.
type demand struct {
	// weight is the sum of the tokens asked for, each decayed by its age at updatedAt.
	weight    float64
	updatedAt time.Time
}

func (d *demand) add(tokens int64, now time.Time) {
	d.decay(now)
	d.weight += float64(tokens)
}

func (d *demand) decay(now time.Time) {
	if !d.updatedAt.IsZero() {
		d.weight *= math.Exp2(-now.Sub(d.updatedAt).Seconds() / demandHalfLife.Seconds())
	}
	d.updatedAt = now
}

// rate returns the estimated demand at the time now, in tokens per second.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return d.weight * math.Ln2 / demandHalfLife.Seconds()
}

package placement

import (
	"math"
	"time"
)

const (
	// maxOutlier is the multiple of the expected time up to which a time to the first event counts for the group: requests
	// that meet a stalled engine say nothing of the speed of the others.
	maxOutlier = 4
	// A first event without a prompt is assumed to take as long as a later event, which counts like priorStarts
	// measurements. Until prompts have been measured, one of priorPrompt tokens is assumed to add initialTokenTime a token.
	priorStarts = 3
	priorPrompt = 1000
	priorWeight = 0.3
	// maxStart bounds the time to the first event of a response to an empty prompt.
	maxStart = time.Second
)

// linearFit is a linear regression of the time to the first event on the number of prompt tokens, over measurements that
// lose weight with groupHalfLife. Engines differ in both the fixed part and the part that each token adds, and a
// constant in place of the first would be taken for time spent on tokens.
type linearFit struct {
	n, x, y, xx, xy float64
	at              time.Time
}

// add adds a measurement of y nanoseconds after x tokens.
func (f *linearFit) add(x, y float64, now time.Time) {
	f.decay(now)
	f.addWeighted(x, y, 1)
}

func (f *linearFit) addWeighted(x, y, weight float64) {
	f.n += weight
	f.x += weight * x
	f.y += weight * y
	f.xx += weight * x * x
	f.xy += weight * x * y
}

func (f *linearFit) decay(now time.Time) {
	if age := now.Sub(f.at); age > 0 {
		factor := math.Exp2(-float64(age) / float64(groupHalfLife))
		f.n *= factor
		f.x *= factor
		f.y *= factor
		f.xx *= factor
		f.xy *= factor
		f.at = now
	}
}

// fit returns the time to the first event without a prompt, and the time that each token adds. event is the time between two
// later events.
func (f linearFit) fit(event time.Duration, now time.Time) (start, perToken time.Duration) {
	f.decay(now)
	f.addWeighted(0, float64(event), priorStarts)
	f.addWeighted(priorPrompt, float64(event+priorPrompt*initialTokenTime), priorWeight)
	slope := (f.n*f.xy - f.x*f.y) / (f.n*f.xx - f.x*f.x)
	slope = min(max(slope, float64(minTokenTime)), float64(maxTokenTime))
	start = time.Duration((f.y - slope*f.x) / f.n)
	return min(max(start, 0), maxStart), time.Duration(slope)
}

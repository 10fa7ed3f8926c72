package allowance

import "time"

// binWidth is the resolution in which spending is counted.
const binWidth = 500 * time.Millisecond

// slidingWindow counts the tokens spent within a window, in bins of binWidth. It is not safe for concurrent use.
type slidingWindow struct {
	bins  []int64   // tokens spent in each bin, the newest first
	start time.Time // begin of the newest bin; zero before the first use
}

func newSlidingWindow(window time.Duration) slidingWindow {
	return slidingWindow{bins: make([]int64, window/binWidth+1)}
}

// advance moves the window to now and drops the bins that have left it.
func (w *slidingWindow) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
		return
	}
	steps := int(now.Sub(w.start) / binWidth)
	if steps <= 0 {
		return
	}
	w.start = w.start.Add(time.Duration(steps) * binWidth)
	if steps >= len(w.bins) {
		clear(w.bins)
		return
	}
	copy(w.bins[steps:], w.bins[:len(w.bins)-steps])
	clear(w.bins[:steps])
}

func (w *slidingWindow) add(tokens int64, now time.Time) {
	w.advance(now)
	w.bins[0] += tokens
}

// remove takes back tokens that were spent at the given time but not used after all. It takes them out of
// the bin that counted them, so that tokens spent at other times count until they leave the window. If
// that bin has left the window already, remove does nothing.
func (w *slidingWindow) remove(tokens int64, at, now time.Time) {
	w.advance(now)
	for i := range w.bins {
		if begin := w.start.Add(-time.Duration(i) * binWidth); !begin.After(at) {
			w.bins[i] -= min(tokens, w.bins[i])
			return
		}
	}
}

// sum returns the tokens spent within the window.
func (w *slidingWindow) sum(now time.Time) int64 { return w.sumSince(time.Time{}, now) }

// sumSince returns the tokens spent after from. Bins count as a whole, so tokens spent up to binWidth before
// from may be included.
func (w *slidingWindow) sumSince(from, now time.Time) int64 {
	w.advance(now)
	total := int64(0)
	for i, n := range w.bins {
		if end := w.start.Add(-time.Duration(i-1) * binWidth); !end.After(from) {
			break
		}
		total += n
	}
	return total
}

// copyBins returns a copy of the bins as of now, the newest first.
func (w *slidingWindow) copyBins(now time.Time) []int64 {
	w.advance(now)
	return append([]int64(nil), w.bins...)
}

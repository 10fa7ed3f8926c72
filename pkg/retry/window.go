package retry

import (
	"sync"
	"time"
)

// buckets is the number of parts of a Window's span. Counts expire one part at a time.
const buckets = 20

// Window limits retries within a sliding span of time to a share of the requests in that span, plus a
// reserve that does not depend on the requests. It is safe for concurrent use.
type Window struct {
	span    time.Duration
	share   float64
	reserve func() float64

	mu sync.Mutex
	// The fields below are guarded by mu.

	// start is the beginning of the current bucket.
	start    time.Time
	requests [buckets]int
	retries  [buckets]int
	// current is the index of the bucket that counts now.
	current int
}

// NewWindow returns a Window over span that allows share retries per request, plus as many as reserve
// returns. reserve is called for every decision, so its result may change over time.
func NewWindow(span time.Duration, share float64, reserve func() float64) *Window {
	return &Window{span: span, share: share, reserve: reserve}
}

// CountRequest counts one request at the time now.
func (w *Window) CountRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.current]++
}

// AllowRetry counts one retry at the time now and reports true if the limit allows the retry. Otherwise it
// reports false and counts nothing.
func (w *Window) AllowRetry(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	requests, retries := 0, 0
	for i := range buckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if float64(retries)+1 > w.share*float64(requests)+w.reserve() {
		return false
	}
	w.retries[w.current]++
	return true
}

// advance moves the window to now and clears the buckets that have expired. w.mu is held.
func (w *Window) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	step := w.span / buckets
	for steps := 0; now.Sub(w.start) >= step; steps++ {
		if steps > buckets {
			w.start = now
			return
		}
		w.start = w.start.Add(step)
		w.current = (w.current + 1) % buckets
		w.requests[w.current], w.retries[w.current] = 0, 0
	}
}

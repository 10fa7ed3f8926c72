package retry

import (
	"sync"
	"time"
)

// buckets is the number of steps in which a Window forgets.
const buckets = 20

// Window bounds repeats within a sliding span of time: to a share of the requests of that span, and a
// fixed number on top. It is safe for concurrent use.
type Window struct {
	span    time.Duration
	share   float64
	reserve func() float64

	mu sync.Mutex
	// The fields below are guarded by mu.

	start    time.Time
	requests [buckets]int
	repeats  [buckets]int
	current  int
}

// NewWindow returns a Window over span, for a share of the requests and reserve repeats. The reserve may
// change.
func NewWindow(span time.Duration, share float64, reserve func() float64) *Window {
	return &Window{span: span, share: share, reserve: reserve}
}

// Request counts one request.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.current]++
}

// Repeat takes the right to one repeat, or reports false.
func (w *Window) Repeat(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	requests, repeats := 0, 0
	for i := range buckets {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	if float64(repeats)+1 > w.share*float64(requests)+w.reserve() {
		return false
	}
	w.repeats[w.current]++
	return true
}

// advance moves the window to now. w.mu is held.
func (w *Window) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	step := w.span / buckets
	for moved := 0; now.Sub(w.start) >= step; moved++ {
		if moved > buckets {
			w.start = now
			return
		}
		w.start = w.start.Add(step)
		w.current = (w.current + 1) % buckets
		w.requests[w.current], w.repeats[w.current] = 0, 0
	}
}

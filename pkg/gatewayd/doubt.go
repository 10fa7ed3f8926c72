package gatewayd

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// doubt decides whether the operator's rows that this VM reads may be older than rows that the store had acknowledged. That is
// so after the store has returned from an older copy, until the operator has written again. A VM that knew the rows before
// keeps the newer ones that it knows. One that has just started, or was out of touch for so long that it accepts no keys any
// more, waits until the generation of the store has settled.
type doubt struct {
	// upToDate reports whether this VM knows rows that were current lately.
	upToDate func() bool
	// settled reports whether a generation of the store has settled. It always has after maxDoubt.
	settled  func(generation uint64) bool
	maxDoubt time.Duration
	log      logrus.FieldLogger

	mu sync.Mutex
	// generation is the generation of the rows that were read last, and since is when it was first read. in says that the
	// rows are in doubt. All are guarded by mu.
	generation uint64
	since      time.Time
	in         bool
}

// enter records the generation of the rows that were read.
func (d *doubt) enter(generation uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if generation <= d.generation {
		return
	}
	d.generation, d.since = generation, now
	d.in = !d.upToDate()
	if d.in && !d.settled(generation) {
		d.log.WithFields(logrus.Fields{"event": "operator_rows_doubted", "generation": generation}).
			Info("the store may have returned from an older copy; its operator's rows are not used yet")
	}
}

// holds reports whether the rows are in doubt.
func (d *doubt) holds(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.in && (d.settled(d.generation) || now.Sub(d.since) >= d.maxDoubt) {
		d.in = false
	}
	return d.in
}

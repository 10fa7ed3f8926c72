package gatewayd

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// stalenessGuard decides whether the operator's rows that this VM reads may be older than rows that the store had acknowledged.
// That is possible after the store has returned from an older copy, until the operator has written again. A VM that knew the
// rows before keeps the newer ones that it knows. One that has just started, or was out of touch for so long that it accepts no
// keys any more, waits until the generation of the store has settled.
type stalenessGuard struct {
	// upToDate reports whether this VM knows rows that were current lately.
	upToDate func() bool
	// settled reports whether a generation of the store has settled. Every generation counts as settled maxWait after this VM
	// has first read it.
	settled func(generation uint64) bool
	maxWait time.Duration
	log     logrus.FieldLogger

	mu sync.Mutex
	// generation is the generation of the rows that were read last, and since is when it was first read. waiting says that
	// the rows may be stale. All are guarded by mu.
	generation uint64
	since      time.Time
	waiting    bool
}

// enter records the generation of the rows that were read.
func (g *stalenessGuard) enter(generation uint64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if generation <= g.generation {
		return
	}
	g.generation, g.since = generation, now
	g.waiting = !g.upToDate()
	if g.waiting && !g.settled(generation) {
		g.log.WithFields(logrus.Fields{"event": "operator_rows_held_back", "generation": generation}).
			Info("the store may have returned from an older copy; its operator's rows are not used yet")
	}
}

// possiblyStale reports whether the rows may be stale.
func (g *stalenessGuard) possiblyStale(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting && (g.settled(g.generation) || now.Sub(g.since) >= g.maxWait) {
		g.waiting = false
	}
	return g.waiting
}

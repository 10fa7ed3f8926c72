package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/memory"
)

const (
	// slowCallerDelay is how long a write to a caller must be blocked until the response is read ahead. It is longer than
	// usual delays of a network, and much shorter than the seconds after which endpoints cut off unread responses.
	slowCallerDelay = 100 * time.Millisecond
	// stallCheckInterval is the interval between two checks of whether a caller takes anything while a write is blocked.
	stallCheckInterval = time.Second
	// stallMargin is how much longer than the longest time limit of the configuration a caller may take nothing. The kernel of
	// a slow caller does not report single bytes but steps of a kilobyte to half of its receive buffer.
	stallMargin = 30 * time.Second
	// slowCallerMemoryShare is the share of the memory for responses that responses read ahead may take. The rest is left to
	// callers that read.
	slowCallerMemoryShare = 0.5
	// stallLogInterval is the least time between two log lines on callers that take nothing.
	stallLogInterval = time.Second
)

// errCallerStalled says that a caller has taken nothing of its response for the stall limit.
var errCallerStalled = errors.New("caller does not read its response")

// pastDeadline is a deadline that ends a blocked write immediately.
var pastDeadline = time.Unix(1, 0)

// slowCallers holds what the requests of slow callers have in common. It is safe for concurrent use.
type slowCallers struct {
	// delay and interval are slowCallerDelay and stallCheckInterval, except in tests.
	delay, interval time.Duration
	// stallLimit returns how long a caller may take nothing under the rules; it is the function stallLimit, except in tests.
	stallLimit func(*Rules) time.Duration
	// memory bounds what is read ahead of all responses.
	memory *memory.Budget

	// lastLog is the time of the last log line in Unix nanoseconds, unlogged the number of stalled callers since.
	lastLog, unlogged atomic.Int64
}

// longestLimit returns the longest time limit of the configuration.
func longestLimit(b *bundle.Bundle) time.Duration {
	longest := max(defaultTimeLimit, b.Callers.HeaderTimeout, b.Callers.IdleTimeout)
	for _, r := range b.Routes {
		longest = max(longest, r.Timeout)
	}
	return longest
}

// stallLimit returns how long a caller may take nothing under the rules, which are nil before there are any.
func stallLimit(rules *Rules) time.Duration {
	if rules == nil {
		return defaultTimeLimit + stallMargin
	}
	return rules.longestLimit + stallMargin
}

// writeWatch watches the writes of a response to its caller. If one is blocked, it has the response read ahead, and ends the
// connection once the caller has taken nothing for the stall limit. begin and end are called by the goroutine that serves the
// request.
type writeWatch struct {
	slow    *slowCallers
	control *http.ResponseController
	// acknowledged returns the number of bytes that the caller's kernel has acknowledged.
	acknowledged func() uint64
	// limit is how long the caller may take nothing.
	limit time.Duration
	// onStalled is called once, before the connection is ended.
	onStalled func()

	// mu is held by checks, so that the request goes on only after a check that runs when its write ends.
	mu    sync.Mutex
	timer *time.Timer
	// onBlocked is called at each check of a blocked write; nil if nothing can be read ahead. It is set between writes.
	onBlocked func()
	// writing says that a write is in progress, since began.
	writing bool
	began   time.Time
	// taken is what the caller's kernel had acknowledged at the last check of this write, takenAt when that last changed; zero
	// before the first check.
	taken   uint64
	takenAt time.Time
	stalled bool
}

// begin is called before a write.
func (w *writeWatch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing, w.began, w.takenAt = true, time.Now(), time.Time{}
	if w.timer == nil {
		w.timer = time.AfterFunc(w.slow.delay, w.check)
		return
	}
	w.timer.Reset(w.slow.delay)
}

// end is called after a write. It reports whether the write was ended because the caller took nothing.
func (w *writeWatch) end() (stalled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
	w.timer.Stop()
	return w.stalled
}

// check is called by the timer.
func (w *writeWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.writing || w.stalled || now.Sub(w.began) < w.slow.delay {
		return
	}
	if w.onBlocked != nil {
		w.onBlocked()
	}
	if taken := w.acknowledged(); w.takenAt.IsZero() {
		w.taken, w.takenAt = taken, w.began
	} else if taken != w.taken {
		w.taken, w.takenAt = taken, now
	}
	if now.Sub(w.takenAt) > w.limit {
		w.stalled = true
		w.onStalled()
		// The write in progress returns an error, after which net/http closes the connection. Only the response recorders of
		// tests do not support deadlines.
		_ = w.control.SetWriteDeadline(pastDeadline)
		return
	}
	w.timer.Reset(w.slow.interval)
}

// limitRest bounds the time for what net/http writes after the end of the handler: the end of a body in chunks. net/http
// removes the deadline afterwards.
func (w *writeWatch) limitRest() {
	if w.stalled {
		return
	}
	_ = w.control.SetWriteDeadline(time.Now().Add(w.limit))
}

// write writes a part of the response to the caller, and has it sent at once if flush is set.
func (c *call) write(part []byte, flush bool) error {
	c.watch.begin()
	_, err := c.w.Write(part)
	if err == nil && flush {
		err = c.watch.control.Flush()
	}
	if c.watch.end() {
		return errCallerStalled
	}
	return err
}

// read reads the next part of the response: from the endpoint, or what has been read ahead.
func (c *call) read(buffer []byte) (int, error) {
	if c.ahead != nil {
		return c.ahead.Read(buffer)
	}
	return c.response.Read(buffer)
}

// readAhead has the response read ahead, or goes on with it if it waits for memory. It is called while a write of the
// request's goroutine is blocked, with the lock of the watch.
func (c *call) readAhead() {
	if c.ahead != nil {
		c.ahead.retry()
		return
	}
	var fingerprint uint64
	if c.suspected {
		fingerprint = c.fingerprint()
	}
	response, placement, suspected, firstByte := c.response, c.placement, c.suspected, c.firstByte
	c.ahead = startReadAhead(&readAhead{
		source: response, budget: c.g.slow.memory, events: !c.relay.whole, progress: placement.Progress,
		complete: func() {
			response.Close()
			placement.Done(Outcome{FirstByte: firstByte})
			if suspected {
				c.g.cfg.Suspects.Ended(fingerprint, placement.Endpoint.ID)
			}
		},
	})
	if c.ahead != nil {
		c.g.meters.readAhead.Inc(1)
	}
}

// callerStalled counts and logs a caller that takes nothing of its response.
func (c *call) callerStalled() {
	c.g.meters.callersStalled.Inc(1)
	slow := c.g.slow
	now, last := time.Now().UnixNano(), slow.lastLog.Load()
	if now-last < int64(stallLogInterval) || !slow.lastLog.CompareAndSwap(last, now) {
		slow.unlogged.Add(1)
		return
	}
	c.g.cfg.Log.WithFields(logrus.Fields{
		"event": "caller_stalled", "id": c.terms.ID, "account": c.account, "route": c.route.Name, "caller": c.r.RemoteAddr,
		"limit": c.watch.limit, "not_logged": slow.unlogged.Swap(0),
	}).Warn("connection of a caller closed that does not read its response")
}

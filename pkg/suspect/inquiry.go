package suspect

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// probeTimeout bounds one question whether an endpoint lives; a live one answers within milliseconds.
	probeTimeout = 150 * time.Millisecond
	// probePause is the time between two questions to one endpoint.
	probePause = 200 * time.Millisecond
	// firstProbe is the time for which other requests' answers may show first that the endpoint lives.
	firstProbe = 10 * time.Millisecond
	// presumeAfter is the time after which an endpoint that has not shown that it lives counts as ended.
	presumeAfter = 600 * time.Millisecond
	// verdictWait bounds how long a request under which an endpoint may have ended waits before it is sent again, and
	// tellWait is the time in which other VMs hear of an end: the request may end the next endpoint too.
	verdictWait = 150 * time.Millisecond
	tellWait    = 10 * time.Millisecond
	// restartTime is the least time in which an endpoint that has ended may answer again. What it answers before
	// that shows that it has not ended; later answers may be those of its next run.
	restartTime = time.Second
	// settledAfter is the time for which an endpoint must have run a request to show that the request does not
	// crash the endpoints that begin to run it.
	settledAfter = time.Second
)

// inquiry is the question whether an endpoint has ended.
type inquiry struct {
	endpoint roster.Endpoint
	// done is closed when the question is decided.
	done chan struct{}
	// first is when the first connection ended.
	first time.Time
	// struck are the requests that were under way.
	struck map[uint64]struck
}

// struck is when a request was sent, and when its connection ended.
type struck struct{ sent, broke time.Time }

// inquire finds out whether an endpoint has ended.
func (w *Watch) inquire(q *inquiry) {
	clock.Sleep(w.ctx, firstProbe)
	for w.ctx.Err() == nil {
		if w.settled(q, "answered others") {
			return
		}
		asked := time.Now()
		life := w.probe(q.endpoint)
		switch {
		case life == Ended:
			w.decide(q, "ended")
			return
		case life == Alive:
			w.mu.Lock()
			w.lived(q, asked)
			w.mu.Unlock()
			if w.settled(q, "answered") {
				return
			}
		}
		if time.Since(w.oldest(q)) >= presumeAfter {
			w.decide(q, "silent")
			return
		}
		clock.Sleep(w.ctx, probePause)
	}
}

func (w *Watch) probe(e roster.Endpoint) Life {
	if w.cfg.Listed(e) == Replaced {
		return Ended
	}
	ctx, cancel := context.WithTimeout(w.ctx, probeTimeout)
	defer cancel()
	return w.cfg.Prober.Probe(ctx, e)
}

// oldest returns when the first of the connections ended that are still in question.
func (w *Watch) oldest(q *inquiry) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	oldest := time.Now()
	for _, s := range q.struck {
		if s.broke.Before(oldest) {
			oldest = s.broke
		}
	}
	return oldest
}

// settled ends an inquiry in which no request is left.
func (w *Watch) settled(q *inquiry, why string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(q.struck) > 0 {
		return false
	}
	w.end(q)
	w.meters.alive.Inc(1)
	w.cfg.Log.WithFields(w.fields(q, "endpoint_alive", why)).Info()
	return true
}

// decide ends an inquiry: the endpoint has ended. It had ended before for requests that were sent after another VM has seen
// that, which had only met an address that still takes connections.
func (w *Watch) decide(q *inquiry, why string) {
	crash := crashOf(q.endpoint)
	ended := w.firstSeen(crash, q.first)
	w.mu.Lock()
	w.end(q)
	w.decided[crash] = ended
	for fingerprint, s := range q.struck {
		if s.sent.After(ended) {
			delete(q.struck, fingerprint)
			w.cfg.Table.Retract(fingerprint, crash)
		}
	}
	fields := w.fields(q, "endpoint_ended", why)
	w.mu.Unlock()
	w.meters.ended.Inc(1)
	w.cfg.Log.WithFields(fields).Warn()
	w.cfg.Told()
}

// end ends an inquiry. w.mu is held.
func (w *Watch) end(q *inquiry) {
	delete(w.open, q.endpoint.Incarnation)
	w.asking.Add(-1)
	close(q.done)
}

// AwaitVerdict waits until it is decided whether an endpoint has ended, and other VMs that were struck by the same request
// may have told, or until verdictWait has passed.
func (w *Watch) AwaitVerdict(ctx context.Context, id roster.Incarnation) {
	w.mu.Lock()
	q := w.open[id]
	w.mu.Unlock()
	if q == nil {
		return
	}
	timer := time.NewTimer(verdictWait)
	defer timer.Stop()
	select {
	case <-q.done:
		if w.held(id) {
			clock.Sleep(ctx, tellWait)
		}
	case <-timer.C:
	case <-ctx.Done():
	}
}

// held reports whether a run of an endpoint was found to have ended.
func (w *Watch) held(id roster.Incarnation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ended := w.decided[crashOf(roster.Endpoint{Incarnation: id})]
	return ended
}

// fields are those of the line on an inquiry's outcome. w.mu is held.
func (w *Watch) fields(q *inquiry, event, why string) logrus.Fields {
	return logrus.Fields{
		"event": event, "endpoint": q.endpoint.ID, "started": q.endpoint.Started, "why": why,
		"requests": len(q.struck), "took": time.Since(q.first).Round(time.Millisecond),
	}
}

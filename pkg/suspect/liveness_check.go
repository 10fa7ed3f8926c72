package suspect

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// probeTimeout bounds one probe of an endpoint; a live endpoint responds within milliseconds.
	probeTimeout = 150 * time.Millisecond
	// probeInterval is the time between two probes of one endpoint.
	probeInterval = 200 * time.Millisecond
	// firstProbeDelay is the time before the first probe, within which responses to other requests may already show that the
	// endpoint is alive.
	firstProbeDelay = 10 * time.Millisecond
	// presumeCrashedAfter is the time after which an endpoint that has not shown that it is alive counts as crashed.
	presumeCrashedAfter = 600 * time.Millisecond
	// maxLivenessWait bounds how long a request waits before it is sent again, if its endpoint may have crashed under it.
	// peerReportWait is the further wait after a confirmed crash, in which the reports of other VMs may arrive: the request
	// may crash the next endpoint too.
	maxLivenessWait = 150 * time.Millisecond
	peerReportWait  = 10 * time.Millisecond
	// minRestartTime is the least time after which an endpoint that has crashed may respond again. A response before that
	// shows that the endpoint has not crashed; a later one may come from its next incarnation.
	minRestartTime = time.Second
	// minSafeRunTime is how long an endpoint must have been responding to a request to show that the request does not
	// crash endpoints as soon as they start to run it.
	minSafeRunTime = time.Second
	// maxCrashDelay is how long after the first part of an answer the connection of an endpoint is lost that crashes as it begins to
	// write, with the delays of the network and of a busy VM. Most streams in flight at a crash have been written for longer.
	maxCrashDelay = 100 * time.Millisecond
)

// livenessCheck finds out whether an endpoint has crashed, after it has lost the connection of a request.
type livenessCheck struct {
	endpoint roster.Endpoint
	// done is closed when the check ends.
	done chan struct{}
	// firstLost is when the first connection was lost.
	firstLost time.Time
	// affected are the requests and parts of prompts that may have been in flight at a crash.
	affected map[affected]affectedRequest
}

// affected is a request, or a part of a prompt if part is not empty.
type affected struct {
	fingerprint uint64
	part        string
}

// affectedRequest holds when a request was sent, and when its connection was lost.
type affectedRequest struct{ sentAt, lostAt time.Time }

// runCheck probes an endpoint until it is known, or must be presumed, whether it has crashed.
func (d *Detector) runCheck(c *livenessCheck) {
	clock.Sleep(d.ctx, firstProbeDelay)
	for d.ctx.Err() == nil {
		if d.finishIfNoneAffected(c, "answered others") {
			return
		}
		if d.cfg.Listed(c.endpoint) == Evacuated {
			d.abandonCheck(c)
			return
		}
		probedAt := time.Now()
		liveness := d.probe(c.endpoint)
		switch {
		case liveness == Terminated:
			d.confirmCrash(c, "ended")
			return
		case liveness == Alive:
			d.mu.Lock()
			d.markAlive(c, probedAt)
			d.mu.Unlock()
			if d.finishIfNoneAffected(c, "answered") {
				return
			}
		}
		if time.Since(d.oldestLoss(c)) >= presumeCrashedAfter {
			d.confirmCrash(c, "silent")
			return
		}
		clock.Sleep(d.ctx, probeInterval)
	}
}

// probe finds out from the list of endpoints, or from the endpoint itself, whether an incarnation is alive.
func (d *Detector) probe(e roster.Endpoint) Liveness {
	if d.cfg.Listed(e) == Replaced {
		return Terminated
	}
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	return d.cfg.Prober.Probe(ctx, e)
}

// oldestLoss returns when the first connection was lost, of those whose requests are still affected.
func (d *Detector) oldestLoss(c *livenessCheck) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	oldest := time.Now()
	for _, r := range c.affected {
		if r.lostAt.Before(oldest) {
			oldest = r.lostAt
		}
	}
	return oldest
}

// finishIfNoneAffected ends a check in which no affected request is left, since the endpoint is alive. It reports whether it
// did.
func (d *Detector) finishIfNoneAffected(c *livenessCheck, why string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(c.affected) > 0 {
		return false
	}
	d.closeCheck(c)
	d.metrics.alive.Inc(1)
	d.cfg.Log.WithFields(d.logFields(c, "endpoint_alive", why)).Info("endpoint is alive; lost connections are not counted as a crash")
	return true
}

// abandonCheck ends a check without a result, and retracts the crash: the endpoint must not be probed any more, and requests must
// not be held responsible for that.
func (d *Detector) abandonCheck(c *livenessCheck) {
	d.mu.Lock()
	fields := d.logFields(c, "endpoint_check_ended", "evacuated")
	for a := range c.affected {
		d.retract(a, crashID(c.endpoint))
	}
	d.closeCheck(c)
	d.mu.Unlock()
	d.cfg.Log.WithFields(fields).Info("failure domain of the endpoint is evacuated; lost connections are not counted as a crash")
}

// confirmCrash ends a check with the result that the endpoint has crashed. The crash is not held against requests that were
// sent after another VM had already seen it: they only met an address that still accepted connections.
func (d *Detector) confirmCrash(c *livenessCheck, why string) {
	crash := crashID(c.endpoint)
	crashedAt := d.reconcileCrashTime(crash, c.firstLost)
	d.mu.Lock()
	d.closeCheck(c)
	d.confirmedCrashes[crash] = crashedAt
	for a, r := range c.affected {
		switch {
		case r.sentAt.After(crashedAt):
			delete(c.affected, a)
			d.retract(a, crash)
		case a.part != "":
			d.cfg.Parts.ConfirmCrash(time.Now(), a.fingerprint, crash)
		}
	}
	fields := d.logFields(c, "endpoint_ended", why)
	d.mu.Unlock()
	d.metrics.crashed.Inc(1)
	d.cfg.Log.WithFields(fields).Warn("endpoint crashed or is unresponsive")
	d.notifyChange()
}

// closeCheck ends a check. d.mu is held.
func (d *Detector) closeCheck(c *livenessCheck) {
	delete(d.checks, c.endpoint.Incarnation)
	d.openChecks.Add(-1)
	close(c.done)
}

// AwaitLiveness waits until it is known whether an endpoint incarnation has crashed, but not for longer than
// maxLivenessWait. After a crash it waits for another peerReportWait, so that reports arrive from other VMs where the same
// request met a crash.
func (d *Detector) AwaitLiveness(ctx context.Context, id roster.Incarnation) {
	d.mu.Lock()
	c := d.checks[id]
	d.mu.Unlock()
	if c == nil {
		return
	}
	timer := time.NewTimer(maxLivenessWait)
	defer timer.Stop()
	select {
	case <-c.done:
		if d.crashConfirmed(id) {
			clock.Sleep(ctx, peerReportWait)
		}
	case <-timer.C:
	case <-ctx.Done():
	}
}

// crashConfirmed reports whether an endpoint incarnation was found to have crashed.
func (d *Detector) crashConfirmed(id roster.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, confirmed := d.confirmedCrashes[crashID(roster.Endpoint{Incarnation: id})]
	return confirmed
}

// logFields returns the log fields for the result of a check. d.mu is held.
func (d *Detector) logFields(c *livenessCheck, event, why string) logrus.Fields {
	return logrus.Fields{
		"event": event, "endpoint": c.endpoint.ID, "started": c.endpoint.Started, "why": why,
		"requests": len(c.affected) - c.parts(), "parts": c.parts(), "took": time.Since(c.firstLost).Round(time.Millisecond),
	}
}

// parts returns the number of parts that are affected. The detector's mu is held.
func (c *livenessCheck) parts() int {
	n := 0
	for a := range c.affected {
		if a.part != "" {
			n++
		}
	}
	return n
}

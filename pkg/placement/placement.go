// Package placement decides where requests go. It contains the decisions of the dispatcher, which looks for an
// endpoint, and of the owner of an engine, which estimates how long a request would have to wait there. The package
// uses neither the network nor a clock: replies and times are passed in.
package placement

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// DefaultHomeCount is the number of engines among which a request looks for its adapter, if there are that
	// many. Adapters in heavy use get more homes (see HotKeys).
	DefaultHomeCount = 3
	// DefaultObjective applies to routes without an objective of their own.
	DefaultObjective = time.Second
	// MinRetryAfter is the least Retry-After of a refused request.
	MinRetryAfter = 100 * time.Millisecond
	// immediateWaitShare is the part of a request's objective that the queue and its own work at a home may
	// take up for the request to go there without asking the next home.
	immediateWaitShare = 0.25
	// immediateLoadShare is the part of the objective that a request waits for its adapter to load at a home
	// without asking the next home.
	immediateLoadShare = 0.55
	// maxWaitShare is the multiple of the objective beyond which a request is refused: a response that comes
	// late keeps others from being in time. Lower limits apply to less urgent requests and to those of accounts
	// over their limit, so that these are refused before others.
	maxWaitShare           = 1.2
	lessUrgentMaxWaitShare = 0.95
	overLimitMaxWaitShare  = 0.6
	// loadPenalty is added to the wait at a home that would have to load the adapter: the load takes a slot and
	// a share of the weight store's bandwidth from others.
	loadPenalty = 100 * time.Millisecond
	// waitTimeoutShare is the multiple of the objective after which a wait that takes longer than expected
	// ends.
	waitTimeoutShare = 2.0
)

// Request describes a request that looks for an engine.
type Request struct {
	// Objective is the time within which the first token should arrive.
	Objective time.Duration
	Arrived   time.Time
	// Deadline is when the response is of no more use to the caller.
	Deadline time.Time
	// WaitDeadline is when the request is refused rather than waiting any longer.
	WaitDeadline time.Time
	// Urgency ranks the request; 0 is the most urgent.
	Urgency int
	// OverLimit says that the request's account is over its limit.
	OverLimit bool
	// Caller identifies the caller's request over its attempts. Returned says that it was refused before and comes back
	// at the time that it was given.
	Caller   uint64
	Returned bool
}

// NewRequest returns a request whose WaitDeadline follows from its objective and its deadline. An objective of 0
// stands for DefaultObjective.
func NewRequest(objective time.Duration, arrived, deadline time.Time, urgency int, overLimit bool) Request {
	if objective == 0 {
		objective = DefaultObjective
	}
	r := Request{Objective: objective, Arrived: arrived, Deadline: deadline, Urgency: urgency, OverLimit: overLimit}
	r.WaitDeadline = arrived.Add(r.ObjectiveShare(waitTimeoutShare))
	if deadline.Before(r.WaitDeadline) {
		r.WaitDeadline = deadline
	}
	return r
}

// ObjectiveShare returns a fraction of the objective.
func (r Request) ObjectiveShare(part float64) time.Duration {
	return time.Duration(part * float64(r.Objective))
}

// maxWait returns the longest time from the request's arrival to its first token for which it is still worth
// serving.
func (r Request) maxWait() time.Duration {
	switch {
	case r.OverLimit:
		return r.ObjectiveShare(overLimitMaxWaitShare)
	case r.Urgency > 0:
		return r.ObjectiveShare(lessUrgentMaxWaitShare)
	}
	return r.ObjectiveShare(maxWaitShare)
}

// AskHeld returns the step that asks for an immediate permit at an engine, if that holds the adapter.
func (r Request) AskHeld(e roster.Endpoint) Step {
	return r.held(Ask, e, r.ObjectiveShare(immediateWaitShare))
}

// SendHeld returns the step that sends the request to an engine, if that holds the adapter and can serve it in time.
func (r Request) SendHeld(e roster.Endpoint) Step { return r.held(Send, e, r.maxWait()) }

func (r Request) held(a Action, e roster.Endpoint, wait time.Duration) Step {
	return Step{Action: a, Endpoint: e, Bounds: Bounds{First: wait}, WaitUntil: r.WaitDeadline}
}

// lateByOwnWork reports whether hardly anything is ahead of the request at the home. The request is then late
// only because of its own work, and a late response is better than none.
func (r Request) lateByOwnWork(o Offer, now time.Time) bool {
	return o.Queue <= r.ObjectiveShare(immediateWaitShare) && o.LoadDelay <= r.ObjectiveShare(immediateLoadShare) &&
		o.Estimate+o.LoadDelay < r.WaitDeadline.Sub(now)
}

// Offer describes an engine where a request would have to wait.
type Offer struct {
	Endpoint roster.Endpoint
	// Estimate is the expected time to the first token, without the wait for the adapter.
	Estimate time.Duration
	// Queue is the part of Estimate that is not the request's own work.
	Queue time.Duration
	// LoadDelay is the expected wait for the adapter; 0 if the engine holds it.
	LoadDelay time.Duration
	// Displaced is the work of less urgent requests that the request would delay.
	Displaced time.Duration
}

// wait returns how long the request would have to wait at the home, with a penalty for homes that do not hold
// its adapter.
func (o Offer) wait() time.Duration {
	if o.LoadDelay > 0 {
		return o.Estimate + o.LoadDelay + loadPenalty
	}
	return o.Estimate
}

// Bounds are the longest waits that a request accepts: for the first token, and for the adapter.
type Bounds struct {
	First, Load time.Duration
	// Total, if not 0, bounds the time to the first token together with the work of less urgent requests that the
	// request would delay.
	Total time.Duration
}

// Accept reports whether the bounds allow a request to go to an engine at once.
func (b Bounds) Accept(f Forecast, loadDelay time.Duration) bool {
	return f.First <= b.First && loadDelay <= b.Load && (b.Total == 0 || f.First+f.Displaced <= b.Total)
}

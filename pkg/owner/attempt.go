package owner

import (
	"context"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/work"
)

// attempt is one attempt at a request, from its arrival at the group's owner until its outcome expires.
// Its states are defined in attempt.chart.
type attempt struct {
	req      *work.Request
	log      *eventLog
	arrived  time.Time
	deadline time.Time
	// ctx ends when the attempt ends or is withdrawn; cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc

	// mu guards the fields below.
	mu      sync.Mutex
	machine *chart.Machine
	outcome result.Outcome
	// endpoint is the name of the endpoint that the attempt was last dispatched to. It is empty before
	// the first dispatch and after a return to the queue.
	endpoint string
	// polled is when the entry VM (the VM that received the request) last polled for events.
	polled  time.Time
	endedAt time.Time
}

func newAttempt(req *work.Request, now time.Time) *attempt {
	ctx, cancel := context.WithCancel(context.Background())
	return &attempt{
		req:      req,
		log:      newEventLog(),
		arrived:  now,
		deadline: now.Add(req.Remaining),
		ctx:      ctx,
		cancel:   cancel,
		machine:  chart.NewMachine(attemptChart),
		polled:   now,
	}
}

// newTombstone returns an attempt in state withdrawn. It stands for an attempt whose Withdraw arrived
// before its Submit.
func newTombstone(now time.Time) *attempt {
	a := newAttempt(&work.Request{}, now)
	a.withdraw(now)
	return a
}

func (a *attempt) state() chart.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.State()
}

// markRunning moves a queued attempt to running. It reports false if the attempt is not queued.
func (a *attempt) markRunning(endpoint string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.machine.State() != stateQueued || a.machine.Fire(eventDispatch) != nil {
		return false
	}
	a.endpoint = endpoint
	return true
}

// markQueued moves a running attempt back to queued because the endpoint did not run it. It reports false if
// the attempt is not running.
func (a *attempt) markQueued() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.machine.State() != stateRunning || a.machine.Fire(eventReturn) != nil {
		return false
	}
	a.endpoint = ""
	return true
}

// withdraw ends the attempt if it is still queued. It returns whether the attempt has run, as far as
// this VM knows.
func (a *attempt) withdraw(now time.Time) result.Outcome {
	a.mu.Lock()
	before := a.machine.State()
	_ = a.machine.Fire(eventWithdraw)
	if before == stateQueued {
		a.outcome = result.NotRun
		a.endedAt = now
	}
	outcome := a.outcome
	a.mu.Unlock()
	switch before {
	case stateRunning:
		return result.MayHaveRun
	case stateQueued:
		a.log.append(context.Background(), withdrawnEvent())
		a.cancel()
	}
	return outcome
}

func withdrawnEvent() work.Event {
	failure := &work.Failure{Code: result.Withdrawn, Outcome: result.NotRun, Detail: "withdrawn before it started"}
	return work.Event{Kind: work.Failed, Failure: failure}
}

// end ends the attempt and appends its last event. Only the first call has an effect.
func (a *attempt) end(now time.Time, last work.Event) {
	a.mu.Lock()
	if a.machine.Done() {
		a.mu.Unlock()
		return
	}
	_ = a.machine.Fire(eventEnd)
	a.outcome = result.Ran
	if last.Failure != nil {
		a.outcome = last.Failure.Outcome
	}
	a.endedAt = now
	a.mu.Unlock()
	a.log.append(context.Background(), last)
	a.cancel()
}

// fail ends the attempt with a failure.
func (a *attempt) fail(now time.Time, failure *work.Failure) {
	a.end(now, work.Event{Kind: work.Failed, Failure: failure})
}

// refuse ends an attempt that has not run, with the code, outcome, retry delay and detail of err.
func (a *attempt) refuse(now time.Time, err *result.Error) {
	a.fail(now, &work.Failure{
		Code:       err.Code,
		Outcome:    err.Outcome,
		RetryAfter: err.RetryAfter,
		Detail:     err.Detail,
	})
}

// recordPoll records that the entry VM polled for events.
func (a *attempt) recordPoll(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.polled = now
}

// times returns when the entry VM last polled and when the attempt ended (zero if it has not).
func (a *attempt) times() (polled, ended time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.polled, a.endedAt
}

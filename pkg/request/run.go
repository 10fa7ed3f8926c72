package request

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/ledger"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/work"
)

// execution is the processing of one request according to the state chart. Its fields are used only by
// the goroutine that drives it, except those read for the state dump, which are guarded by s.mu.
type execution struct {
	s       *Service
	call    *Call
	sink    Sink
	ctx     context.Context
	machine *chart.Machine
	began   time.Time
	log     logrus.FieldLogger
	jitter  func() float64

	// Guarded by s.mu.
	state    chart.State
	attempt  int
	group    string
	endpoint string

	current attempt
	// nextTarget is the owner of the next attempt if it was already looked up for the at-most-once
	// record; otherwise nil.
	nextTarget *target
	resume     *work.Resume // set if the next attempt resumes a stream
	exclude    []string
	// groupIndex is the index in call.Groups of the group that the next attempt goes to.
	groupIndex int
	backoffs   int
	// mayHaveRun says that an earlier attempt has run or may have run.
	mayHaveRun bool
	isolated   bool
	charged    bool
	// admitStarted is when the call to Quota.Admit began: the account was not charged before then.
	admitStarted time.Time
	record       *ledger.Handle
	replay       *ledger.Response
	answer       answer
	// failure is the final error; nil if there is none.
	failure *result.Error
	// lastError is the error of the last failed attempt. It becomes the final error if the deadline
	// leaves no time for another attempt.
	lastError *result.Error
	// detached says that the caller has received its final error, and that the attempt is followed only
	// to complete the at-most-once record.
	detached bool
}

// attempt is the state of the current attempt.
type attempt struct {
	id        work.AttemptID
	owner     work.Owner
	vm        string
	submitted time.Time
	// next is the sequence number of the next event to process.
	next     uint64
	pending  []work.Event
	started  bool
	headSeen bool
	endpoint string
	engineID string
	resumed  bool
	// losses counts the times that contact with the owner was lost since its last event.
	losses int
}

// answer is the part of the answer that has arrived so far.
type answer struct {
	status int
	header http.Header
	body   []byte
	// begun says that the status and headers of a stream were sent to the caller.
	begun bool
	// events is the number of stream events that were sent to the caller.
	events uint64
	// overflow says that the body was discarded because it exceeded MaxAnswerBytes or the memory limit.
	overflow bool
	used     usage
}

// steps holds the function to run in each non-final state. It returns the event that selects the
// transition out of the state.
var steps = map[chart.State]func(*execution) chart.Event{
	received:      (*execution).authenticate,
	authenticated: (*execution).admit,
	admitted:      (*execution).writeRecord,
	replaying:     (*execution).deliverRecorded,
	recorded:      (*execution).chooseOwner,
	submitted:     (*execution).submit,
	queued:        (*execution).awaitStart,
	started:       (*execution).awaitHead,
	streaming:     (*execution).receiveAnswer,
	recovering:    (*execution).recoverOwner,
	backoff:       (*execution).awaitBackoff,
	following:     (*execution).followDetached,
	completing:    (*execution).complete,
	releasing:     (*execution).release,
}

// drive runs steps until the request has ended or is detached. It returns the final error, or nil if
// the answer was delivered.
func (r *execution) drive() *result.Error {
	r.s.metrics.requests.Inc(1)
	r.s.metrics.open.Inc(1)
	for !r.machine.Done() && !r.detached {
		if !r.step() {
			return r.failure
		}
	}
	if r.detached {
		r.s.metrics.followed.Inc(1)
		failure := r.failure
		go r.driveDetached()
		return failure
	}
	r.finish()
	return r.failure
}

// driveDetached runs the remaining steps of a request whose caller has received its final error.
func (r *execution) driveDetached() {
	for !r.machine.Done() {
		if !r.step() {
			return
		}
	}
	r.finish()
}

// step runs the step of the current state and makes the transition. It returns false if a hook stopped
// the request or the chart does not allow the event.
func (r *execution) step() bool {
	state := r.machine.State()
	if !r.hook(state, Before) {
		return false
	}
	event := steps[state](r)
	if !r.hook(state, After) {
		return false
	}
	if err := r.machine.Fire(event); err != nil {
		r.log.WithFields(logrus.Fields{"event": "chart_rejected", "state": state}).WithError(err).Error("state chart rejected the event returned by a step")
		r.setFailure(result.New(result.Internal, "the request came to an undefined state"))
		r.finish()
		return false
	}
	r.publish()
	return true
}

func (r *execution) hook(state chart.State, side Side) bool {
	if r.s.cfg.Hook == nil {
		return true
	}
	if err := r.s.cfg.Hook(r.call.ID, state, side); err != nil {
		r.failure = result.New(result.Internal, "stopped")
		r.s.unregister(r)
		r.s.metrics.open.Dec(1)
		return false
	}
	return true
}

// publish updates the fields that the state dump reads.
func (r *execution) publish() {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.state = r.machine.State()
	r.attempt = r.current.id.Attempt
	r.endpoint = r.current.endpoint
}

// describe returns the entry for the state dump. The caller holds s.mu.
func (r *execution) describe() OpenRequest {
	return OpenRequest{
		ID:       r.call.ID,
		State:    r.state,
		Account:  r.call.Account,
		Group:    r.group,
		Attempt:  r.attempt,
		Endpoint: r.endpoint,
		Age:      time.Since(r.began),
	}
}

// finish releases what the request holds, and logs and counts its end.
func (r *execution) finish() {
	r.releaseBody()
	r.s.unregister(r)
	r.s.metrics.open.Dec(1)
	r.s.metrics.duration.Update(time.Since(r.began).Microseconds())
	fields := logrus.Fields{
		"event":    "request_end",
		"state":    r.machine.State(),
		"account":  r.call.Account,
		"group":    r.call.Groups[r.groupIndex],
		"attempts": r.current.id.Attempt,
		"endpoint": r.current.endpoint,
		"ms":       time.Since(r.began).Milliseconds(),
	}
	if r.failure != nil {
		fields["code"] = int(r.failure.Code)
		fields["name"] = r.failure.Code.Name()
		fields["outcome"] = r.failure.Outcome
	}
	r.log.WithFields(fields).Info("request ended")
	r.countOutcome()
}

func (r *execution) countOutcome() {
	m := &r.s.metrics
	switch r.machine.State() {
	case answered:
		m.answered.Inc(1)
	case replayed:
		m.replayed.Inc(1)
	case refused:
		m.refused.Inc(1)
	default:
		m.failed.Inc(1)
	}
	if r.failure != nil && r.failure.Code == result.CallerGone {
		m.callerGone.Inc(1)
	}
}

// endWithError sets the final error as setFailure does, and returns the event that ends the request
// with it.
func (r *execution) endWithError(e *result.Error) chart.Event {
	r.setFailure(e)
	if r.failure.Outcome == result.NotRun {
		return evRefuse
	}
	return evFail
}

// setFailure sets the final error to e. If e has the outcome not-run although an attempt may have run,
// the outcome becomes may-have-run.
func (r *execution) setFailure(e *result.Error) {
	final := *e
	if final.Outcome == result.NotRun && r.possiblyRan() {
		final.Outcome = result.MayHaveRun
	}
	r.failure = &final
}

// interrupted returns the final error for a caller that has disconnected or whose deadline has passed.
// Its outcome, not-run, holds only if the current attempt has not run; the caller of this method
// corrects it otherwise.
func (r *execution) interrupted() *result.Error {
	e := result.New(result.CallerGone, "the caller closed the connection")
	if r.ctx.Err() == context.DeadlineExceeded {
		e = result.New(result.DeadlinePassed, "the deadline has passed")
	}
	e.Outcome = result.NotRun
	return e
}

// possiblyRan reports whether any attempt has run or may have run.
func (r *execution) possiblyRan() bool { return r.mayHaveRun || r.current.started }

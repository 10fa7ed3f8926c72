package request

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/suspect"
	"github.com/mallowlink/mallowlink/pkg/work"
)

const (
	// withdrawTimeout is the time limit of one call of Owner.Withdraw or Owner.Cancel.
	withdrawTimeout = time.Second
	// recoverWindow is how long calls of Owner.Withdraw to an unreachable owner are repeated.
	recoverWindow = 3 * time.Second
	// recoverInterval is the delay between two such calls.
	recoverInterval = 50 * time.Millisecond
	// maxLosses is how often contact with an owner may be lost without an event in between.
	maxLosses = 8
	// maxProofAge is the age of an attempt up to which its owner's report of not-run is accepted. Owners
	// discard ended attempts after work.RetainEnded and may then report not-run for them. Half of that
	// leaves a margin.
	maxProofAge = work.RetainEnded / 2
	// followLimit is the longest time for which a detached request is followed.
	followLimit = 30 * time.Minute
	// followRetryDelay is the delay before an unreachable owner of a detached request is polled again.
	followRetryDelay = 200 * time.Millisecond
	// budgetRetryAfter is the Retry-After delay sent to callers while the retry budget is spent.
	budgetRetryAfter = time.Second
)

// withdraw requests that the owner withdraw the attempt if it has not started. It returns not-run only
// if that is reliable: the attempt is not known to have started and is younger than maxProofAge.
func (r *execution) withdraw(ctx context.Context) (result.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	outcome, err := r.current.owner.Withdraw(ctx, r.current.id)
	if err != nil {
		return result.MayHaveRun, err
	}
	if outcome == result.NotRun && (r.current.started || time.Since(r.current.submitted) > maxProofAge) {
		return result.MayHaveRun, nil
	}
	return outcome, nil
}

// recoverOwner determines the state of an attempt whose owner did not respond, by withdrawing it. If
// the attempt has started, it is continued.
func (r *execution) recoverOwner() chart.Event {
	r.s.metrics.ownerLost.Inc(1)
	r.current.losses++
	if r.current.losses > maxLosses {
		return r.ownerGone()
	}
	until := time.Now().Add(recoverWindow)
	for {
		outcome, err := r.withdraw(context.WithoutCancel(r.ctx))
		switch {
		case err == nil && outcome == result.NotRun:
			return r.attemptNotRun(result.New(result.OwnerLost, "the owner was lost before the request started"))
		case err == nil:
			return r.reattach()
		case errors.Is(err, peer.ErrRefused) || time.Now().After(until):
			return r.ownerGone()
		case !r.sleep(recoverInterval):
			r.mayHaveRun = true
			return r.endWithError(r.interrupted())
		}
	}
}

// reattach returns to the state that the attempt had reached, after a delay that grows with the number
// of losses.
func (r *execution) reattach() chart.Event {
	r.sleep(recoverInterval * time.Duration(r.current.losses))
	switch {
	case r.current.headSeen:
		return evHead
	case r.current.started:
		return evStart
	}
	return evAccept
}

// ownerGone handles an owner that cannot be reached any more. The outcome of the attempt is then
// unknown, because only the owner could prove that it has not run.
func (r *execution) ownerGone() chart.Event {
	r.log.WithField("event", "owner_lost").WithField("vm", r.current.vm).Warn("owner of the attempt does not respond; its outcome is unknown")
	return r.attemptFailed(&work.Failure{
		Code:    result.OwnerLost,
		Outcome: result.MayHaveRun,
		Detail:  "the owner of the endpoint was lost",
	})
}

// attemptNotRun handles the failure of an attempt that is proven not to have run.
func (r *execution) attemptNotRun(e *result.Error) chart.Event {
	return r.attemptFailed(&work.Failure{
		Code:       e.Code,
		Outcome:    result.NotRun,
		RetryAfter: e.RetryAfter,
		Detail:     e.Detail,
	})
}

// attemptFailed chooses and begins the action that follows the failure of an attempt.
func (r *execution) attemptFailed(f *work.Failure) chart.Event {
	if f == nil {
		return r.unexpectedEvent()
	}
	r.reportCrash(f)
	proven := f.Outcome == result.NotRun && !r.current.headSeen
	s := r.failureContext()
	if !proven {
		r.mayHaveRun = true
	}
	// An attempt lost with its owner before it was known to start may not have run. The retry budget
	// counts only attempts that started, or that failed at an endpoint.
	usesBudget := r.current.started || !proven && f.Code != result.OwnerLost
	r.current.started = false
	next := decide(s, f)
	if next == actionFail && proven && r.advanceGroup(f.Code) {
		next = actionRetry
	}
	switch next {
	case actionRetry:
		r.s.metrics.notRunRetries.Inc(1)
		r.lastError = failureError(f)
		return evNotRun
	case actionResume:
		return r.resumeStream()
	case actionRerun:
		return r.rerun(f, usesBudget)
	case actionCut:
		e := failureError(f)
		e.Code = result.AnswerCut
		e.Outcome = result.MayHaveRun
		return r.endWithError(e)
	}
	return r.endWithError(failureError(f))
}

func (r *execution) failureContext() failureContext {
	s := failureContext{
		idempotent:   r.call.Idempotent,
		stream:       r.call.Endpoint.Stream,
		headSeen:     r.current.headSeen,
		delivered:    r.answer.events,
		engineID:     r.current.engineID,
		resumeFailed: r.current.resumed && !r.current.headSeen,
	}
	if s.engineID == "" && r.resume != nil && !s.resumeFailed {
		s.engineID = r.resume.EngineID
	}
	return s
}

// reportCrash reports the crash of an endpoint, if f is one, to the suspect guard under the request's
// fingerprint, and excludes the endpoint from further attempts.
func (r *execution) reportCrash(f *work.Failure) {
	if !f.Crashed {
		return
	}
	crash, endpoint := f.Crash, r.current.endpoint
	if crash == "" {
		crash = r.current.engineID
	}
	if endpoint == "" {
		endpoint = f.Endpoint
	}
	r.log.WithField("event", "suspect_crash").WithField("endpoint", endpoint).Warn("endpoint crashed with the request in flight")
	r.s.cfg.Suspects.CrashSeen(r.call.Fingerprint, crash)
	if endpoint != "" {
		r.exclude = append(r.exclude, endpoint)
	}
}

// advanceGroup selects the next group if the attempt failed because the current one lacks capacity. An
// isolated request stays with its first group, because the owner of that group counts the copies of
// the request.
func (r *execution) advanceGroup(code result.Code) bool {
	if code != result.NoEndpoint && code != result.QueueFull {
		return false
	}
	if r.isolated || r.groupIndex+1 >= len(r.call.Groups) {
		return false
	}
	r.groupIndex++
	return true
}

// resumeStream prepares an attempt that continues the stream at the engine that runs it.
func (r *execution) resumeStream() chart.Event {
	r.s.metrics.resumes.Inc(1)
	if r.current.engineID != "" {
		r.resume = &work.Resume{Endpoint: r.current.endpoint, EngineID: r.current.engineID}
	}
	next := *r.resume
	next.Next = r.answer.events
	r.resume = &next
	return evRetry
}

// rerun prepares another run of an idempotent request. usesBudget says whether it counts against the
// retry budget.
func (r *execution) rerun(f *work.Failure, usesBudget bool) chart.Event {
	r.resume = nil
	if f.Crashed && r.refusedAsSuspect() {
		e := result.New(result.Suspect, "equal requests crashed endpoints")
		e.RetryAfter = suspect.DefaultRetention
		return r.endWithError(e)
	}
	if usesBudget && !r.s.cfg.Retries.Withdraw() {
		r.s.metrics.budgetSpent.Inc(1)
		e := result.New(result.RetryBudget, "too many requests are being run again")
		e.RetryAfter = budgetRetryAfter
		return r.endWithError(e)
	}
	r.s.metrics.reruns.Inc(1)
	r.lastError = failureError(f)
	return evRetry
}

func (r *execution) refusedAsSuspect() bool {
	decision, _ := r.s.cfg.Suspects.Admit(r.call.Fingerprint)
	return decision == suspect.Refuse
}

func failureError(f *work.Failure) *result.Error {
	return &result.Error{Code: f.Code, Outcome: f.Outcome, Detail: f.Detail, RetryAfter: f.RetryAfter}
}

// awaitBackoff waits before the next attempt. A resumption is made at once if it is the first repeated
// attempt.
func (r *execution) awaitBackoff() chart.Event {
	if r.resume != nil && r.backoffs == 0 {
		r.backoffs++
		return evRetry
	}
	if !r.sleep(r.nextBackoff()) {
		return r.endWithError(r.outOfTime(r.lastError))
	}
	return evRetry
}

// withdrawnInTime withdraws the attempt, and reports whether it is proven not to have started and will
// never start.
func (r *execution) withdrawnInTime() bool {
	outcome, err := r.withdraw(context.WithoutCancel(r.ctx))
	return err == nil && outcome == result.NotRun
}

// interrupt ends the request with the error e because its caller disconnected or its deadline passed.
// The outcome is not-run if the attempt can be withdrawn before it starts. Otherwise the attempt is
// abandoned.
func (r *execution) interrupt(e *result.Error) chart.Event {
	if !r.current.started && r.withdrawnInTime() {
		return r.endWithError(e)
	}
	e.Outcome = result.MayHaveRun
	return r.abandonAttempt(e)
}

// abandonAttempt ends, with the error e, a request whose attempt may be running. A non-idempotent
// attempt is followed to its end to complete the at-most-once record; an idempotent one is cancelled.
func (r *execution) abandonAttempt(e *result.Error) chart.Event {
	r.mayHaveRun = true
	if !r.call.Idempotent {
		r.setFailure(e)
		r.detached = true
		r.ctx = context.WithoutCancel(r.ctx)
		return evDetach
	}
	owner, id := r.current.owner, r.current.id
	ctx := context.WithoutCancel(r.ctx)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
		defer cancel()
		// If the cancellation is lost, the engine only does unneeded work.
		_ = owner.Cancel(ctx, id)
	}()
	return r.endWithError(e)
}

// followDetached receives the rest of a detached request's answer, for at most followLimit.
func (r *execution) followDetached() chart.Event {
	ctx, cancel := context.WithTimeout(r.ctx, followLimit)
	defer cancel()
	r.ctx = ctx
	for {
		event, err := r.nextEvent(false)
		switch {
		case errors.Is(err, errInterrupted):
			return evSettle
		case err != nil:
			if !r.sleep(followRetryDelay) {
				return evSettle
			}
		case event.Kind == work.Head:
			r.answer.status = event.Status
			r.answer.header = event.Header
		case event.Kind == work.Data:
			r.bufferBody(event.Data)
		case event.Kind == work.End:
			return evEnd
		case event.Kind == work.Failed:
			if event.Failure != nil {
				r.reportCrash(event.Failure)
			}
			return evSettle
		}
	}
}

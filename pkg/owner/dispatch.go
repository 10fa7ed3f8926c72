package owner

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/work"
)

const (
	// maxResumes bounds how often one attempt's stream is resumed after its connection broke.
	maxResumes = 3
	// cancelTimeout bounds the call that cancels an attempt on its engine.
	cancelTimeout = 2 * time.Second

	// Priorities that are sent to the engine with a call.
	priorityInteractive = 0
	priorityBatch       = 10
)

// dispatch starts a queued attempt on the endpoint of l. A nil link means that the endpoint has been
// removed from the bundle; the attempt is then refused.
func (r *runner) dispatch(id work.AttemptID, l *link) {
	a, ok := r.owner.attempts.get(id)
	if ok && l == nil {
		a.refuse(time.Now(), result.New(result.NoEndpoint, "the endpoint was removed from the bundle"))
	}
	if !ok || l == nil || !a.markRunning(l.spec.Name) {
		go r.notifyFinished(id, 0, nil)
		return
	}
	go r.run(a, l)
}

// run sends the attempt to the endpoint and forwards the response. It refuses the attempt if this VM no
// longer holds the group's lease.
func (r *runner) run(a *attempt, l *link) {
	if !r.holdsLease() {
		a.refuse(time.Now(), notOwner(r.group))
		r.notifyFinished(a.req.ID, 0, nil)
		return
	}
	x := &execution{runner: r, attempt: a, link: l, incarnation: l.currentIncarnation()}
	if !r.recordStart(a, l) {
		return
	}
	r.meterStart(a)
	x.finish(x.execute())
}

// meterStart records how long the attempt was queued. An attempt whose adapter was loaded after its
// arrival counts as a stall.
func (r *runner) meterStart(a *attempt) {
	now := time.Now()
	waited := now.Sub(a.arrived)
	r.owner.meters.accountWait(a.req.Account).Update(waited)
	r.mu.Lock()
	loaded := r.loadedAt[a.req.Adapter]
	r.mu.Unlock()
	if loaded.After(a.arrived) {
		r.owner.meters.stalls.Inc(1)
		r.owner.meters.stallTime.Update(waited)
	}
}

// errCopyRunning means that the attempt was not started because another copy of the same request runs on
// a different endpoint. It wraps ErrBusy, because the endpoint did not run the attempt.
var errCopyRunning = errors.Wrap(endpoint.ErrBusy, "owner: copies of the request run elsewhere")

// execution is one run of an attempt on one endpoint.
type execution struct {
	runner      *runner
	attempt     *attempt
	link        *link
	incarnation string
	// responseStarted is true once the endpoint has begun to respond.
	responseStarted bool
	// nextEvent is the number of the next stream event; events are numbered from 0.
	nextEvent uint64
	// chunks counts the response's data chunks. In a stream, each counts as one token.
	chunks int64
}

// engineID is the request ID that identifies the attempt on its endpoint. A resumed stream keeps the ID of the
// attempt that started it.
func (x *execution) engineID() string {
	req := x.attempt.req
	if req.Resume != nil {
		return req.Resume.EngineID
	}
	return fmt.Sprintf("%s.%d", req.ID.Request, req.ID.Attempt)
}

// context returns the context of the call, which ends at the attempt's deadline. A non-idempotent call is
// not cancelled with its attempt.
func (x *execution) context() (context.Context, context.CancelFunc) {
	base := x.attempt.ctx
	if !x.attempt.req.Idempotent {
		base = context.WithoutCancel(base)
	}
	return context.WithDeadline(base, x.attempt.deadline)
}

// execute sends the call and forwards the response up to its end marker. Streams whose connection breaks
// are resumed up to maxResumes times.
func (x *execution) execute() error {
	ctx, cancel := x.context()
	defer cancel()
	answer, err := x.open(ctx)
	if err != nil {
		return err
	}
	err = x.forward(ctx, answer)
	for resumes := 0; x.resumable(ctx, err) && resumes < maxResumes; resumes++ {
		answer, err = x.link.engine.Resume(ctx, x.engineID(), x.nextEvent)
		if err != nil {
			break
		}
		x.runner.owner.meters.resumed.Inc(1)
		err = x.forward(ctx, answer)
	}
	return err
}

// open sends the call. If the attempt continues an existing stream, that stream is resumed instead.
func (x *execution) open(ctx context.Context) (endpoint.Response, error) {
	req := x.attempt.req
	if req.Resume != nil {
		x.nextEvent = req.Resume.Next
		return x.link.engine.Resume(ctx, req.Resume.EngineID, req.Resume.Next)
	}
	call := req.Call
	call.ID = x.engineID()
	call.Priority = priorityOf(req.Class)
	return x.link.service.Do(ctx, call)
}

func priorityOf(class bundle.Class) int {
	if class == bundle.Batch {
		return priorityBatch
	}
	return priorityInteractive
}

// resumable reports whether a stream that failed with err can be resumed on the same engine.
func (x *execution) resumable(ctx context.Context, err error) bool {
	if !errors.Is(err, endpoint.ErrTruncated) || x.link.engine == nil || !x.attempt.req.Call.Stream {
		return false
	}
	return ctx.Err() == nil && !x.link.hasCrashed(ctx, x.incarnation)
}

// forward copies the response into the attempt's event log. It returns nil after the end marker.
func (x *execution) forward(ctx context.Context, answer endpoint.Response) error {
	defer func() { _ = answer.Close() }()
	if !x.responseStarted {
		x.recordResponseStart(ctx, answer)
	}
	for {
		data, err := answer.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		x.nextEvent++
		x.chunks++
		if !x.attempt.log.append(ctx, work.Event{Kind: work.Data, Data: data}) {
			return errors.Wrap(endpoint.ErrTruncated, "the attempt ended")
		}
	}
}

// recordResponseStart appends the events for the start of the response and for its status and header.
func (x *execution) recordResponseStart(ctx context.Context, answer endpoint.Response) {
	x.responseStarted = true
	x.attempt.log.append(ctx, work.Event{Kind: work.Started, Endpoint: x.link.spec.Name, EngineID: x.engineID()})
	x.attempt.log.append(ctx, work.Event{Kind: work.Head, Status: answer.Status(), Header: answer.Header()})
}

// finish ends the attempt with the result of execute, or returns it to the queue if the endpoint did not
// run it.
func (x *execution) finish(err error) {
	id := x.attempt.req.ID
	if err == nil {
		x.recordEnd(true)
		x.attempt.end(time.Now(), work.Event{Kind: work.End})
		x.runner.owner.meters.answered.Inc(1)
		x.runner.notifyFinished(id, x.cost(), nil)
		return
	}
	if !x.responseStarted && provesNotRun(err) {
		x.returnToQueue(err)
		return
	}
	x.cancelAtEngine()
	failure := x.failureFor(err)
	x.recordEnd(false)
	x.attempt.fail(time.Now(), failure)
	x.runner.owner.meters.failed.Inc(1)
	x.logFailure(err)
	x.runner.notifyFinished(id, x.cost(), nil)
}

// recordEnd records with Suspects that the attempt no longer runs on the endpoint; completed means that it ran
// to its normal end. It must be called before the entry VM can see the end, so that a repeat of the
// request is checked against an up-to-date record.
func (x *execution) recordEnd(completed bool) {
	x.runner.owner.cfg.Suspects.Ended(time.Now(), x.attempt.req.Fingerprint, x.link.spec.Name, completed)
}

// provesNotRun reports whether the error proves that the endpoint did not run the call.
func provesNotRun(err error) bool {
	return errors.Is(err, endpoint.ErrRefused) || errors.Is(err, endpoint.ErrNotSent) ||
		errors.Is(err, endpoint.ErrNotLoaded) || errors.Is(err, endpoint.ErrBusy)
}

// cost returns the tokens that the attempt used, at most those charged on arrival. The use of a response
// that is not a stream is unknown; it costs what was charged.
func (x *execution) cost() int64 {
	req := x.attempt.req
	if !req.Call.Stream {
		return req.Tokens
	}
	return min(req.Tokens, x.chunks)
}

// returnToQueue queues the attempt again after the endpoint refused it without running it. An attempt that
// continues a stream fails instead, since it depends on this endpoint.
func (x *execution) returnToQueue(refused error) {
	x.runner.owner.meters.returned.Inc(1)
	id := x.attempt.req.ID
	x.recordEnd(false)
	if x.attempt.req.Resume != nil {
		x.attempt.fail(time.Now(), x.failureFor(refused))
		x.runner.notifyFinished(id, 0, refused)
		return
	}
	returned := x.attempt.markQueued()
	x.runner.notifyFinished(id, 0, refused)
	if !returned {
		return
	}
	if errors.Is(refused, endpoint.ErrRefused) {
		x.runner.step(func(now time.Time) { x.runner.sched.Unreachable(now, x.link.spec.Name) })
	}
	x.runner.requeue(x.attempt)
}

// failureFor classifies the error that ended the response early. If the endpoint crashed, every request
// that was running on it becomes a suspect.
func (x *execution) failureFor(err error) *work.Failure {
	failure := &work.Failure{
		Code:     result.AnswerCut,
		Outcome:  result.MayHaveRun,
		Endpoint: x.link.spec.Name,
		Detail:   err.Error(),
	}
	switch {
	case errors.Is(err, endpoint.ErrNotFound):
		failure.Detail = "the engine no longer knows the stream"
	case errors.Is(err, endpoint.ErrMismatch):
		x.runner.owner.meters.mismatched.Inc(1)
		failure.Code = result.EndpointFailed
	case errors.Is(err, context.DeadlineExceeded) || !time.Now().Before(x.attempt.deadline):
		failure.Code = result.DeadlinePassed
	default:
		failure.Crashed = x.detectCrash()
		failure.Crash = x.crashID()
		if !x.responseStarted {
			failure.Code = result.EndpointFailed
		}
	}
	return failure
}

// crashID returns an ID for the crash of this incarnation of the endpoint. All attempts that it ended
// report the same ID.
func (x *execution) crashID() string { return x.link.spec.Name + "/" + x.incarnation }

// detectCrash reports whether the endpoint crashed while it ran the attempt. A crash is recorded with
// Suspects and makes the endpoint unreachable for the scheduler.
func (x *execution) detectCrash() bool {
	if x.attempt.ctx.Err() != nil || !x.link.hasCrashed(context.Background(), x.incarnation) {
		return false
	}
	x.runner.owner.meters.crashes.Inc(1)
	x.runner.owner.cfg.Suspects.CrashSeen(time.Now(), x.attempt.req.Fingerprint, x.crashID())
	x.runner.step(func(now time.Time) { x.runner.sched.Unreachable(now, x.link.spec.Name) })
	return true
}

// cancelAtEngine cancels an idempotent attempt on the engine, which may still be running it. Errors are
// ignored.
func (x *execution) cancelAtEngine() {
	if x.link.engine == nil || !x.attempt.req.Idempotent {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = x.link.engine.Cancel(ctx, x.engineID())
}

func (x *execution) logFailure(err error) {
	x.runner.owner.cfg.Log.WithFields(logrus.Fields{
		"event":    "attempt_failed",
		"request":  x.attempt.req.ID.Request,
		"attempt":  x.attempt.req.ID.Attempt,
		"endpoint": x.link.spec.Name,
		"error":    err.Error(),
	}).Warn("attempt failed on its endpoint")
}

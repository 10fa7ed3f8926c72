package request

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/ledger"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/suspect"
	"github.com/mallowlink/mallowlink/pkg/work"
)

// target is the owner to which an attempt is sent, with the group that it owns.
type target struct {
	group string
	vm    string
	owner work.Owner
}

func (r *execution) authenticate() chart.Event {
	if e := r.checkAllowed(); e != nil {
		return r.endWithError(e)
	}
	return evAuthenticate
}

// checkAllowed checks the conditions that can change while the request waits: the deadline, the
// caller's connection, the key, and whether equal requests have crashed endpoints.
func (r *execution) checkAllowed() *result.Error {
	if r.ctx.Err() != nil {
		return r.interrupted()
	}
	if !r.call.Authorized() {
		r.s.metrics.keyWithdrawn.Inc(1)
		return result.New(result.WrongKey, "the key is not valid")
	}
	decision, after := r.s.cfg.Suspects.Admit(r.call.Fingerprint)
	if decision == suspect.Refuse {
		e := result.New(result.Suspect, "equal requests crashed endpoints")
		e.RetryAfter = after
		return e
	}
	r.isolated = decision == suspect.Isolate
	return nil
}

// admit charges the request's tokens to the client account, if it has one.
func (r *execution) admit() chart.Event {
	if r.call.Account == "" {
		return evAdmit
	}
	began := time.Now()
	err := r.s.cfg.Quota.Admit(r.ctx, r.call.Account, r.call.Tokens)
	if err == nil {
		r.charged = true
		r.admitStarted = began
		return evAdmit
	}
	e := notRunError(err)
	if r.ctx.Err() != nil && (e.Code != result.OverRate || r.ctx.Err() == context.Canceled) {
		return r.endWithError(r.interrupted())
	}
	return r.endWithError(e)
}

// notRunError converts err to a *result.Error with the outcome not-run. It must be used only for errors
// that imply that the request has not run.
func notRunError(err error) *result.Error {
	var e *result.Error
	if !errors.As(err, &e) {
		e = result.New(result.Internal, "the request could not be admitted")
	}
	final := *e
	final.Outcome = result.NotRun
	return &final
}

// writeRecord writes the at-most-once record of a non-idempotent request with an Idempotency-Key. The
// record names the owner of the first attempt, so the owner is looked up here.
func (r *execution) writeRecord() chart.Event {
	if r.call.Idempotent || r.call.IdempotencyKey == "" {
		return evRecord
	}
	plan, e := r.awaitTarget()
	if e != nil {
		return r.endWithError(e)
	}
	r.nextTarget = plan
	key := ledger.Key{Account: r.call.Account, Route: r.call.Route, Name: r.call.IdempotencyKey}
	handle, recorded, err := r.s.cfg.Ledger.Begin(r.ctx, key, r.call.BodyHash, r.holder(plan))
	if err != nil {
		return r.endWithError(asResultError(err, result.StoreDown))
	}
	if recorded == nil {
		r.record = handle
		return evRecord
	}
	if recorded.Dropped {
		return r.endWithError(result.New(result.AnswerTooLarge, "the request has run; its answer was too large to be kept"))
	}
	r.replay = recorded
	return evReplay
}

// asResultError returns the *result.Error in err, or a new one with the code if there is none.
func asResultError(err error, code result.Code) *result.Error {
	var e *result.Error
	if errors.As(err, &e) {
		return e
	}
	return result.New(code, "")
}

// holder returns the record's description of the next attempt, sent to target t.
func (r *execution) holder(t *target) ledger.Holder {
	id := work.AttemptID{Request: r.call.ID, Attempt: r.current.id.Attempt + 1}
	return ledger.Holder{Attempt: id, Group: t.group, Owner: t.vm}
}

// awaitTarget looks up an owner, with backoff, until there is one or the deadline is too near.
func (r *execution) awaitTarget() (*target, *result.Error) {
	for {
		t, e := r.lookup()
		if e == nil {
			return t, nil
		}
		if !isTransient(e.Code) {
			return nil, e
		}
		if !r.sleep(r.nextBackoff()) {
			return nil, r.outOfTime(e)
		}
	}
}

// lookup returns the current owner of the group that the next attempt goes to.
func (r *execution) lookup() (*target, *result.Error) {
	group := r.call.Groups[r.groupIndex]
	vm, owner, err := r.s.cfg.Directory.OwnerOf(group)
	if err != nil {
		return nil, notRunError(err)
	}
	return &target{group: group, vm: vm, owner: owner}, nil
}

// deliverRecorded sends the caller the recorded answer of an earlier request with the same
// Idempotency-Key.
func (r *execution) deliverRecorded() chart.Event {
	header := r.replay.Header.Clone()
	if header == nil {
		header = map[string][]string{}
	}
	header.Set(HeaderReplayed, "true")
	if err := r.sink.Answer(r.replay.Status, header, r.replay.Body); err != nil {
		e := result.New(result.CallerGone, "the caller closed the connection")
		e.Outcome = result.Ran
		return r.endWithError(e)
	}
	return evDone
}

// HeaderReplayed is the header that marks an answer as recorded earlier for the same Idempotency-Key.
const HeaderReplayed = "X-Mallowlink-Replayed"

// Bounds of the delay between attempts.
const (
	backoffFirst = 20 * time.Millisecond
	backoffMax   = time.Second
)

// nextBackoff returns the delay before the next attempt. It doubles each time, up to backoffMax, and is
// reduced by up to half at random.
func (r *execution) nextBackoff() time.Duration {
	delay := min(backoffMax, backoffFirst<<min(r.backoffs, 10))
	r.backoffs++
	return delay/2 + time.Duration(r.jitter()*float64(delay/2))
}

// sleep waits for d. It returns false at once if the deadline is not later than that, or when the
// context ends.
func (r *execution) sleep(d time.Duration) bool {
	deadline, ok := r.ctx.Deadline()
	if ok && time.Until(deadline) <= d {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// outOfTime returns the final error of a request that has no time left for another attempt. This is
// last, the error of the last attempt, unless the caller has disconnected or there was none.
func (r *execution) outOfTime(last *result.Error) *result.Error {
	if r.ctx.Err() == context.Canceled {
		return r.interrupted()
	}
	if last == nil {
		return result.New(result.DeadlinePassed, "the deadline has passed")
	}
	return last
}

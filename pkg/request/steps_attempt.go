package request

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/work"
)

const (
	// submitTimeout is the time limit of one call of Owner.Submit.
	submitTimeout = 2 * time.Second
	// nextGrace is added to work.NextWait, for the transfer, to give the time limit of one call of
	// Owner.Next.
	nextGrace = 2 * time.Second
	// MaxAnswerBytes is the largest body of an answer that is not a stream. Such a body is buffered
	// until it is complete.
	MaxAnswerBytes = 8 << 20
	// minNonSuccessStatus is the lowest HTTP status of an answer that is not a success. Such an answer
	// is never a stream.
	minNonSuccessStatus = 300
)

// Errors of nextEvent and poll.
var (
	errInterrupted  = errors.New("request: caller disconnected or deadline passed")
	errKeyWithdrawn = errors.New("request: API key withdrawn while the attempt was queued")
	errOwnerLost    = errors.New("request: lost contact with the owner of the attempt")
)

// chooseOwner finds the owner for the next attempt and names it in the at-most-once record, if the
// request has one. A withdrawn key does not prevent the resumption of a stream.
func (r *execution) chooseOwner() chart.Event {
	r.current = attempt{id: r.current.id, resumed: r.resume != nil}
	if e := r.checkAllowed(); e != nil && (r.resume == nil || e.Code != result.WrongKey) {
		return r.endWithError(e)
	}
	t := r.nextTarget
	r.nextTarget = nil
	if t == nil {
		found, e := r.lookup()
		if e != nil {
			return r.attemptNotRun(e)
		}
		t = found
	}
	holder := r.holder(t)
	if r.record != nil && r.record.Holder() != holder {
		if e := r.s.cfg.Ledger.Rebind(r.ctx, r.record, holder); e != nil {
			return r.rebindFailed(asResultError(e, result.StoreDown))
		}
	}
	r.current = attempt{
		id: holder.Attempt, owner: t.owner, vm: t.vm, next: 1,
		resumed: r.resume != nil, submitted: time.Now(),
	}
	r.setGroup(t.group)
	return evDispatch
}

func (r *execution) setGroup(group string) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.group = group
}

// rebindFailed handles a failure to name the next owner in the record. While the store is down the
// request waits and tries again; otherwise the record belongs to another request and this one ends.
func (r *execution) rebindFailed(e *result.Error) chart.Event {
	if e.Code == result.StoreDown {
		r.lastError = e
		return evNotRun
	}
	r.record = nil
	return r.endWithError(e)
}

// submit sends the attempt to its owner.
func (r *execution) submit() chart.Event {
	ctx, cancel := context.WithTimeout(r.ctx, submitTimeout)
	defer cancel()
	r.s.metrics.attempts.Inc(1)
	err := r.current.owner.Submit(ctx, r.message())
	if err == nil {
		return evAccept
	}
	if errors.Is(err, peer.ErrRefused) {
		return r.attemptNotRun(result.New(result.NoOwner, "the owner is gone"))
	}
	var e *result.Error
	if errors.As(err, &e) && e.Outcome == result.NotRun {
		return r.attemptNotRun(e)
	}
	return evLose
}

// message returns the attempt as it is sent to the owner.
func (r *execution) message() *work.Request {
	call := r.call.Endpoint
	call.ID = fmt.Sprintf("%s-%d", r.call.ID, r.current.id.Attempt)
	return &work.Request{
		ID:          r.current.id,
		Group:       r.group,
		Account:     r.call.Account,
		Weight:      r.call.Weight,
		Class:       r.call.Class,
		Adapter:     r.call.Adapter,
		PrefixHash:  r.call.PrefixHash,
		Tokens:      r.call.Tokens,
		Idempotent:  r.call.Idempotent,
		Fingerprint: r.call.Fingerprint,
		Isolated:    r.isolated,
		Exclude:     r.exclude,
		Remaining:   time.Until(r.call.Deadline),
		Call:        call,
		Resume:      r.resume,
	}
}

// nextEvent returns the next event of the attempt. It drops events that were delivered before, and
// returns errOwnerLost if one is missing.
func (r *execution) nextEvent(checkKey bool) (work.Event, error) {
	for {
		for len(r.current.pending) > 0 {
			event := r.current.pending[0]
			r.current.pending = r.current.pending[1:]
			if event.Seq < r.current.next {
				r.s.metrics.staleEvents.Inc(1)
				continue
			}
			if event.Seq > r.current.next {
				r.current.pending = nil
				return work.Event{}, errOwnerLost
			}
			r.current.next++
			r.current.losses = 0
			return event, nil
		}
		if err := r.poll(checkKey); err != nil {
			return work.Event{}, err
		}
	}
}

// poll requests events from the owner. If checkKey is set and the attempt
// has not started, it returns errKeyWithdrawn once the caller's key is no longer valid.
func (r *execution) poll(checkKey bool) error {
	if r.ctx.Err() != nil {
		return errInterrupted
	}
	ctx, cancel := context.WithTimeout(r.ctx, work.NextWait+nextGrace)
	defer cancel()
	events, err := r.current.owner.Next(ctx, r.current.id, r.current.next)
	r.current.pending = events
	if r.ctx.Err() != nil {
		return errInterrupted
	}
	if err != nil {
		return errOwnerLost
	}
	if checkKey && !startsWithKind(events, work.Started) && !r.call.Authorized() {
		return errKeyWithdrawn
	}
	return nil
}

func startsWithKind(events []work.Event, kind work.EventKind) bool {
	return len(events) > 0 && events[0].Kind == kind
}

// awaitStart waits until the attempt has started. If the caller's key is withdrawn before that, the
// attempt is withdrawn as well; if it is too late for that, the attempt goes on.
func (r *execution) awaitStart() chart.Event {
	event, err := r.nextEvent(r.resume == nil)
	if errors.Is(err, errKeyWithdrawn) {
		if r.withdrawnInTime() {
			r.s.metrics.keyWithdrawn.Inc(1)
			return r.endWithError(result.New(result.WrongKey, "the key was withdrawn while the request waited"))
		}
		event, err = r.nextEvent(false)
	}
	if err != nil {
		return r.eventUnavailable(err)
	}
	if event.Kind == work.Failed {
		return r.attemptFailed(event.Failure)
	}
	if event.Kind != work.Started {
		return r.unexpectedEvent()
	}
	r.current.started = true
	r.current.endpoint = event.Endpoint
	r.current.engineID = event.EngineID
	return evStart
}

// awaitHead waits for the status and headers of the answer.
func (r *execution) awaitHead() chart.Event {
	event, err := r.nextEvent(false)
	if err != nil {
		return r.eventUnavailable(err)
	}
	if event.Kind == work.Failed {
		return r.attemptFailed(event.Failure)
	}
	if event.Kind != work.Head {
		return r.unexpectedEvent()
	}
	if r.answer.begun && event.Status >= minNonSuccessStatus {
		return r.attemptFailed(&work.Failure{Code: result.AnswerCut, Outcome: result.MayHaveRun, Detail: "the stream could not be resumed"})
	}
	r.current.headSeen = true
	r.releaseBody()
	r.answer.overflow = false
	r.answer.status = event.Status
	r.answer.header = event.Header
	return evHead
}

// receiveAnswer receives the body of the answer up to the End event.
func (r *execution) receiveAnswer() chart.Event {
	for {
		event, err := r.nextEvent(false)
		if err != nil {
			return r.eventUnavailable(err)
		}
		switch event.Kind {
		case work.Data:
			if e := r.receiveData(event.Data); e != nil {
				return r.abandonAttempt(e)
			}
		case work.End:
			return evEnd
		case work.Failed:
			return r.attemptFailed(event.Failure)
		default:
			return r.unexpectedEvent()
		}
	}
}

// unexpectedEvent ends a request whose owner reported an event that is not valid in the current state.
func (r *execution) unexpectedEvent() chart.Event {
	r.mayHaveRun = true
	return r.endWithError(result.New(result.Internal, "the owner reported an impossible event"))
}

// eventUnavailable returns the transition for an error of nextEvent.
func (r *execution) eventUnavailable(err error) chart.Event {
	if errors.Is(err, errInterrupted) {
		return r.interrupt(r.interrupted())
	}
	return evLose
}

// receiveData sends one Data event of a stream to the caller, or buffers it for an answer that is not a
// stream.
func (r *execution) receiveData(data []byte) *result.Error {
	if !r.streams() {
		return r.bufferBody(data)
	}
	if used := usageOf(data); used.known {
		r.answer.used = used
	}
	if !r.answer.begun {
		if err := r.sink.Begin(r.answer.status, r.answer.header); err != nil {
			return result.New(result.CallerGone, "the caller closed the connection")
		}
		r.answer.begun = true
	}
	if err := r.sink.Event(data); err != nil {
		return result.New(result.CallerGone, "the caller closed the connection")
	}
	r.answer.events++
	return nil
}

// streams reports whether the answer is sent to the caller event by event. An endpoint's error response
// to a streamed request is buffered and delivered whole.
func (r *execution) streams() bool {
	return r.call.Endpoint.Stream && r.answer.status < minNonSuccessStatus
}

// bufferBody appends data to the buffered body. If the body becomes too large it is discarded. An
// idempotent request then fails; a non-idempotent one continues without its body, so that its record
// can be completed.
func (r *execution) bufferBody(data []byte) *result.Error {
	if r.answer.overflow {
		return nil
	}
	if len(r.answer.body)+len(data) <= MaxAnswerBytes && r.s.cfg.Memory.Reserve(int64(len(data))) {
		r.answer.body = append(r.answer.body, data...)
		return nil
	}
	r.releaseBody()
	r.answer.overflow = true
	if !r.call.Idempotent {
		return nil
	}
	return result.New(result.AnswerTooLarge, "the answer is larger than the limit")
}

// releaseBody discards the buffered body and releases its memory.
func (r *execution) releaseBody() {
	r.s.cfg.Memory.Release(int64(len(r.answer.body)))
	r.answer.body = nil
}

package request

import (
	"context"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/ledger"
	"github.com/mallowlink/mallowlink/pkg/quota"
	"github.com/mallowlink/mallowlink/pkg/result"
)

// complete writes the whole answer to the at-most-once record, if there is one, and delivers it.
func (r *execution) complete() chart.Event {
	r.mayHaveRun = true
	if r.isolated {
		r.s.cfg.Suspects.Cleared(r.call.Fingerprint)
	}
	if !r.streams() {
		r.answer.used = usageOf(r.answer.body)
	}
	if r.record != nil {
		// The ledger logs a failure to write the record; the answer is delivered in any case.
		_ = r.s.cfg.Ledger.Complete(context.WithoutCancel(r.ctx), r.record, r.recordedAnswer())
	}
	if r.detached {
		r.refundUnused()
		return evDone
	}
	if r.answer.overflow {
		return r.endWithError(result.New(result.AnswerTooLarge, "the answer is larger than the limit"))
	}
	if err := r.deliver(); err != nil {
		e := result.New(result.CallerGone, "the caller closed the connection")
		e.Outcome = result.Ran
		return r.endWithError(e)
	}
	r.refundUnused()
	return evDone
}

func (r *execution) recordedAnswer() ledger.Response {
	return ledger.Response{
		Status:  r.answer.status,
		Header:  r.answer.header,
		Body:    r.answer.body,
		Dropped: r.answer.overflow,
	}
}

// deliver sends a buffered answer to the caller, or ends a stream.
func (r *execution) deliver() error {
	if !r.streams() {
		return r.sink.Answer(r.answer.status, r.answer.header, r.answer.body)
	}
	if !r.answer.begun {
		if err := r.sink.Begin(r.answer.status, r.answer.header); err != nil {
			return err
		}
	}
	return r.sink.Finish()
}

// refundUnused returns the tokens that the request did not use to the client account. Only the first
// call has an effect.
func (r *execution) refundUnused() {
	if !r.charged {
		return
	}
	r.charged = false
	unused := r.unused()
	if unused <= 0 {
		return
	}
	if returner, ok := r.s.cfg.Quota.(quota.Returner); ok {
		returner.ReturnSince(r.call.Account, unused, r.admitStarted)
		return
	}
	r.s.cfg.Quota.Return(r.call.Account, unused)
}

// release returns the tokens of a request that failed, and deletes its record if the request is
// proven not to have run. Otherwise the record stays, so that the request cannot run twice.
func (r *execution) release() chart.Event {
	r.refundUnused()
	if r.record != nil && !r.possiblyRan() {
		_ = r.s.cfg.Ledger.Release(context.WithoutCancel(r.ctx), r.record)
	}
	if r.failure.Outcome == result.NotRun {
		return evRefuse
	}
	return evFail
}

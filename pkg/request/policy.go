package request

import (
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/work"
)

// failureAction is what the entry does after an attempt has failed.
type failureAction uint8

const (
	// actionFail ends the request and returns the failure to the caller.
	actionFail failureAction = iota + 1
	// actionRetry makes another attempt. The failed one is known not to have run.
	actionRetry
	// actionRerun makes another attempt of an idempotent request whose failed attempt may have run.
	// It counts against the retry budget if the failed attempt had started.
	actionRerun
	// actionResume continues the stream at the engine after the last event that the caller received.
	actionResume
	// actionCut ends, incomplete, a stream of which the caller has already received a part.
	actionCut
)

// failureContext holds what decide considers about a failed attempt, besides the failure itself.
type failureContext struct {
	idempotent bool
	stream     bool
	// headSeen says that the attempt had reported the status and headers of an answer.
	headSeen bool
	// delivered is the number of stream events that were sent to the caller.
	delivered uint64
	// engineID is the engine's identifier of the stream; empty if no attempt is known to have started.
	engineID string
	// resumeFailed says that the attempt was itself a resumption and ended before its Head event.
	resumeFailed bool
}

// isTransient reports whether an attempt that was refused with the code is retried without an error
// to the caller. These codes occur while the ownership of a group moves to another VM.
func isTransient(code result.Code) bool {
	switch code {
	case result.NoOwner, result.OwnerLost, result.Draining, result.Withdrawn:
		return true
	}
	return false
}

// decide returns the action for the failure f of an attempt.
func decide(s failureContext, f *work.Failure) failureAction {
	notRun := f.Outcome == result.NotRun && !s.headSeen
	if notRun && isTransient(f.Code) {
		return actionRetry
	}
	if !s.idempotent {
		return actionFail
	}
	if notRun && s.delivered == 0 && !s.resumeFailed {
		return actionFail
	}
	if isFinal(f.Code) {
		return actionFail
	}
	if s.stream && s.delivered > 0 && s.engineID != "" && !f.Crashed && !s.resumeFailed {
		return actionResume
	}
	if s.delivered == 0 {
		return actionRerun
	}
	return actionCut
}

// isFinal reports whether the code rules out a further attempt, because it would end the same way.
func isFinal(code result.Code) bool {
	switch code {
	case result.DeadlinePassed, result.AnswerTooLarge, result.Suspect, result.Internal:
		return true
	}
	return false
}

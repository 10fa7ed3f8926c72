package request

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/ledger/ledgertest"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/suspect"
	"github.com/mallowlink/mallowlink/pkg/work"
	"github.com/mallowlink/mallowlink/pkg/work/worktest"
)

// requirePieces requires that the caller received every event of the stream exactly once, in order.
func requirePieces(t *testing.T, s *sink, request string, n int) {
	t.Helper()
	require.True(t, s.whole)
	require.Len(t, s.pieces, n)
	for i, piece := range s.pieces {
		require.Equal(t, string(worktest.StreamEvent(request, i)), string(piece))
	}
}

// requireIdle requires that no request is open and that no memory is reserved for answers.
func requireIdle(t *testing.T, fx *fixture) {
	t.Helper()
	for _, entry := range fx.entries {
		require.Empty(t, entry.Open())
		require.Zero(t, entry.Wait(t.Context()))
	}
	require.Zero(t, fx.memory.used)
}

// firstFails returns a plan function that uses first for the first attempt, and a plan of six events
// without a failure for all others.
func firstFails(first worktest.Plan) func(*work.Request) worktest.Plan {
	return func(req *work.Request) worktest.Plan {
		if req.ID.Attempt == 1 {
			return first
		}
		return worktest.Plan{Events: 6, EventEvery: time.Millisecond}
	}
}

// cutAfter returns a plan that fails with f after the given number of events.
func cutAfter(events int, f *work.Failure) worktest.Plan {
	return worktest.Plan{Events: 6, EventEvery: time.Millisecond, FailAt: events, Failure: f}
}

// TestStreamsAfterFailures guards against streams with missing or repeated events, and needless runs,
// after a failure: a cut stream is resumed, a failure before the first event leads to another run, and a
// crash after the first event is reported to the caller.
func TestStreamsAfterFailures(t *testing.T) {
	cut := &work.Failure{Code: result.AnswerCut, Outcome: result.MayHaveRun}
	handover := &work.Failure{Code: result.Withdrawn, Outcome: result.NotRun}
	cases := []struct {
		name string
		plan func(*work.Request) worktest.Plan
		runs int
		code result.Code // 0 means a whole answer
	}{
		{"cut in the middle is resumed", firstFails(cutAfter(3, cut)), 1, 0},
		{"cut before the first event is run again", firstFails(cutAfter(0, cut)), 2, 0},
		{"crash before the first event is run again", firstFails(cutAfter(0, crashFailure)), 2, 0},
		{"crash in the middle is reported to the caller", firstFails(cutAfter(3, crashFailure)), 1, result.AnswerCut},
		{"handover of the queue is invisible to the caller", firstFails(worktest.Plan{Unstarted: true, Failure: handover}), 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(c.plan, nil)
				caller := &sink{}
				e := fx.entries[0].Run(t.Context(), newIdempotent("r", true), caller)
				require.Equal(t, c.runs, fx.endpoint.Runs("r"))
				time.Sleep(time.Minute)
				if c.code != 0 {
					require.Equal(t, c.code, e.Code)
					require.Equal(t, result.MayHaveRun, e.Outcome)
					require.False(t, caller.whole)
					return
				}
				require.Nil(t, e)
				requirePieces(t, caller, "r", 6)
				requireIdle(t, fx)
			})
		})
	}
}

// TestOwnerKilledInMidStream guards against a stream that breaks or runs twice when its owner is killed.
// The group has no owner for almost 2 s; then a new one resumes the stream.
func TestOwnerKilledInMidStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(plan(worktest.Plan{Events: 6, EventEvery: 10 * time.Millisecond}), nil)
		time.AfterFunc(35*time.Millisecond, func() {
			fx.owner.Kill()
			fx.directory.Set(testGroup, nil)
		})
		time.AfterFunc(2*time.Second, func() { fx.directory.Set(testGroup, worktest.NewOwner("owner/2", fx.endpoint)) })
		caller := &sink{}
		require.Nil(t, fx.entries[0].Run(t.Context(), newIdempotent("r", true), caller))
		time.Sleep(time.Minute)
		requirePieces(t, caller, "r", 6)
		require.Equal(t, 1, fx.endpoint.Runs("r"))
		requireIdle(t, fx)
	})
}

// TestOwnerKilledUnderNonIdempotent guards against a second run of a non-idempotent request whose owner
// was killed while the request was queued. Its outcome is unknown, and a repeat must not run.
func TestOwnerKilledUnderNonIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(plan(worktest.Plan{Events: 2, QueueFor: time.Second}), nil)
		time.AfterFunc(100*time.Millisecond, func() {
			fx.owner.Kill()
			fx.directory.Set(testGroup, worktest.NewOwner("owner/2", fx.endpoint))
		})
		e := fx.entries[0].Run(t.Context(), newCall("r", "k"), &sink{})
		require.Equal(t, result.OwnerLost, e.Code)
		require.Equal(t, result.MayHaveRun, e.Outcome, "a killed owner cannot prove that the attempt has not run")
		e = fx.entries[1].Run(t.Context(), newCall("r2", "k"), &sink{})
		require.Equal(t, result.Unresolved, e.Code)
		time.Sleep(time.Minute)
		require.LessOrEqual(t, fx.endpoint.Total(), 1)
	})
}

// stateLosingOwner reports not-run for every attempt, like an owner that has lost its state.
type stateLosingOwner struct{ *worktest.Owner }

func (stateLosingOwner) Withdraw(context.Context, work.AttemptID) (result.Outcome, error) {
	return result.NotRun, nil
}

// stateLosingDirectory returns the same stateLosingOwner for every group.
type stateLosingDirectory struct{ owner stateLosingOwner }

func (d stateLosingDirectory) OwnerOf(string) (string, work.Owner, error) {
	return "vm/1", d.owner, nil
}

// TestNotRunProofRejectedAfterStart guards against a second run when an owner wrongly reports not-run for
// an attempt that it had reported as started. One poll after the start is lost, which leads to the
// withdrawal.
func TestNotRunProofRejectedAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(plan(worktest.Plan{Events: 2, EventEvery: time.Second}), nil)
		next := 0
		fx.owner.Fault = func(method string) worktest.Fault {
			if method == "Next" {
				next++
			}
			if method == "Next" && next == 2 {
				return worktest.LoseRequest
			}
			return worktest.None
		}
		fx.entries[0].cfg.Directory = stateLosingDirectory{stateLosingOwner{fx.owner}}
		require.Nil(t, fx.entries[0].Run(t.Context(), newCall("r", "k"), &sink{}))
		require.Equal(t, 1, fx.endpoint.Runs("r"))
	})
}

// TestNotRunProofRejectedForOldAttempts guards against a wrong outcome of not-run for an attempt older
// than maxProofAge, which its owner may have discarded.
func TestNotRunProofRejectedForOldAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(plan(worktest.Plan{Events: 1, QueueFor: time.Hour}), nil)
		call := newCall("r", "")
		call.Deadline = time.Now().Add(maxProofAge + time.Second)
		e := fx.entries[0].Run(t.Context(), call, &sink{})
		require.Equal(t, result.MayHaveRun, e.Outcome)
		time.Sleep(2 * time.Hour)
	})
}

// TestDeadlines checks the outcome when the deadline passes. A queued request must not run later and is
// refunded; a running non-idempotent one is followed, so that a repeat receives its recorded answer.
func TestDeadlines(t *testing.T) {
	t.Run("in the queue", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(plan(worktest.Plan{Events: 1, QueueFor: time.Minute}), nil)
			began := time.Now()
			e := fx.entries[0].Run(t.Context(), newCall("r", "k"), &sink{})
			require.Equal(t, result.DeadlinePassed, e.Code)
			require.Equal(t, result.NotRun, e.Outcome)
			require.Equal(t, 20*time.Second, time.Since(began))
			require.Zero(t, fx.quota.outstanding(), "the whole charge must be returned")
			time.Sleep(time.Hour)
			require.Zero(t, fx.endpoint.Total())
		})
	})
	t.Run("while running, with a record", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(plan(worktest.Plan{Events: 1, EventEvery: 30 * time.Second}), nil)
			e := fx.entries[0].Run(t.Context(), newCall("r", "k"), &sink{})
			require.Equal(t, result.MayHaveRun, e.Outcome)
			require.Len(t, fx.entries[0].Open(), 1, "the request must be followed to its end")
			time.Sleep(time.Minute)
			requireIdle(t, fx)
			caller := &sink{}
			require.Nil(t, fx.entries[1].Run(t.Context(), newCall("r2", "k"), caller))
			require.True(t, caller.replay)
			require.Equal(t, string(worktest.WholeAnswer("r")), string(caller.body))
			require.Equal(t, 1, fx.endpoint.Total())
		})
	})
}

// TestCallerGone guards against requests that stay open, or keep memory reserved, after their caller has
// disconnected in the middle of a stream.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(plan(worktest.Plan{Events: 4, EventEvery: time.Second}), nil)
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		gone, leave := context.WithCancel(ctx)
		time.AfterFunc(2*time.Second+time.Millisecond, leave)
		e := fx.entries[0].Run(gone, newIdempotent("r", true), &sink{})
		require.Equal(t, result.CallerGone, e.Code)
		require.Equal(t, result.MayHaveRun, e.Outcome)
		time.Sleep(time.Minute)
		requireIdle(t, fx)
	})
}

// TestRecords checks the at-most-once record: a repeat receives the recorded answer, a key reused for
// another body is refused, and nothing runs while the store is down.
func TestRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(plan(worktest.Plan{Events: 2}), nil)
		first, repeat := &sink{}, &sink{}
		require.Nil(t, fx.entries[0].Run(t.Context(), newCall("r1", "k"), first))
		require.Equal(t, 2, fx.table.Writes())
		require.Nil(t, fx.entries[1].Run(t.Context(), newCall("r2", "k"), repeat))
		require.True(t, repeat.replay)
		require.Equal(t, first.body, repeat.body)

		other := newCall("r3", "k")
		other.BodyHash = "other"
		require.Equal(t, result.KeyReused, fx.entries[0].Run(t.Context(), other, &sink{}).Code)

		fx.table.Fault = func() ledgertest.Fault { return ledgertest.Down }
		began := time.Now()
		e := fx.entries[0].Run(t.Context(), newCall("r4", "new"), &sink{})
		require.Equal(t, result.StoreDown, e.Code)
		require.Equal(t, result.NotRun, e.Outcome)
		require.Zero(t, time.Since(began), "a request must fail at once while the store is down")
		require.Equal(t, 1, fx.endpoint.Total())
	})
}

// TestSuspectThroughOneEntry guards against a request that crashes one endpoint after another. It sends
// ten requests with the same fingerprint, each of which would crash its endpoint: only two may crash one,
// the second of them isolated. An entry counts only the crashes that it saw itself; the owner's table,
// which counts all crashes, has its own test.
func TestSuspectThroughOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crashes := 0
		fx := newFixture(func(req *work.Request) worktest.Plan {
			crashes++
			f := *crashFailure
			f.Crash = fmt.Sprintf("e%d/1", crashes)
			return worktest.Plan{Events: 2, Failure: &f}
		}, nil)
		for i := range 10 {
			e := fx.entries[0].Run(t.Context(), newIdempotent(fmt.Sprint("r", i), false), &sink{})
			require.Equal(t, result.Suspect, e.Code)
			require.Positive(t, e.RetryAfter)
			if i > 0 {
				require.Equal(t, result.NotRun, e.Outcome)
			}
		}
		require.Equal(t, 2, crashes)
		require.True(t, fx.endpoint.Calls()[1].Isolated)
		time.Sleep(time.Second)
		innocent := newIdempotent("innocent", false)
		innocent.Fingerprint++
		fx.endpoint.Plan = plan(worktest.Plan{Events: 2})
		require.Nil(t, fx.entries[0].Run(t.Context(), innocent, &sink{}))
	})
}

// TestCopiesOfAnInnocentRequestAreNotIsolated guards against treating a request as suspect because of the
// number of its copies. Copies already run on two endpoints, as many as one request may crash.
func TestCopiesOfAnInnocentRequestAreNotIsolated(t *testing.T) {
	fx := newFixture(plan(worktest.Plan{Events: 2}), nil)
	call := newIdempotent("r", false)
	table := suspect.NewTable(suspect.OwnerLimits())
	for _, name := range []string{"e1", "e2"} {
		require.True(t, table.Started(time.Now(), call.Fingerprint, name))
	}
	fx.entries[0].cfg.Suspects = suspect.NewGuard(table, nil)
	require.Nil(t, fx.entries[0].Run(t.Context(), call, &sink{}))
	require.False(t, fx.endpoint.Calls()[0].Isolated)
}

// maxAmplification limits the attempts per request while an endpoint group fails.
const maxAmplification = 1.1

// TestRetryAmplification guards against overload by retries: while every attempt fails, the retry budget
// must limit the number of attempts per request.
func TestRetryAmplification(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 2000
		failure := &work.Failure{Code: result.EndpointFailed, Outcome: result.MayHaveRun}
		fx := newFixture(plan(worktest.Plan{Events: 2, Failure: failure}), nil)
		for i := range requests {
			call := newIdempotent(fmt.Sprint("r", i), false)
			call.RetryPercent = 9
			require.Error(t, fx.entries[0].Run(t.Context(), call, &sink{}))
		}
		time.Sleep(time.Second)
		amplification := float64(fx.counter(MetricAttempts)) / requests
		t.Logf("attempts per request: %.4f", amplification)
		require.Less(t, amplification, maxAmplification)
	})
}

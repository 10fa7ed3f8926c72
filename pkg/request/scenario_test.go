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

// requirePieces requires that the caller has every piece of the stream once, in order.
func requirePieces(t *testing.T, s *sink, request string, n int) {
	t.Helper()
	require.True(t, s.whole)
	require.Len(t, s.pieces, n)
	for i, piece := range s.pieces {
		require.Equal(t, string(worktest.Piece(request, i)), string(piece))
	}
}

// requireIdle requires that nothing is held for a request that has ended.
func requireIdle(t *testing.T, w *world) {
	t.Helper()
	for _, entry := range w.entries {
		require.Empty(t, entry.Open())
		require.Zero(t, entry.Wait(t.Context()))
	}
	require.Zero(t, w.memory.used)
}

// firstFails gives the first attempt the plan, and the others a plain one.
func firstFails(first worktest.Plan) func(*work.Request) worktest.Plan {
	return func(req *work.Request) worktest.Plan {
		if req.ID.Attempt == 1 {
			return first
		}
		return worktest.Plan{Events: 6, EventEvery: time.Millisecond}
	}
}

func cutAfter(events int, f *work.Failure) worktest.Plan {
	return worktest.Plan{Events: 6, EventEvery: time.Millisecond, FailAt: events, Failure: f}
}

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
		{"crash in the middle is told", firstFails(cutAfter(3, crashFailure)), 1, result.AnswerCut},
		{"hand-over of the queue is not noticed", firstFails(worktest.Plan{Unstarted: true, Failure: handover}), 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(c.plan, nil)
				caller := &sink{}
				e := w.entries[0].Run(t.Context(), newIdempotent("r", true), caller)
				require.Equal(t, c.runs, w.endpoint.Runs("r"))
				time.Sleep(time.Minute)
				if c.code != 0 {
					require.Equal(t, c.code, e.Code)
					require.Equal(t, result.MayHaveRun, e.Outcome)
					require.False(t, caller.whole)
					return
				}
				require.Nil(t, e)
				requirePieces(t, caller, "r", 6)
				requireIdle(t, w)
			})
		})
	}
}

func TestOwnerKilledInMidStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(plan(worktest.Plan{Events: 6, EventEvery: 10 * time.Millisecond}), nil)
		time.AfterFunc(35*time.Millisecond, func() {
			w.owner.Kill()
			w.directory.Set(testGroup, nil)
		})
		time.AfterFunc(2*time.Second, func() { w.directory.Set(testGroup, worktest.NewOwner("owner/2", w.endpoint)) })
		caller := &sink{}
		require.Nil(t, w.entries[0].Run(t.Context(), newIdempotent("r", true), caller))
		time.Sleep(time.Minute)
		requirePieces(t, caller, "r", 6)
		require.Equal(t, 1, w.endpoint.Runs("r"))
		requireIdle(t, w)
	})
}

func TestOwnerKilledUnderNonIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(plan(worktest.Plan{Events: 2, QueueFor: time.Second}), nil)
		time.AfterFunc(100*time.Millisecond, func() {
			w.owner.Kill()
			w.directory.Set(testGroup, worktest.NewOwner("owner/2", w.endpoint))
		})
		e := w.entries[0].Run(t.Context(), newCall("r", "k"), &sink{})
		require.Equal(t, result.OwnerLost, e.Code)
		require.Equal(t, result.MayHaveRun, e.Outcome, "the dead owner cannot prove anything")
		e = w.entries[1].Run(t.Context(), newCall("r2", "k"), &sink{})
		require.Equal(t, result.Unresolved, e.Code)
		time.Sleep(time.Minute)
		require.LessOrEqual(t, w.endpoint.Total(), 1)
	})
}

// forgetfulOwner says that nothing has run, as an owner would that has lost its memory.
type forgetfulOwner struct{ *worktest.Owner }

func (forgetfulOwner) Withdraw(context.Context, work.AttemptID) (result.Outcome, error) {
	return result.NotRun, nil
}

type forgetfulDirectory struct{ owner forgetfulOwner }

func (d forgetfulDirectory) OwnerOf(string) (string, work.Owner, error) { return "vm/1", d.owner, nil }

func TestNotRunIsNotBelievedOnceStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(plan(worktest.Plan{Events: 2, EventEvery: time.Second}), nil)
		next := 0
		w.owner.Fault = func(method string) worktest.Fault {
			if method == "Next" {
				next++
			}
			if method == "Next" && next == 2 {
				return worktest.LoseRequest
			}
			return worktest.None
		}
		w.entries[0].cfg.Directory = forgetfulDirectory{forgetfulOwner{w.owner}}
		require.Nil(t, w.entries[0].Run(t.Context(), newCall("r", "k"), &sink{}))
		require.Equal(t, 1, w.endpoint.Runs("r"))
	})
}

func TestOldAttemptsAreNotBelievedToBeUnrun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(plan(worktest.Plan{Events: 1, QueueFor: time.Hour}), nil)
		call := newCall("r", "")
		call.Deadline = time.Now().Add(proofAge + time.Second)
		e := w.entries[0].Run(t.Context(), call, &sink{})
		require.Equal(t, result.MayHaveRun, e.Outcome)
		time.Sleep(2 * time.Hour)
	})
}

func TestDeadlines(t *testing.T) {
	t.Run("in the queue", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(plan(worktest.Plan{Events: 1, QueueFor: time.Minute}), nil)
			began := time.Now()
			e := w.entries[0].Run(t.Context(), newCall("r", "k"), &sink{})
			require.Equal(t, result.DeadlinePassed, e.Code)
			require.Equal(t, result.NotRun, e.Outcome)
			require.Equal(t, 20*time.Second, time.Since(began))
			require.Zero(t, w.quota.left(), "the whole charge is given back")
			time.Sleep(time.Hour)
			require.Zero(t, w.endpoint.Total())
		})
	})
	t.Run("while running, with a record", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(plan(worktest.Plan{Events: 1, EventEvery: 30 * time.Second}), nil)
			e := w.entries[0].Run(t.Context(), newCall("r", "k"), &sink{})
			require.Equal(t, result.MayHaveRun, e.Outcome)
			require.Len(t, w.entries[0].Open(), 1, "it is followed to its end")
			time.Sleep(time.Minute)
			requireIdle(t, w)
			caller := &sink{}
			require.Nil(t, w.entries[1].Run(t.Context(), newCall("r2", "k"), caller))
			require.True(t, caller.replay)
			require.Equal(t, string(worktest.Whole("r")), string(caller.body))
			require.Equal(t, 1, w.endpoint.Total())
		})
	})
}

func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(plan(worktest.Plan{Events: 4, EventEvery: time.Second}), nil)
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		gone, leave := context.WithCancel(ctx)
		time.AfterFunc(2*time.Second+time.Millisecond, leave)
		e := w.entries[0].Run(gone, newIdempotent("r", true), &sink{})
		require.Equal(t, result.CallerGone, e.Code)
		require.Equal(t, result.MayHaveRun, e.Outcome)
		time.Sleep(time.Minute)
		requireIdle(t, w)
	})
}

func TestRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(plan(worktest.Plan{Events: 2}), nil)
		first, repeat := &sink{}, &sink{}
		require.Nil(t, w.entries[0].Run(t.Context(), newCall("r1", "k"), first))
		require.Equal(t, 2, w.table.Writes())
		require.Nil(t, w.entries[1].Run(t.Context(), newCall("r2", "k"), repeat))
		require.True(t, repeat.replay)
		require.Equal(t, first.body, repeat.body)

		other := newCall("r3", "k")
		other.BodyHash = "other"
		require.Equal(t, result.KeyReused, w.entries[0].Run(t.Context(), other, &sink{}).Code)

		w.table.Fault = func() ledgertest.Fault { return ledgertest.Down }
		began := time.Now()
		e := w.entries[0].Run(t.Context(), newCall("r4", "new"), &sink{})
		require.Equal(t, result.StoreDown, e.Code)
		require.Equal(t, result.NotRun, e.Outcome)
		require.Zero(t, time.Since(began), "at once")
		require.Equal(t, 1, w.endpoint.Total())
	})
}

// TestSuspectThroughOneEntry sends a request that crashes every endpoint ten times. Each entry
// learns of the crashes that it saw itself; the owner's table, which counts them all, is tested with it.
func TestSuspectThroughOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crashes := 0
		w := newWorld(func(req *work.Request) worktest.Plan {
			crashes++
			f := *crashFailure
			f.Crash = fmt.Sprintf("e%d/1", crashes)
			return worktest.Plan{Events: 2, Failure: &f}
		}, nil)
		for i := range 10 {
			e := w.entries[0].Run(t.Context(), newIdempotent(fmt.Sprint("r", i), false), &sink{})
			require.Equal(t, result.Suspect, e.Code)
			require.Positive(t, e.RetryAfter)
			if i > 0 {
				require.Equal(t, result.NotRun, e.Outcome)
			}
		}
		require.Equal(t, 2, crashes)
		require.True(t, w.endpoint.Calls()[1].Isolated)
		time.Sleep(time.Second)
		innocent := newIdempotent("innocent", false)
		innocent.Fingerprint++
		w.endpoint.Plan = plan(worktest.Plan{Events: 2})
		require.Nil(t, w.entries[0].Run(t.Context(), innocent, &sink{}))
	})
}

// TestCopiesOfAnInnocentRequestAreNotIsolated gives a request whose copies already run on as many
// endpoints as one request may crash.
func TestCopiesOfAnInnocentRequestAreNotIsolated(t *testing.T) {
	w := newWorld(plan(worktest.Plan{Events: 2}), nil)
	call := newIdempotent("r", false)
	table := suspect.NewTable(suspect.OwnerLimits())
	for _, name := range []string{"e1", "e2"} {
		require.True(t, table.Started(time.Now(), call.Fingerprint, name))
	}
	w.entries[0].cfg.Suspects = suspect.NewGuard(table, nil)
	require.Nil(t, w.entries[0].Run(t.Context(), call, &sink{}))
	require.False(t, w.endpoint.Calls()[0].Isolated)
}

// maxAmplification is the target for attempts per request with an endpoint group failing.
const maxAmplification = 1.1

func TestRetryAmplification(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 2000
		failure := &work.Failure{Code: result.EndpointFailed, Outcome: result.MayHaveRun}
		w := newWorld(plan(worktest.Plan{Events: 2, Failure: failure}), nil)
		for i := range requests {
			call := newIdempotent(fmt.Sprint("r", i), false)
			call.RetryPercent = 9
			require.Error(t, w.entries[0].Run(t.Context(), call, &sink{}))
		}
		time.Sleep(time.Second)
		amplification := float64(w.count(MetricAttempts)) / requests
		t.Logf("attempts per request: %.4f", amplification)
		require.Less(t, amplification, maxAmplification)
	})
}

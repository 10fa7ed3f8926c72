package ledger

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/ledger/ledgertest"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/work"
)

// fixedProver gives the same result for every attempt.
type fixedProver bool

func (p fixedProver) ProveNotRun(context.Context, Holder) bool { return bool(p) }

func newLedger(table *ledgertest.Table, proves bool) *Ledger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(table, fixedProver(proves), metrics.NewRegistry(), log)
}

func holder(request string, attempt int) Holder {
	return Holder{Attempt: work.AttemptID{Request: request, Attempt: attempt}, Group: "g", Owner: "vm/1"}
}

var testRecord = Key{Account: "a", Route: "issue", Name: "k"}

func resultCode(t *testing.T, err error) result.Code {
	t.Helper()
	var e *result.Error
	require.ErrorAs(t, err, &e)
	return e.Code
}

// faultSequence returns a function that returns the faults one after the other, and None after the last.
func faultSequence(faults ...ledgertest.Fault) func() ledgertest.Fault {
	return func() ledgertest.Fault {
		if len(faults) == 0 {
			return ledgertest.None
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
}

// TestLostRepliesAreReadBack guards against a second write, or a failure, when the table service applies a write and
// its reply is lost: the row must be read back.
func TestLostRepliesAreReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := ledgertest.New()
		table.Fault = faultSequence(ledgertest.LoseReply, ledgertest.LoseReply, ledgertest.LoseReply)
		l := newLedger(table, false)
		h, recorded, err := l.Begin(t.Context(), testRecord, "body", holder("r1", 1))
		require.NoError(t, err)
		require.Nil(t, recorded)
		require.NoError(t, l.Rebind(t.Context(), h, holder("r1", 2)))
		require.NoError(t, l.Complete(t.Context(), h, Response{Status: 201, Body: []byte("done")}))
		require.Equal(t, 3, table.Writes())
		_, recorded, err = newLedger(table, false).Begin(t.Context(), testRecord, "body", holder("r2", 1))
		require.NoError(t, err)
		require.Equal(t, "done", string(recorded.Body))
	})
}

// TestDelayedInsertIsResolvedByProof guards against a key that stays blocked by an insert that was applied only
// after the request had been refused: a repeat may take over the record once its owner proves that the
// earlier request has not run.
func TestDelayedInsertIsResolvedByProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := ledgertest.New()
		table.Fault = faultSequence(ledgertest.Delay)
		l := newLedger(table, true)
		_, _, err := l.Begin(t.Context(), testRecord, "body", holder("r1", 1))
		require.Equal(t, result.StoreDown, resultCode(t, err))
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, table.Writes(), "the delayed write must be applied after Begin has failed")
		_, _, err = newLedger(table, false).Begin(t.Context(), testRecord, "body", holder("r2", 1))
		require.Equal(t, result.Unresolved, resultCode(t, err))
		h, _, err := l.Begin(t.Context(), testRecord, "body", holder("r3", 1))
		require.NoError(t, err)
		require.Equal(t, "r3", h.Holder().Attempt.Request)
	})
}

func TestProofIsNotAskedForOldRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedger(ledgertest.New(), true)
		_, _, err := l.Begin(t.Context(), testRecord, "body", holder("r1", 1))
		require.NoError(t, err)
		time.Sleep(proofWindow + time.Second)
		_, _, err = l.Begin(t.Context(), testRecord, "body", holder("r2", 1))
		require.Equal(t, result.Unresolved, resultCode(t, err))
	})
}

// TestTakenOverRecordIsNotRebound guards against two requests that both hold the right to dispatch: after a
// takeover, the earlier request can neither rebind nor release the record.
func TestTakenOverRecordIsNotRebound(t *testing.T) {
	l := newLedger(ledgertest.New(), true)
	first, _, err := l.Begin(t.Context(), testRecord, "body", holder("r1", 1))
	require.NoError(t, err)
	_, _, err = l.Begin(t.Context(), testRecord, "body", holder("r2", 1))
	require.NoError(t, err)
	require.Equal(t, result.Unresolved, resultCode(t, l.Rebind(t.Context(), first, holder("r1", 2))))
	require.Error(t, l.Release(t.Context(), first), "the record belongs to another request by now")
}

// TestCompletionOutlivesAnOutage guards against a lost record when the table service is down for 10 minutes after
// the request has run.
func TestCompletionOutlivesAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := ledgertest.New()
		l := newLedger(table, false)
		h, _, err := l.Begin(t.Context(), testRecord, "body", holder("r1", 1))
		require.NoError(t, err)
		var up atomic.Bool
		table.Fault = func() ledgertest.Fault {
			if up.Load() {
				return ledgertest.None
			}
			return ledgertest.Down
		}
		start := time.Now()
		require.NoError(t, l.Complete(t.Context(), h, Response{Status: 200}))
		require.Equal(t, recordWait, time.Since(start), "the response must be held back for recordWait only")
		time.Sleep(10 * time.Minute)
		up.Store(true)
		require.NoError(t, l.Flush(t.Context()))
		require.Equal(t, 2, table.Writes())
	})
}

func TestLargeAnswerIsRecordedWithoutBody(t *testing.T) {
	l := newLedger(ledgertest.New(), false)
	h, _, err := l.Begin(t.Context(), testRecord, "body", holder("r1", 1))
	require.NoError(t, err)
	require.NoError(t, l.Complete(t.Context(), h, Response{Status: 200, Body: make([]byte, MaxResponseBytes+1)}))
	_, recorded, err := l.Begin(t.Context(), testRecord, "body", holder("r2", 1))
	require.NoError(t, err)
	require.True(t, recorded.Dropped)
	require.Empty(t, recorded.Body)
}

func TestSweeperDeletesExpiredRecords(t *testing.T) {
	table := ledgertest.New()
	l := newLedger(table, false)
	for i := range 40 {
		h, _, err := l.Begin(t.Context(), Key{Name: fmt.Sprint(i)}, "body", holder("r", i))
		require.NoError(t, err)
		if i%2 == 0 {
			require.NoError(t, l.Complete(t.Context(), h, Response{Status: 200}))
		}
	}
	count := func(after time.Duration) int {
		s := NewSweeper(l)
		for range Shards {
			require.NoError(t, s.Step(t.Context(), time.Now().Add(after)))
		}
		rows, err := table.List(t.Context(), Prefix)
		require.NoError(t, err)
		return len(rows)
	}
	require.Equal(t, 40, count(AnsweredLifetime-time.Minute))
	require.Equal(t, 20, count(AnsweredLifetime+time.Minute))
	require.Zero(t, count(UnresolvedLifetime+time.Minute))
}

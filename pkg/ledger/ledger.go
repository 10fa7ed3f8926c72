package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/result"
)

// Names of the metrics counters.
const (
	MetricWrites     = "ledger.writes"
	MetricReads      = "ledger.reads"
	MetricReplays    = "ledger.replays"
	MetricUnresolved = "ledger.unresolved"
	MetricResolved   = "ledger.resolved"
	MetricStoreDown  = "ledger.store_down"
	MetricLate       = "ledger.late_completions"
	MetricSwept      = "ledger.swept"
	MetricFailed     = "ledger.write_failed"
)

const (
	// storeTimeout bounds one call of the table service. A request on a non-idempotent route is refused
	// after it, before the dispatch, when the table service does not respond.
	storeTimeout = 500 * time.Millisecond
	// recordWait is how long a response is held back for its record to be written. It is then delivered
	// even if the write has not finished.
	recordWait = 100 * time.Millisecond
	// writeRetryTimeout bounds the time over which a failed write of a response is retried.
	writeRetryTimeout = 15 * time.Minute
	// writeRetryDelay is the delay before the first retry; it doubles up to maxWriteRetryDelay.
	writeRetryDelay    = 50 * time.Millisecond
	maxWriteRetryDelay = 5 * time.Second
	// proofWindow is the age of a record up to which its owner is asked for proof. It is well below
	// work.RetainEnded, so that the clocks of two VMs may differ by minutes.
	proofWindow = 2 * time.Minute
	// maxReadBacks bounds the reads that determine whether a write whose reply was lost was applied.
	maxReadBacks = 3
	// unresolvedRetryAfter is the retry delay sent to a caller whose request has an unknown outcome.
	unresolvedRetryAfter = time.Second
	// storeDownRetryAfter is the retry delay sent to a caller while the table service does not respond.
	storeDownRetryAfter = 2 * time.Second
)

// Prover asks an owner to prove that an attempt has not run and never will. ProveNotRun returns false
// if the owner cannot be reached or cannot prove it.
type Prover interface {
	ProveNotRun(ctx context.Context, holder Holder) bool
}

// Ledger reads and writes at-most-once records. It is safe for concurrent use.
type Ledger struct {
	table  platform.Table
	prover Prover
	log    logrus.FieldLogger

	writes, reads, replays, unresolved metrics.Counter
	resolved, storeDown, late, swept   metrics.Counter
	failed                             metrics.Counter

	pending sync.WaitGroup // completions and releases in progress
}

// New returns a Ledger that keeps its records in table and registers its counters with registry.
func New(table platform.Table, prover Prover, registry metrics.Registry, log logrus.FieldLogger) *Ledger {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	return &Ledger{
		table:      table,
		prover:     prover,
		log:        log,
		writes:     counter(MetricWrites),
		reads:      counter(MetricReads),
		replays:    counter(MetricReplays),
		unresolved: counter(MetricUnresolved),
		resolved:   counter(MetricResolved),
		storeDown:  counter(MetricStoreDown),
		late:       counter(MetricLate),
		swept:      counter(MetricSwept),
		failed:     counter(MetricFailed),
	}
}

// Handle is the right to dispatch the attempt that a record names, and to record its outcome. It is not
// safe for concurrent use.
type Handle struct {
	key     string
	version uint64
	record  record
	// unknownAttempt identifies the last transaction whose reply was lost.
	unknownAttempt string
}

// mayBeApplied reports whether an earlier try of the transaction may have been applied.
func (h *Handle) mayBeApplied(attempt string) bool { return h.unknownAttempt == attempt }

// Holder returns the attempt and owner that the record names.
func (h *Handle) Holder() Holder { return h.record.Holder }

// Begin writes the record of a new request, before its dispatch. If a record exists already, Begin returns
// the recorded response, or fails: with key-reused if the record is of a request with another body, with
// unresolved while the outcome is unknown. It fails with store-down, outcome not-run, if the table service
// does not respond.
func (l *Ledger) Begin(ctx context.Context, key Key, bodyHash string, holder Holder) (*Handle, *Response, error) {
	h := &Handle{key: key.rowKey(), record: record{Holder: holder, BodyHash: bodyHash, Written: time.Now().UTC()}}
	err := l.write(ctx, h, 0, uuid.NewString())
	if err == nil {
		return h, nil, nil
	}
	if !errors.Is(err, platform.ErrConflict) {
		return nil, nil, l.storeDownError(err)
	}
	return l.handleRepeat(ctx, h)
}

// handleRepeat handles a request whose record exists. h holds the record that the request would have
// written.
func (l *Ledger) handleRepeat(ctx context.Context, h *Handle) (*Handle, *Response, error) {
	row, err := l.get(ctx, h.key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil, l.unresolvedError("the record has just been released; send again")
	}
	if err != nil {
		return nil, nil, l.storeDownError(err)
	}
	found, err := decode(row.Value)
	if err != nil {
		return nil, nil, l.unresolvedError("the record cannot be read")
	}
	if found.BodyHash != h.record.BodyHash {
		return nil, nil, result.New(result.KeyReused, "this Idempotency-Key was used for another request")
	}
	if found.Response != nil {
		l.replays.Inc(1)
		return nil, found.Response, nil
	}
	return l.takeOver(ctx, h, row, found)
}

// takeOver replaces the record of an earlier request if its owner proves that it has not run.
func (l *Ledger) takeOver(ctx context.Context, h *Handle, row platform.Row, found record) (*Handle, *Response, error) {
	age := time.Since(found.Written).Abs()
	if age > proofWindow || !l.prover.ProveNotRun(ctx, found.Holder) {
		return nil, nil, l.unresolvedError("an earlier request with this Idempotency-Key has no known end yet")
	}
	if err := l.write(ctx, h, row.Version, uuid.NewString()); err != nil {
		return nil, nil, l.unresolvedError("the record was changed by another request")
	}
	l.resolved.Inc(1)
	return h, nil, nil
}

// Rebind names another attempt or owner in the record, before the dispatch to it. It fails with
// unresolved if another request has taken over the record, and with store-down if the table service does
// not respond. After store-down the attempt must not be dispatched, but Rebind may be called again.
func (l *Ledger) Rebind(ctx context.Context, h *Handle, holder Holder) error {
	previous := h.record.Holder
	h.record.Holder = holder
	err := l.write(ctx, h, h.version, uuid.NewString())
	if err == nil {
		return nil
	}
	h.record.Holder = previous
	if errors.Is(err, platform.ErrConflict) {
		return l.unresolvedError("another request with this Idempotency-Key took the record over")
	}
	return l.storeDownError(err)
}

// Complete records the response. It waits for the write up to recordWait; the write then continues in the
// background, and until it is done a repeat on another VM fails with unresolved.
func (l *Ledger) Complete(ctx context.Context, h *Handle, answer Response) error {
	kept := answer.withoutLargeBody()
	h.record.Response = &kept
	version, attempt := h.version, uuid.NewString()
	return l.persist(ctx, h, "record_complete_failed", func(ctx context.Context) error {
		return l.write(ctx, h, version, attempt)
	})
}

// Release deletes the record of a request that is proven not to have run, so that it may be sent
// again with the same key.
func (l *Ledger) Release(ctx context.Context, h *Handle) error {
	txn := platform.Txn{
		Attempt:    uuid.NewString(),
		Conditions: []platform.Condition{{Key: h.key, Version: h.version}},
		Writes:     []platform.Write{{Key: h.key, Delete: true}},
	}
	return l.persist(ctx, h, "record_release_failed", func(ctx context.Context) error {
		return l.commit(ctx, txn, h)
	})
}

// Flush waits until the writes in progress have finished or ctx ends.
func (l *Ledger) Flush(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		l.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// persist retries the write until it has succeeded or failed for good, and waits for that up to recordWait.
func (l *Ledger) persist(ctx context.Context, h *Handle, event string, write func(context.Context) error) error {
	outcome := make(chan error, 1)
	detached := context.WithoutCancel(ctx)
	l.pending.Go(func() { outcome <- l.retryWrite(detached, h, event, write) })
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case err := <-outcome:
		return err
	case <-timer.C:
		l.late.Inc(1)
		return nil
	}
}

// retryWrite repeats the write with growing delays. It gives up on a conflict, or after writeRetryTimeout.
func (l *Ledger) retryWrite(ctx context.Context, h *Handle, event string, write func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, writeRetryTimeout)
	defer cancel()
	delay := writeRetryDelay
	for {
		err := write(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, platform.ErrConflict) || ctx.Err() != nil {
			l.failed.Inc(1)
			l.log.WithFields(logrus.Fields{"event": event, "request": h.record.Holder.Attempt.Request}).
				WithError(err).Error("at-most-once record not written")
			return err
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
		delay = min(2*delay, maxWriteRetryDelay)
	}
}

// storeDownError counts and logs a failed call of the table service and returns the error for the caller.
func (l *Ledger) storeDownError(err error) *result.Error {
	l.storeDown.Inc(1)
	e := result.New(result.StoreDown, "the at-most-once record cannot be written")
	e.RetryAfter = storeDownRetryAfter
	l.log.WithField("event", "record_store_down").WithError(err).Warn("at-most-once record not accessible: table service does not respond")
	return e
}

// unresolvedError counts a request with an unknown outcome and returns the error for the caller.
func (l *Ledger) unresolvedError(detail string) *result.Error {
	l.unresolved.Inc(1)
	e := result.New(result.Unresolved, detail)
	e.RetryAfter = unresolvedRetryAfter
	return e
}

package ledger

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/platform"
)

// write writes h.record on the condition that the row is at version, and sets h.version. It fails with
// platform.ErrConflict, or with another error, after which the row may or may not have been written.
func (l *Ledger) write(ctx context.Context, h *Handle, version uint64, attempt string) error {
	value, err := h.record.encode()
	if err != nil {
		return err
	}
	return l.commit(ctx, platform.Txn{
		Attempt:    attempt,
		Conditions: []platform.Condition{{Key: h.key, Version: version}},
		Writes:     []platform.Write{{Key: h.key, Value: value}},
	}, h)
}

// commit applies a transaction on one row and sets h.version. It reads the row back when the reply was
// lost, and on a conflict that an earlier try of the same transaction may have caused.
func (l *Ledger) commit(ctx context.Context, txn platform.Txn, h *Handle) error {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	l.writes.Inc(1)
	version, err := l.table.Commit(bounded, txn)
	if err == nil {
		h.version = version
		return nil
	}
	if errors.Is(err, platform.ErrUnavailable) {
		return err
	}
	if errors.Is(err, platform.ErrConflict) && !h.mayBeApplied(txn.Attempt) {
		return err
	}
	h.unknownAttempt = txn.Attempt
	return l.readBack(ctx, txn, h)
}

// readBack determines whether txn was applied. A write that is not in the row yet may still be applied,
// if its condition holds then, so the outcome is success, a conflict or unknown, never "not written".
func (l *Ledger) readBack(ctx context.Context, txn platform.Txn, h *Handle) error {
	want := txn.Conditions[0]
	for range maxReadBacks {
		row, err := l.get(ctx, want.Key)
		switch {
		case errors.Is(err, platform.ErrNotFound) && txn.Writes[0].Delete:
			return nil
		case errors.Is(err, platform.ErrNotFound) && want.Version != 0:
			return platform.ErrConflict
		case err == nil && row.Attempt == txn.Attempt:
			h.version = row.Version
			return nil
		case err == nil && row.Version != want.Version:
			return platform.ErrConflict
		}
		if ctx.Err() != nil {
			break
		}
		time.Sleep(writeRetryDelay)
	}
	return platform.ErrUnknown
}

func (l *Ledger) get(ctx context.Context, key string) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	l.reads.Inc(1)
	return l.table.Get(ctx, key)
}

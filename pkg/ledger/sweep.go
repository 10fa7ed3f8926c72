package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

const (
	// Shards is the number of key ranges in which the sweeper lists the records.
	Shards = 256
	// SweepInterval is the interval between two shards: all are visited in about 21 minutes.
	SweepInterval = 5 * time.Second
	// SweepBatch bounds the number of rows that one transaction of the sweeper deletes.
	SweepBatch = 64
)

// Sweeper deletes expired records. It costs one List call per SweepInterval and one write per SweepBatch
// expired records. One VM of the fleet should run it.
type Sweeper struct {
	ledger *Ledger
	shard  int
}

// NewSweeper returns a Sweeper of l's records.
func NewSweeper(l *Ledger) *Sweeper { return &Sweeper{ledger: l} }

// Run sweeps one shard per SweepInterval, while active returns true, until ctx ends.
func (s *Sweeper) Run(ctx context.Context, active func() bool) {
	clock.Every(ctx, SweepInterval, func(time.Time) {
		if !active() {
			return
		}
		if err := s.Step(ctx, time.Now()); err != nil {
			s.ledger.log.WithField("event", "record_sweep_failed").WithError(err).Warn("sweep of expired at-most-once records failed")
		}
	})
}

// Step deletes up to SweepBatch expired records of the next shard.
func (s *Sweeper) Step(ctx context.Context, now time.Time) error {
	prefix := shardPrefix(fmt.Sprintf("%02x", s.shard))
	s.shard = (s.shard + 1) % Shards
	rows, err := s.ledger.table.List(ctx, prefix)
	if err != nil {
		return err
	}
	txn := platform.Txn{Attempt: uuid.NewString()}
	for _, row := range rows {
		rec, err := decode(row.Value)
		if err != nil || !rec.expired(now) {
			continue
		}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
		if len(txn.Writes) == SweepBatch {
			break
		}
	}
	return s.delete(ctx, txn)
}

func (s *Sweeper) delete(ctx context.Context, txn platform.Txn) error {
	if len(txn.Writes) == 0 {
		return nil
	}
	s.ledger.writes.Inc(1)
	if _, err := s.ledger.table.Commit(ctx, txn); err != nil {
		return err
	}
	s.ledger.swept.Inc(int64(len(txn.Writes)))
	s.ledger.log.WithFields(logrus.Fields{"event": "records_swept", "records": len(txn.Writes)}).Info("expired at-most-once records deleted")
	return nil
}

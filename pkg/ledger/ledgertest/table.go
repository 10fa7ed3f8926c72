// Package ledgertest provides an in-memory platform.Table with injected faults for tests.
package ledgertest

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/platform"
)

// Fault is the fault injected into one Commit.
type Fault uint8

// Faults.
const (
	// None applies the transaction and returns its result.
	None Fault = iota
	// Down refuses the transaction with platform.ErrUnavailable.
	Down
	// LoseRequest does not apply the transaction and returns platform.ErrUnknown.
	LoseRequest
	// LoseReply applies the transaction and returns platform.ErrUnknown.
	LoseReply
	// Delay returns platform.ErrUnknown and applies the transaction after commitDelay, if its conditions
	// hold then.
	Delay
)

// commitDelay is the time after which a transaction with the fault Delay is applied.
const commitDelay = 3 * time.Second

// Table is an in-memory platform.Table with faults. Its methods are safe for concurrent use.
type Table struct {
	// Latency is the time that each call takes.
	Latency time.Duration
	// Fault chooses the fault of a Commit; nil means None. ReadFault reports whether a read fails; nil
	// means that none does.
	Fault     func() Fault
	ReadFault func() bool

	mu      sync.Mutex
	version uint64
	rows    map[string]platform.Row
	writes  int
}

// New returns an empty Table.
func New() *Table { return &Table{rows: map[string]platform.Row{}} }

// Writes returns the number of transactions applied.
func (t *Table) Writes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writes
}

// Get returns one row.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.read(ctx); err != nil {
		return platform.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

// List returns the rows whose keys begin with prefix.
func (t *Table) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	if err := t.read(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []platform.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

func (t *Table) read(ctx context.Context) error {
	if err := t.wait(ctx); err != nil {
		return err
	}
	if t.ReadFault != nil && t.ReadFault() {
		return platform.ErrUnavailable
	}
	return nil
}

func (t *Table) wait(ctx context.Context) error {
	if t.Latency == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(t.Latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Commit applies txn if its conditions hold.
func (t *Table) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if err := t.wait(ctx); err != nil {
		return 0, platform.ErrUnknown
	}
	fault := None
	if t.Fault != nil {
		fault = t.Fault()
	}
	switch fault {
	case Down:
		return 0, platform.ErrUnavailable
	case LoseRequest:
		return 0, platform.ErrUnknown
	case LoseReply:
		t.apply(txn)
		return 0, platform.ErrUnknown
	case Delay:
		time.AfterFunc(commitDelay, func() { t.apply(txn) })
		return 0, platform.ErrUnknown
	}
	return t.apply(txn)
}

func (t *Table) apply(txn platform.Txn) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return 0, platform.ErrConflict
		}
	}
	t.version++
	t.writes++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = platform.Row{Key: w.Key, Version: t.version, Attempt: txn.Attempt, Value: w.Value}
	}
	return t.version, nil
}

// Generation implements platform.Table. The table never returns from an older copy.
func (t *Table) Generation() uint64 { return 0 }

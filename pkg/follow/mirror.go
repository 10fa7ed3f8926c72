package follow

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// FeedTable is a table that also has a feed.
type FeedTable interface {
	platform.Table
	platform.Feed
}

// Mirror is a table that answers listings from a local copy. Each listing first fetches the changes since
// the previous one, so its cost depends only on them. A Mirror is safe for concurrent use.
type Mirror struct {
	FeedTable

	mu sync.Mutex
	// The fields below are guarded by mu.

	rows        map[string]platform.Row
	position    uint64
	hasPosition bool
	// refreshed is when the last call that brought the copy up to date was sent.
	refreshed time.Time
}

// NewMirror returns a Mirror of the table. The first listing takes a snapshot.
func NewMirror(table FeedTable) *Mirror {
	return &Mirror{FeedTable: table, rows: map[string]platform.Row{}}
}

// List implements platform.Table. The rows are those of a time after the call began.
func (m *Mirror) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.refresh(ctx); err != nil {
		return nil, err
	}
	return m.matching(prefix), nil
}

// Cached returns the rows whose keys begin with prefix, as of the last listing. It makes no call to the
// platform.
func (m *Mirror) Cached(prefix string) []platform.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.matching(prefix)
}

// CachedGeneration returns the generation of the table service to which the last listing belongs, and 0 before that.
func (m *Mirror) CachedGeneration() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return platform.GenerationOf(m.position)
}

// CachedAt returns the rows whose keys begin with prefix as of the last listing, when the call for that listing was sent, and the
// generation of the table service to which it belongs. The time is zero before the first one. It makes no call.
func (m *Mirror) CachedAt(prefix string) (rows []platform.Row, sent time.Time, generation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.matching(prefix), m.refreshed, platform.GenerationOf(m.position)
}

// matching returns the rows whose keys begin with prefix, in key order. m.mu is held.
func (m *Mirror) matching(prefix string) []platform.Row {
	var rows []platform.Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// refresh brings the copy up to date. m.mu is held.
func (m *Mirror) refresh(ctx context.Context) error {
	sent := clock.Now()
	if m.hasPosition {
		changes, position, err := m.Changes(ctx, m.position, 0)
		if err == nil {
			m.apply(changes, position)
			m.refreshed = sent
			return nil
		}
		if !errors.Is(err, platform.ErrCompacted) {
			return err
		}
		m.hasPosition = false
	}
	sent = clock.Now()
	rows, position, err := m.Snapshot(ctx)
	if err != nil {
		return err
	}
	clear(m.rows)
	for _, row := range rows {
		m.rows[row.Key] = row
	}
	m.position, m.hasPosition, m.refreshed = position, true, sent
	return nil
}

// apply applies changes to the copy and advances the position. m.mu is held.
func (m *Mirror) apply(changes []platform.Change, position uint64) {
	for _, c := range changes {
		if c.Removed {
			delete(m.rows, c.Key)
			continue
		}
		m.rows[c.Key] = c.Row
	}
	m.position = max(m.position, position)
}

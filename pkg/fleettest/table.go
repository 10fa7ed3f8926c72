// Package fleettest provides in-memory fakes of the platform and of the network between VMs, with
// faults that a test switches on and off, a fleet of VMs that use these fakes, and a generator of
// random faults. They work in real time and in testing/synctest bubbles.
package fleettest

import (
	"context"
	"maps"
	"math/rand"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/platform"
)

// Table is a linearizable in-memory fake of the platform's table service. The versions of its rows are the service's own
// counter; its clients add the generation.
type Table struct {
	mu         sync.Mutex
	rows       map[string]platform.Row
	version    uint64
	generation uint64
	// copies are the states after the latest commits, oldest first.
	copies []tableCopy
	reads  int
	writes int
	rnd    *rand.Rand
	faults map[string]TableFaults // by VM
	down   bool
}

// TableFaults are the faults of one VM's calls to the table.
type TableFaults struct {
	// Down makes every call fail without effect.
	Down bool
	// LoseReplies is the share of commits, from 0 to 1, that take effect but whose reply is lost.
	LoseReplies float64
	// Latency is added to every call.
	Latency time.Duration
	// DelayWrites is the share of commits, from 0 to 1, that take effect after a random delay,
	// possibly long after the VM that sent them has given up.
	DelayWrites float64
}

const (
	tableLatency  = time.Millisecond
	maxWriteDelay = 6 * time.Second
	// copyRetention is the maximum age of the state from which the table can return.
	copyRetention = 20 * time.Second
)

// tableCopy is the state of a table from a commit on.
type tableCopy struct {
	at      time.Time
	rows    map[string]platform.Row
	version uint64
}

// NewTable returns an empty table whose random faults depend on the seed.
func NewTable(seed int64) *Table {
	return &Table{
		rows:   map[string]platform.Row{},
		rnd:    rand.New(rand.NewSource(seed)),
		faults: map[string]TableFaults{},
	}
}

// SetDown sets whether the table is unavailable to every VM.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// Return makes the table return from a copy of the given age: all later commits are lost, their versions are assigned again,
// and a new generation of the service begins.
func (t *Table) Return(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := tableCopy{}
	for _, c := range t.copies {
		if !c.at.After(time.Now().Add(-age)) {
			state = c
		}
	}
	t.rows, t.version = maps.Clone(state.rows), state.version
	if t.rows == nil {
		t.rows = map[string]platform.Row{}
	}
	t.copies = []tableCopy{state}
	t.generation++
}

// saveCopy saves the state after a commit. t.mu is held.
func (t *Table) saveCopy() {
	now := time.Now()
	for len(t.copies) > 1 && now.Sub(t.copies[1].at) > copyRetention {
		t.copies = t.copies[1:]
	}
	t.copies = append(t.copies, tableCopy{at: now, rows: maps.Clone(t.rows), version: t.version})
}

// SetFaults replaces the faults of one VM's calls.
func (t *Table) SetFaults(vm string, faults TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults[vm] = faults
}

// Counts returns how many reads the table has served and how many commits have reached it, those
// with failed conditions included.
func (t *Table) Counts() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// Client returns a client of the table for one VM, subject to that VM's faults and, if the gate is
// not nil, to its pauses.
func (t *Table) Client(vm string, gate *Gate) platform.Table {
	return &tableClient{table: t, vm: vm, gate: gate}
}

type tableClient struct {
	table *Table
	vm    string
	gate  *Gate

	mu sync.Mutex
	// generation is the highest generation of any response so far, guarded by mu.
	generation uint64
}

// observe records the generation of a response, and reports whether the response is outdated.
func (c *tableClient) observe(generation uint64) (outdated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	outdated = generation < c.generation
	c.generation = max(c.generation, generation)
	return outdated
}

// Generation implements platform.Table.
func (c *tableClient) Generation() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation
}

// callOutcome holds the faults that apply to one call.
type callOutcome struct {
	down, loseReply bool
	delay, latency  time.Duration
}

// drawOutcome randomly selects the faults of one call by the VM.
func (t *Table) drawOutcome(vm string) callOutcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	faults := t.faults[vm]
	f := callOutcome{down: t.down || faults.Down, latency: faults.Latency}
	f.loseReply = t.rnd.Float64() < faults.LoseReplies
	if t.rnd.Float64() < faults.DelayWrites {
		f.delay = time.Duration(t.rnd.Int63n(int64(maxWriteDelay)))
	}
	return f
}

// Get returns one row.
func (c *tableClient) Get(ctx context.Context, key string) (platform.Row, error) {
	rows, err := c.list(ctx, func(k string) bool { return k == key })
	if err != nil {
		return platform.Row{}, err
	}
	if len(rows) == 0 {
		return platform.Row{}, platform.ErrNotFound
	}
	return rows[0], nil
}

// List returns the rows whose keys begin with prefix.
func (c *tableClient) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	return c.list(ctx, func(k string) bool { return strings.HasPrefix(k, prefix) })
}

func (c *tableClient) list(ctx context.Context, match func(string) bool) ([]platform.Row, error) {
	c.gate.Pass()
	defer c.gate.Pass()
	time.Sleep(tableLatency)
	f := c.table.drawOutcome(c.vm)
	if f.down {
		return nil, platform.ErrUnavailable
	}
	time.Sleep(f.latency)
	rows, generation := c.table.matching(match)
	// The VM may be paused before it handles the response.
	c.gate.Pass()
	if c.observe(generation) {
		return nil, platform.ErrUnavailable
	}
	return rows, ctx.Err()
}

// matching returns the rows whose keys match, with versions of the current generation, and that generation.
func (t *Table) matching(match func(string) bool) ([]platform.Row, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	var rows []platform.Row
	for key, row := range t.rows {
		if match(key) {
			row.Version = platform.VersionIn(t.generation, row.Version)
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, t.generation
}

// Commit applies txn, unless a fault prevents or delays that. If the reply is lost or the commit
// delayed, Commit blocks until ctx ends and returns platform.ErrUnknown.
func (c *tableClient) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	c.gate.Pass()
	defer c.gate.Pass()
	time.Sleep(tableLatency)
	f := c.table.drawOutcome(c.vm)
	expected, versioned := c.Generation(), false
	for _, cond := range txn.Conditions {
		if cond.Version != 0 && platform.GenerationOf(cond.Version) != expected {
			return 0, platform.ErrConflict
		}
		versioned = versioned || cond.Version != 0
	}
	time.Sleep(f.latency)
	switch {
	case f.down:
		return 0, platform.ErrUnavailable
	case f.delay > 0:
		time.AfterFunc(f.delay, func() { _, _ = c.table.apply(txn) })
		<-ctx.Done()
		return 0, platform.ErrUnknown
	case f.loseReply:
		_, _ = c.table.apply(txn)
		<-ctx.Done()
		return 0, platform.ErrUnknown
	}
	version, err := c.table.apply(txn)
	c.gate.Pass()
	outdated := c.observe(platform.GenerationOf(version))
	if outdated || err == nil && versioned && platform.GenerationOf(version) != expected {
		return 0, platform.ErrUnknown
	}
	return version, err
}

// apply applies txn if its conditions hold, and returns the newest version.
func (t *Table) apply(txn platform.Txn) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	for _, cond := range txn.Conditions {
		if t.rows[cond.Key].Version != platform.CounterOf(cond.Version) {
			return platform.VersionIn(t.generation, t.version), platform.ErrConflict
		}
	}
	t.version++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = platform.Row{Key: w.Key, Version: t.version, Attempt: txn.Attempt, Value: w.Value}
	}
	t.saveCopy()
	return platform.VersionIn(t.generation, t.version), nil
}

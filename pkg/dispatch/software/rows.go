package software

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

const (
	// rowPrefix is followed by the name of a group.
	rowPrefix = "software/"
	// steadyReadInterval is the time between two reads of the rows while a group has several versions and nothing changes.
	steadyReadInterval = time.Second
	// startRead is how long a VM that starts waits for a listing of the fleet's table before it reads the rows for itself.
	startRead = 150 * time.Millisecond
	// commitTimeout bounds the write of a row.
	commitTimeout = 2 * time.Second
	// otherWriterDelay, plus as much at most by chance, is after how long other VMs than the first one write a row that is due.
	otherWriterDelay = 1500 * time.Millisecond
	// lostRowDelay is the same, by chance from 0, for what the store has lost.
	lostRowDelay = 300 * time.Millisecond
)

// applyRows applies the rows of all groups as read by a call that was sent at a time.
func (k *Keeper) applyRows(rows []platform.Row, sent time.Time, generation uint64) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !sent.After(k.readSent) || k.hasSeen && generation < k.generation {
		return
	}
	first := !k.hasRead()
	for _, g := range k.groups {
		g.fresh = first && k.cfg.FirstStart() || g.fresh
	}
	// The list of endpoints may have shown the return before.
	returned := !first && generation > k.rowsGeneration
	k.enter(generation, now)
	read := map[string]platform.Row{}
	for _, r := range rows {
		if name, ok := strings.CutPrefix(r.Key, rowPrefix); ok {
			read[name] = r
			k.group(name)
		}
	}
	if first && now.Before(k.heldUntil) {
		k.distrust(now)
	}
	k.readSent, k.rowsGeneration = sent, generation
	for name, g := range k.groups {
		before := g.stage(now)
		r, exists := read[name]
		g.read(k.decode(name, r, exists), r.Version, k.validAt(sent, now), now, returned)
		k.logRow(name, g, before, now)
	}
}

// distrust makes this VM, which has just started, take up nothing by rows or by the one version that is listed for as long as a stream may
// live: the store may have lost tables, and no VM may be left that knows them. k.mu is held.
func (k *Keeper) distrust(now time.Time) {
	for name, g := range k.groups {
		life, _ := k.cfg.Life(name)
		g.unproven = now.Add(life + k.cfg.Timing.Hold)
	}
}

// decode returns a row, nil if there is none. k.mu is held.
func (k *Keeper) decode(name string, r platform.Row, exists bool) *row {
	if !exists {
		return nil
	}
	decoded, err := decodeRow(r.Value)
	if err != nil {
		if k.malformed[name] != r.Version {
			k.malformed[name] = r.Version
			k.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "software_row_malformed", "group": name}).Warn("cannot read the row of software versions; streams may have begun at any version")
		}
		decoded = unknownRow.clone()
	}
	return &decoded
}

// logRow logs a row that has changed. k.mu is held.
func (k *Keeper) logRow(name string, g *group, before groupStage, now time.Time) {
	if after := g.stage(now); after.newest != before.newest || after.tables != before.tables {
		k.cfg.Log.WithFields(logrus.Fields{"event": "software_tables", "group": name, "tables": g.describe(), "version": platform.CounterOf(g.version)}).
			Info("tables of software versions changed")
	}
}

// readDue reports whether this VM is to read the rows for itself.
func (k *Keeper) readDue(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.reading != nil || k.listedAt.IsZero() || now.Sub(k.listedAt) < startRead {
		return false
	}
	interval := time.Duration(unknownAge)
	for name, g := range k.groups {
		if _, relevant := k.cfg.Life(name); !relevant {
			continue
		}
		switch {
		case g.changing() || g.ahead:
			interval = min(interval, k.cfg.ReadInterval)
		case g.row != nil, g.age(now) >= k.cfg.Timing.Bound && clock.Elapsed(g.listed, now) < k.cfg.Timing.Bound:
			interval = min(interval, steadyReadInterval)
		}
	}
	if !k.hasRead() {
		interval = k.cfg.ReadInterval
	}
	return now.Sub(k.readSent) >= interval && now.Sub(k.readTried) >= min(interval, k.cfg.ReadInterval)
}

// refresh reads the rows, or waits for the read that is under way.
func (k *Keeper) refresh(ctx context.Context) {
	k.mu.Lock()
	if under := k.reading; under != nil {
		k.mu.Unlock()
		select {
		case <-under:
		case <-ctx.Done():
		}
		return
	}
	done := make(chan struct{})
	k.reading, k.readTried = done, time.Now()
	k.mu.Unlock()
	// A read goes on if the request that waits for it ends.
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.cfg.ReadTimeout)
	defer cancel()
	sent := clock.Now()
	rows, err := k.cfg.Rows.List(limited, rowPrefix)
	if err == nil {
		k.applyRows(rows, sent, k.cfg.Rows.Generation())
	} else {
		k.cfg.Log.WithError(err).WithField("event", "software_not_read").Info("could not read the rows of software versions")
	}
	k.mu.Lock()
	k.reading = nil
	k.mu.Unlock()
	close(done)
}

// writeDue writes the rows that are due, one for each group.
func (k *Keeper) writeDue(ctx context.Context) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.writing {
		return
	}
	var names []string
	for name := range k.groups {
		if k.isDue(name, now) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	k.writing = true
	go func() {
		for _, name := range names {
			k.write(ctx, name)
		}
		k.mu.Lock()
		k.writing = false
		k.mu.Unlock()
	}()
}

// isDue reports whether this VM is to write the row of a group now. k.mu is held.
func (k *Keeper) isDue(name string, now time.Time) bool {
	g := k.groups[name]
	life, due := k.cfg.Life(name)
	if due {
		_, due = g.plan(life, uuid.NewString, now)
	}
	if !due || now.Before(k.heldUntil) && !g.ahead {
		delete(k.due, name)
		return false
	}
	at, waiting := k.due[name]
	if !waiting {
		at = now.Add(otherWriterDelay + rand.N(otherWriterDelay))
		if g.ahead {
			at = now.Add(rand.N(lostRowDelay))
		}
		k.due[name] = at
	}
	return k.cfg.WritesFirst() || !now.Before(at)
}

// write writes the row of a group, or deletes it.
func (k *Keeper) write(ctx context.Context, name string) {
	k.mu.Lock()
	g := k.groups[name]
	life, _ := k.cfg.Life(name)
	next, due := g.plan(life, uuid.NewString, time.Now())
	key, version := rowPrefix+name, g.version
	k.mu.Unlock()
	if !due {
		return
	}
	entry := platform.Write{Key: key, Delete: next == nil}
	if next != nil {
		value, err := json.Marshal(next)
		if err != nil {
			k.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "software_not_written", "group": name}).Error("cannot encode the row of software versions")
			return
		}
		entry.Value = value
	}
	limited, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	written, err := k.cfg.Rows.Commit(limited, platform.Txn{
		Attempt: uuid.NewString(), Conditions: []platform.Condition{{Key: key, Version: version}}, Writes: []platform.Write{entry},
	})
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		k.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "software_not_written", "group": name}).Warn("could not write the row of software versions")
		return
	}
	k.cfg.Log.WithFields(logrus.Fields{"event": "software_written", "group": name, "version": platform.CounterOf(written), "conflict": err != nil}).
		Info("row of software versions written, or changed by another VM meanwhile")
	// What counts is what the table holds now.
	k.refresh(ctx)
	if next == nil && !k.hasRows() {
		k.dropJournals(ctx)
	}
}

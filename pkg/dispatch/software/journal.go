package software

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/platform"
)

const (
	// journalPrefix is followed by the ID of a VM. The row holds the VM's last streams whose version does not follow from the tables, for
	// the case that all VMs are lost.
	journalPrefix = "software-streams/"
	// journalInterval is the least time between two writes of a VM's journal. Streams that began later are lost with all VMs.
	journalInterval = 400 * time.Millisecond
	// journalReadInterval is the least time between two reads of all journals.
	journalReadInterval = time.Second
	// maxJournal bounds the streams of a journal, maxDeletions the rows that one transaction deletes.
	maxJournal   = 512
	maxDeletions = 50
)

// journalRow is the value of a journal: the keys of streams by group and version.
type journalRow map[string]map[string][]string

// journal is a VM's own journal. It is not safe for concurrent use.
type journal struct {
	// keys are the streams in it, oldest first.
	keys []Key
	// dirty says that streams have been added, or all are over, since the last write.
	dirty bool
	// loaded says that the journals of all VMs, this one's of earlier processes among them, have been read.
	loaded                 bool
	writtenAt, readTriedAt time.Time
	// reading is closed when the read under way has ended; nil without one.
	reading chan struct{}
}

// add adds a stream.
func (j *journal) add(key Key) {
	j.keys, j.dirty = append(j.keys, key), true
	j.keys = j.keys[max(0, len(j.keys)-maxJournal):]
}

// encodeJournal returns the row of a journal, and false if it is empty. Streams that are over are removed. k.mu is held.
func (k *Keeper) encodeJournal(now time.Time) (journalRow, bool) {
	row := journalRow{}
	k.journal.keys = slices.DeleteFunc(k.journal.keys, func(key Key) bool { return k.memory.find(key, now) == nil })
	for _, key := range k.journal.keys {
		s := k.memory.find(key, now)
		if row[s.group] == nil {
			row[s.group] = map[string][]string{}
		}
		row[s.group][s.version] = append(row[s.group][s.version], strconv.FormatUint(uint64(key), 16))
	}
	return row, len(k.journal.keys) > 0
}

// writeJournal writes the journal of this VM if streams have been added, and deletes it once it is empty.
func (k *Keeper) writeJournal(ctx context.Context) {
	now := time.Now()
	k.mu.Lock()
	j := &k.journal
	if !j.dirty && len(j.keys) > 0 && k.memory.find(j.keys[len(j.keys)-1], now) == nil {
		// The last stream is over: the row is to be deleted.
		j.dirty = true
	}
	due := j.dirty && now.Sub(j.writtenAt) >= journalInterval && !k.writingJournal
	if due {
		j.writtenAt, k.writingJournal = now, true
	}
	k.mu.Unlock()
	if due {
		go k.flushJournal(ctx)
	}
}

// flushJournal writes the journal, after it has read what an earlier process of this VM left in it.
func (k *Keeper) flushJournal(ctx context.Context) {
	defer func() {
		k.mu.Lock()
		k.writingJournal = false
		k.mu.Unlock()
	}()
	if !k.loadJournals(ctx, false) {
		return
	}
	k.mu.Lock()
	row, some := k.encodeJournal(time.Now())
	k.journal.dirty = false
	k.mu.Unlock()
	entry := platform.Write{Key: journalPrefix + k.cfg.Self, Delete: !some}
	var err error
	if some {
		entry.Value, err = json.Marshal(row)
	}
	if err == nil {
		limited, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		_, err = k.cfg.Rows.Commit(limited, platform.Txn{Attempt: uuid.NewString(), Writes: []platform.Write{entry}})
	}
	if err != nil {
		k.cfg.Log.WithError(err).WithField("event", "streams_not_written").Info("could not write the journal of streams")
		k.mu.Lock()
		k.journal.dirty = true
		k.mu.Unlock()
	}
}

// loadJournals reads the journals of all VMs, again only if that is asked for and some time ago. It reports whether they have been read.
func (k *Keeper) loadJournals(ctx context.Context, again bool) bool {
	k.mu.Lock()
	j := &k.journal
	for j.reading != nil {
		under := j.reading
		k.mu.Unlock()
		<-under
		k.mu.Lock()
	}
	loaded, recent := j.loaded, time.Since(j.readTriedAt) < journalReadInterval
	if loaded && !again || recent {
		k.mu.Unlock()
		return loaded
	}
	done := make(chan struct{})
	j.reading, j.readTriedAt = done, time.Now()
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		j.reading = nil
		k.mu.Unlock()
		close(done)
	}()
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.cfg.ReadTimeout)
	defer cancel()
	rows, err := k.cfg.Rows.List(limited, journalPrefix)
	if err != nil {
		k.cfg.Log.WithError(err).WithField("event", "streams_not_read").Info("could not read the journals of streams")
		return false
	}
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range rows {
		vm := strings.TrimPrefix(r.Key, journalPrefix)
		var decoded journalRow
		if err := json.Unmarshal(r.Value, &decoded); err != nil {
			k.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "streams_malformed", "vm": vm}).Warn("cannot read a journal of streams")
			continue
		}
		k.applyJournal(vm, decoded, now)
	}
	k.journal.loaded = true
	return true
}

// applyJournal remembers the streams of a VM's journal. k.mu is held.
func (k *Keeper) applyJournal(vm string, row journalRow, now time.Time) {
	for group, versions := range row {
		life, ok := k.cfg.Life(group)
		for _, version := range slices.Sorted(maps.Keys(versions)) {
			for _, text := range versions[version] {
				key, err := strconv.ParseUint(text, 16, 64)
				if err != nil || !ok {
					continue
				}
				k.memory.add(Key(key), stream{group: group, version: version, until: now.Add(life), from: SourceJournal, sent: true}, now)
				if vm == k.cfg.Self && !k.journal.loaded {
					k.journal.keys = append(k.journal.keys, Key(key))
				}
			}
		}
	}
}

// recallFromJournal returns what the journals hold of a stream; nil if nothing.
func (k *Keeper) recallFromJournal(ctx context.Context, group, id string) *Decision {
	if !k.loadJournals(ctx, true) {
		return nil
	}
	d, _ := k.recall(group, id)
	return d
}

// dropJournals deletes the journals of all VMs, also of those that have left for good: no group has several versions any more, and the
// streams in them are over.
func (k *Keeper) dropJournals(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	rows, err := k.cfg.Rows.List(limited, journalPrefix)
	for chunk := range slices.Chunk(rows, maxDeletions) {
		txn := platform.Txn{Attempt: uuid.NewString()}
		for _, r := range chunk {
			txn.Writes = append(txn.Writes, platform.Write{Key: r.Key, Delete: true})
		}
		if err == nil {
			_, err = k.cfg.Rows.Commit(limited, txn)
		}
	}
	if err != nil {
		k.cfg.Log.WithError(err).WithField("event", "streams_not_deleted").Info("could not delete the journals of streams; they stay until the next mix of versions is over")
	}
}

// hasRows reports whether a group has several versions, or had lately.
func (k *Keeper) hasRows() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, g := range k.groups {
		if g.row != nil {
			return true
		}
	}
	return false
}

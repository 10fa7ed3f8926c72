// Package relay distributes what one VM reads from the platform's store to all other VMs, so that the number of
// store calls does not grow with the fleet.
//
// A steward is a VM that holds leases and reads the store on behalf of the VMs that poll it. Every VM polls the
// best steward that it knows for updates, switches to the next one if the steward does not respond or its updates
// are too old, and reads the store itself if no steward can serve it.
package relay

import (
	"bytes"
	"sync"
)

// Topic is a category of entries.
type Topic string

// Topics.
const (
	// Operator holds the operator's rows, unchanged.
	Operator Topic = "operator"
	// Kept holds the keys of the entries of Operator that are missing in the store and kept for a while, because the store
	// has returned from an older copy. VMs of earlier builds do not know the topic.
	Kept Topic = "kept"
	// Endpoints holds the endpoints on the platform's list.
	Endpoints Topic = "endpoints"
	// Positions holds, by topic, the position in the platform's table at which the entries of that topic were read.
	Positions Topic = "positions"
	// Leases holds the holders of leases.
	Leases Topic = "leases"
	// Stewards holds the stewards: the VMs that hold leases and read the store.
	Stewards Topic = "stewards"
	// VMs holds all VMs that poll for updates or read the store.
	VMs Topic = "vms"
)

// Entry is one update: a key of a topic with its newest value.
type Entry struct {
	Topic Topic
	Key   string
	Value []byte
	// Removed says that the entry has been removed.
	Removed bool
}

type entryKey struct {
	topic Topic
	key   string
}

type entryState struct {
	value    []byte
	revision uint64
	removed  bool
}

// UpdateLog is the update log of a VM: the newest entry of each key in all topics, with the revision of its last change.
// The log is safe for concurrent use.
type UpdateLog struct {
	id string

	mu sync.Mutex
	// The fields below are guarded by mu.

	revision uint64
	entries  map[entryKey]entryState
	changed  chan struct{} // closed and replaced at each change
}

// NewUpdateLog returns an empty update log. id must differ from the ids of the update logs of other processes.
func NewUpdateLog(id string) *UpdateLog {
	return &UpdateLog{id: id, entries: map[entryKey]entryState{}, changed: make(chan struct{})}
}

// Put sets an entry. An equal value changes nothing.
func (l *UpdateLog) Put(topic Topic, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.put(topic, key, value)
}

// put sets an entry. l.mu is held.
func (l *UpdateLog) put(topic Topic, key string, value []byte) {
	k := entryKey{topic, key}
	if old, ok := l.entries[k]; ok && !old.removed && bytes.Equal(old.value, value) {
		return
	}
	l.set(k, entryState{value: value})
}

// Remove marks an entry as removed.
func (l *UpdateLog) Remove(topic Topic, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(topic, key)
}

// remove marks an entry as removed. l.mu is held.
func (l *UpdateLog) remove(topic Topic, key string) {
	k := entryKey{topic, key}
	if old, ok := l.entries[k]; ok && !old.removed {
		l.set(k, entryState{removed: true})
	}
}

// Replace sets the entries of a topic to values and removes all others of the topic, and sets the entries with. A call of Since
// returns all of these changes or none: a VM must not get the configuration without the evacuations that are in force.
func (l *UpdateLog) Replace(topic Topic, values map[string][]byte, with ...Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range with {
		l.put(e.Topic, e.Key, e.Value)
	}
	for key, value := range values {
		l.put(topic, key, value)
	}
	for _, key := range l.keys(topic) {
		if _, ok := values[key]; !ok {
			l.remove(topic, key)
		}
	}
}

// keys returns the keys of the entries of a topic that are not removed. l.mu is held.
func (l *UpdateLog) keys(topic Topic) []string {
	var keys []string
	for k, e := range l.entries {
		if k.topic == topic && !e.removed {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// set stores an entry at the next revision. l.mu is held.
func (l *UpdateLog) set(k entryKey, e entryState) {
	l.revision++
	e.revision = l.revision
	l.entries[k] = e
	close(l.changed)
	l.changed = make(chan struct{})
}

// Since returns the entries that have changed after a revision of the update log with the given id, and the
// current revision. If the id is that of another update log, Since returns all entries and full is true.
func (l *UpdateLog) Since(id string, after uint64) (entries []Entry, revision uint64, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full = id != l.id || after > l.revision
	for k, e := range l.entries {
		if full && e.removed || !full && e.revision <= after {
			continue
		}
		entries = append(entries, Entry{Topic: k.topic, Key: k.key, Value: e.value, Removed: e.removed})
	}
	return entries, l.revision, full
}

// changedSince returns a channel that is closed once an entry has changed after the given revision.
func (l *UpdateLog) changedSince(after uint64) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.revision > after {
		done := make(chan struct{})
		close(done)
		return done
	}
	return l.changed
}

package software

import (
	"time"
)

const (
	// maxStreams bounds the streams that a VM remembers. One that is forgotten is refused to callers that take it up, never guessed.
	maxStreams = 65536
	// maxVersionBytes bounds the name of a version that another VM sends.
	maxVersionBytes = 256
)

// stream is a stream that has begun.
type stream struct {
	group, version string
	until          time.Time
	// from is the VM that sent the record, empty for a stream of this VM.
	from string
	// conflict says that one ID was used for streams of several versions.
	conflict bool
	// sent says that the homes of the stream have its record.
	sent bool
}

// memory remembers streams by key. It is not safe for concurrent use.
type memory struct {
	streams map[Key]*stream
	// order holds the keys in the order in which they were added.
	order []Key
}

func newMemory() *memory { return &memory{streams: map[Key]*stream{}} }

// add remembers a stream. What was known of it goes on to count.
func (m *memory) add(key Key, s stream, now time.Time) {
	if known := m.streams[key]; known != nil && now.Before(known.until) {
		known.conflict = known.conflict || known.version != s.version
		if s.until.After(known.until) {
			known.until = s.until
		}
		return
	}
	if m.streams[key] == nil {
		m.order = append(m.order, key)
	}
	m.streams[key] = &s
	for len(m.streams) > maxStreams {
		delete(m.streams, m.order[0])
		m.order = m.order[1:]
	}
}

// find returns the stream, nil if it is not known.
func (m *memory) find(key Key, now time.Time) *stream {
	if s := m.streams[key]; s != nil && now.Before(s.until) {
		return s
	}
	return nil
}

// sweep forgets the streams whose time is over.
func (m *memory) sweep(now time.Time) {
	kept := m.order[:0]
	for _, key := range m.order {
		if now.Before(m.streams[key].until) {
			kept = append(kept, key)
			continue
		}
		delete(m.streams, key)
	}
	m.order = kept
}

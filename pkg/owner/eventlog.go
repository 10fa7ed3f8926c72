package owner

import (
	"context"
	"sync"

	"github.com/mallowlink/mallowlink/pkg/work"
)

const (
	// maxUnreadBytes bounds the data that an attempt buffers for its entry VM. At this size the owner stops
	// reading the endpoint's response until the entry VM has fetched some events.
	maxUnreadBytes = 1 << 20
	// maxReplyBytes bounds the data that one call of Next returns, except that a single larger event is returned
	// alone.
	maxReplyBytes = 256 << 10
)

// eventLog buffers the events of one attempt until the entry VM has acknowledged them by polling for later
// ones. It is safe for concurrent use.
type eventLog struct {
	// mu guards the fields below.
	mu sync.Mutex
	// events are consecutive; events[0] has number first.
	events []work.Event
	first  uint64
	bytes  int
	ended  bool
	// delivered is the number of the last event that was returned to the entry VM.
	delivered uint64
	// changed is closed and replaced whenever events, bytes or ended change.
	changed chan struct{}
}

func newEventLog() *eventLog {
	return &eventLog{first: 1, changed: make(chan struct{})}
}

// signal wakes every waiter. The caller holds l.mu.
func (l *eventLog) signal() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// append adds the event under the next number. It waits while maxUnreadBytes or more are buffered, except
// for the event of a failure. It reports false if ctx ends first or if the log has already ended.
func (l *eventLog) append(ctx context.Context, event work.Event) bool {
	for {
		l.mu.Lock()
		if l.ended {
			l.mu.Unlock()
			return false
		}
		if l.bytes < maxUnreadBytes || event.Kind == work.Failed {
			l.add(event)
			l.mu.Unlock()
			return true
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// add appends the event without waiting. The caller holds l.mu.
func (l *eventLog) add(event work.Event) {
	event.Seq = l.first + uint64(len(l.events))
	l.events = append(l.events, event)
	l.bytes += len(event.Data)
	l.ended = event.Kind == work.End || event.Kind == work.Failed
	l.signal()
}

// next discards the events numbered below from and returns the following ones, waiting until there are
// some. It returns none if ctx ends first, or if the log has ended and all of it was discarded.
func (l *eventLog) next(ctx context.Context, from uint64) []work.Event {
	for {
		l.mu.Lock()
		l.discardBelow(from)
		events := l.batch()
		changed := l.changed
		done := l.ended
		l.mu.Unlock()
		if len(events) > 0 || done {
			return events
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// discardBelow discards the events numbered below from. The caller holds l.mu.
func (l *eventLog) discardBelow(from uint64) {
	dropped := 0
	for dropped < len(l.events) && l.first+uint64(dropped) < from {
		l.bytes -= len(l.events[dropped].Data)
		l.events[dropped] = work.Event{}
		dropped++
	}
	if dropped == 0 {
		return
	}
	l.events = l.events[dropped:]
	l.first += uint64(dropped)
	l.signal()
}

// batch copies the oldest events up to maxReplyBytes, at least one. The caller holds l.mu.
func (l *eventLog) batch() []work.Event {
	size := 0
	n := 0
	for n < len(l.events) {
		size += len(l.events[n].Data)
		if n > 0 && size > maxReplyBytes {
			break
		}
		n++
	}
	l.delivered = max(l.delivered, l.first+uint64(n)-1)
	return append([]work.Event(nil), l.events[:n]...)
}

// clear discards every event. It is called once the entry VM can no longer be waiting for them.
func (l *eventLog) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.discardBelow(l.first + uint64(len(l.events)))
}

// markDelivered marks every event as delivered, because the entry VM has received the outcome by another call
// and waits for no event. The events are kept in case it polls nevertheless.
func (l *eventLog) markDelivered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delivered = l.first + uint64(len(l.events)) - 1
}

// unreadBytes returns the bytes of data buffered for the entry VM.
func (l *eventLog) unreadBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// undelivered reports whether some events have not been returned to the entry VM yet.
func (l *eventLog) undelivered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delivered < l.first+uint64(len(l.events))-1
}

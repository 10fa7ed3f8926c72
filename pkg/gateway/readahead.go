package gateway

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/memory"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

const (
	// readAheadLimit bounds what is read ahead of one response, in bytes. It holds a stream of some thousand tokens, so
	// that an endpoint can end nearly all responses without waiting for the caller.
	readAheadLimit = 256 << 10
	// readAheadStart is the size in bytes with which the buffer of a response starts. It is doubled up to readAheadLimit.
	readAheadStart = 4 << 10
)

// readAhead reads a response from its endpoint while a write to the caller is blocked. One goroutine of its own reads from the
// endpoint; the goroutine that serves the request takes the bytes with Read.
type readAhead struct {
	source *upstream.Response
	budget *memory.Budget
	// progress is called when bytes have arrived, complete once if the response has been read to its end before stop is
	// called and its end is not in doubt. No other goroutine uses source then.
	progress, complete func()
	// events says that the response is a stream, which is complete only if it ends with an event.
	events bool

	mu      sync.Mutex
	changed *sync.Cond
	// buffer is reserved in budget. buffer[start:end] has been read from the endpoint and not been taken yet. Only the
	// reading goroutine moves or replaces it.
	buffer     []byte
	start, end int
	// last holds the last bytes that have arrived.
	last []byte
	// err is why nothing follows; nil while the response is being read.
	err     error
	stopped bool
	// completed says that complete has been called.
	completed bool
	// done is closed when the reading goroutine has ended.
	done chan struct{}
}

// startReadAhead starts reading ahead. It returns nil if the budget has no memory left.
func startReadAhead(a *readAhead) *readAhead {
	if !a.budget.Reserve(readAheadStart) {
		return nil
	}
	a.buffer, a.done = make([]byte, readAheadStart), make(chan struct{})
	a.changed = sync.NewCond(&a.mu)
	go a.run()
	return a
}

// run reads until the response ends, its connection is closed, or stop is called.
func (a *readAhead) run() {
	defer close(a.done)
	for lastProgress := (time.Time{}); ; {
		space := a.awaitSpace()
		if space == nil {
			return
		}
		n, err := a.source.Read(space)
		if now := time.Now(); n > 0 && a.progress != nil && now.Sub(lastProgress) >= progressInterval {
			lastProgress = now
			a.progress()
		}
		if a.add(n, err) {
			a.complete()
		}
		if err != nil {
			return
		}
	}
}

// awaitSpace returns the free part of the buffer. It waits while there is none, which makes the endpoint wait. It returns nil
// after stop.
func (a *readAhead) awaitSpace() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.stopped {
		if a.start > 0 && (a.start == a.end || a.end == len(a.buffer)) {
			copy(a.buffer, a.buffer[a.start:a.end])
			a.start, a.end = 0, a.end-a.start
		}
		if a.end < len(a.buffer) || a.grow() {
			return a.buffer[a.end:]
		}
		a.changed.Wait()
	}
	return nil
}

// grow doubles the buffer within the limit and the budget. a.mu is held.
func (a *readAhead) grow() bool {
	if len(a.buffer) >= readAheadLimit || !a.budget.Reserve(int64(len(a.buffer))) {
		return false
	}
	grown := make([]byte, 2*len(a.buffer))
	copy(grown, a.buffer[:a.end])
	a.buffer = grown
	return true
}

// add records that n bytes have arrived in the buffer, and err if nothing follows. It reports whether the response is
// complete and may be ended at its endpoint.
func (a *readAhead) add(n int, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = append(a.last, a.buffer[a.end+max(0, n-maxEventEnd):a.end+n]...)
	a.last = append(a.last[:0], a.last[max(0, len(a.last)-maxEventEnd):]...)
	a.end += n
	a.err = err
	a.changed.Broadcast()
	a.completed = err == io.EOF && !a.stopped && (!a.events || endsEvent(a.last))
	return a.completed
}

// Read takes bytes that have arrived, and waits for some if there are none. It returns the error of the response only once
// all bytes before it have been taken.
func (a *readAhead) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.start == a.end {
		if a.err != nil {
			return 0, a.err
		}
		a.changed.Wait()
	}
	n := copy(p, a.buffer[a.start:a.end])
	a.start += n
	a.changed.Broadcast()
	return n, nil
}

// retry tries again to get memory that was not available.
func (a *readAhead) retry() { a.changed.Broadcast() }

// stop ends the reading, waits for its end and releases the memory. It reports whether complete has been called.
func (a *readAhead) stop() bool {
	a.mu.Lock()
	a.stopped = true
	a.changed.Broadcast()
	if a.err == nil {
		a.source.Interrupt()
	}
	a.mu.Unlock()
	<-a.done
	a.budget.Release(int64(len(a.buffer)))
	return a.completed
}

// maxEventEnd is the length of the longest of eventEnds, in bytes.
const maxEventEnd = 3

// endsEvent reports whether the end of a stream is the end of an event.
func endsEvent(last []byte) bool {
	for _, text := range eventEnds {
		if bytes.HasSuffix(last, text) {
			return true
		}
	}
	return false
}

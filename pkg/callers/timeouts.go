package callers

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Patience says how long a VM waits for callers. It may change while connections are open.
type Patience struct {
	// Header bounds the time in which a request's header arrives, Idle the time without a request.
	Header, Idle time.Duration
}

// Watch closes the connections of one server whose callers keep it waiting for too long. The server's own
// timeouts cannot change while it runs.
type Watch struct {
	mu    sync.Mutex
	conns map[net.Conn]waiting // guarded by mu
}

// waiting is a connection without a whole header of a request.
type waiting struct {
	since time.Time
	// fresh says that no request has come on the connection yet.
	fresh bool
}

// NewWatch watches the server's connections. It is called before the server serves.
func NewWatch(s *http.Server) *Watch {
	w := &Watch{conns: map[net.Conn]waiting{}}
	s.ConnState = w.note
	return w
}

func (w *Watch) note(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		w.conns[c] = waiting{since: time.Now(), fresh: state == http.StateNew}
	default:
		delete(w.conns, c)
	}
}

// Sweep closes the connections that have been waited for too long. Where a request has come before, the
// header of the next may have begun at the end of the idle time.
func (w *Watch) Sweep(p Patience, now time.Time) {
	w.mu.Lock()
	var late []net.Conn
	for c, wait := range w.conns {
		limit := p.Header
		if !wait.fresh {
			limit += p.Idle
		}
		if now.Sub(wait.since) > limit {
			late = append(late, c)
		}
	}
	w.mu.Unlock()
	for _, c := range late {
		// The server notes the end of a connection itself.
		_ = c.Close()
	}
}

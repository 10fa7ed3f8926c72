package connlimit

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Timeouts holds the timeouts of callers' connections. They may change while connections are open.
type Timeouts struct {
	// Header limits the time in which the whole header of a request must arrive, Idle the time between two
	// requests on a connection.
	Header, Idle time.Duration
}

// TimeoutEnforcer enforces header and idle timeouts on the connections of one HTTP server, because the server's
// own timeouts cannot change while it runs.
type TimeoutEnforcer struct {
	mu sync.Mutex
	// conns holds the connections that no request is being served on. It is guarded by mu.
	conns map[net.Conn]waitingConn
}

// waitingConn is the state of a connection on which no request is being served: the whole header of its next
// request has not arrived yet.
type waitingConn struct {
	// since is when the connection was opened or became idle.
	since time.Time
	// isNew reports whether the connection has not carried a request yet.
	isNew bool
}

// NewTimeoutEnforcer tracks the connections of the server from its start on. It sets the server's ConnState
// hook and must be called before the server starts.
func NewTimeoutEnforcer(s *http.Server) *TimeoutEnforcer {
	e := &TimeoutEnforcer{conns: map[net.Conn]waitingConn{}}
	s.ConnState = e.recordState
	return e
}

// recordState adds the connection to the waiting ones or removes it from them. It is the server's ConnState hook.
func (e *TimeoutEnforcer) recordState(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		e.conns[c] = waitingConn{since: time.Now(), isNew: state == http.StateNew}
	default:
		delete(e.conns, c)
	}
}

// CloseExpired closes the connections that have exceeded their timeout. A new connection is closed after
// p.Header; one that has carried a request after p.Idle and p.Header together, because the header of its
// next request may have begun to arrive at the end of the idle time.
func (e *TimeoutEnforcer) CloseExpired(p Timeouts, now time.Time) {
	e.mu.Lock()
	var expired []net.Conn
	for c, wait := range e.conns {
		limit := p.Header
		if !wait.isNew {
			limit += p.Idle
		}
		if now.Sub(wait.since) > limit {
			expired = append(expired, c)
		}
	}
	e.mu.Unlock()
	for _, c := range expired {
		// The server then calls recordState, which removes the connection.
		_ = c.Close()
	}
}

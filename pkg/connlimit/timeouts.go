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

// headSlack is added to Timeouts.Header for a head of which a part has arrived, so that one that takes just that long is not cut off
// when this VM reads its end late.
const headSlack = time.Second

// TimeoutEnforcer enforces header, idle and write timeouts on the connections of one HTTP server, because the server's
// own timeouts cannot change while it runs.
type TimeoutEnforcer struct {
	refusals *Refusals

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
// hook and must be called before the server starts. refusals, which may be nil, records the connections that it closes, other
// than idle ones.
func NewTimeoutEnforcer(s *http.Server, refusals *Refusals) *TimeoutEnforcer {
	e := &TimeoutEnforcer{refusals: refusals, conns: map[net.Conn]waitingConn{}}
	s.ConnState = e.recordState
	return e
}

// recordState adds the connection to the waiting ones or removes it. It is the server's ConnState hook.
func (e *TimeoutEnforcer) recordState(c net.Conn, state http.ConnState) {
	if head, ok := c.(*headConn); ok {
		head.setState(state)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, c)
	switch state {
	case http.StateNew, http.StateIdle:
		e.conns[c] = waitingConn{since: time.Now(), isNew: state == http.StateNew}
	}
}

// CloseExpired closes the connections that have exceeded their timeout. A new connection is closed after
// p.Header; one that has carried a request after p.Idle and p.Header together, because the header of its
// next request may have begun to arrive at the end of the idle time. Where the first byte of a header is known to have arrived,
// p.Header counts from then on.
func (e *TimeoutEnforcer) CloseExpired(p Timeouts, now time.Time) {
	expired := map[net.Conn]string{}
	e.mu.Lock()
	for c, wait := range e.conns {
		if reason, late := wait.expired(c, p, now); late {
			expired[c] = reason
		}
	}
	e.mu.Unlock()
	for c, reason := range expired {
		if reason != "" {
			e.refusals.Add(reason, c.RemoteAddr())
		}
		// The server then calls recordState, which removes the connection.
		_ = c.Close()
	}
}

// expired reports whether the connection has exceeded its timeout, and as which reason that counts; idle ones count as none.
func (w waitingConn) expired(c net.Conn, p Timeouts, now time.Time) (string, bool) {
	if head, ok := c.(*headConn); ok {
		if begun, ok := head.headSince(); ok {
			return ReasonHeadTimeout, now.Sub(begun) > p.Header+headSlack
		}
	}
	if w.isNew {
		return ReasonHeadTimeout, now.Sub(w.since) > p.Header
	}
	return "", now.Sub(w.since) > p.Header+p.Idle
}

package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/memory"
)

const (
	// MaxConnections is the maximum number of open connections, unless Limits sets another; further ones are closed at once.
	MaxConnections = 2048
	// silentTime is the time after which a connection that has not carried a call may be closed to make room for another one. A VM
	// opens a connection only to make a call.
	silentTime = 2 * time.Second
	// exceededLogInterval is the least time between two log lines on connections that exceed a bound.
	exceededLogInterval = time.Second
	// handshakeTimeout bounds the TLS handshake of a new connection.
	handshakeTimeout = 5 * time.Second
	// minAcceptDelay is the delay after a connection could not be accepted. It doubles with each further failure in a row,
	// up to maxAcceptDelay.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// Server serves RPC calls from other VMs. With TLS, only peers that complete the handshake can call a method.
type Server struct {
	rpc     *rpc.Server
	tls     TLSSource
	traffic Traffic
	log     logrus.FieldLogger
	limits  Limits
	slots   callSlots

	mu     sync.Mutex
	conns  map[net.Conn]*openConn // guarded by mu
	closed bool                   // guarded by mu
	// exceeded is the number of connections that have exceeded a bound since exceededAt, when that was last logged. Both are
	// guarded by mu.
	exceeded   int
	exceededAt time.Time
	wg         sync.WaitGroup // one per connection
}

// Limits bounds what the connections of peers can hold. The zero value of a field sets no bound, or the default.
type Limits struct {
	// Connections is the maximum number of open connections; 0 for MaxConnections.
	Connections int
	// MessageBytes is the maximum size of one message. If it is 0, neither messages nor calls are bounded.
	MessageBytes int64
	// Memory bounds the memory for messages that are larger than a few kilobytes.
	Memory *memory.Budget
	// Calls is the maximum number of running calls of all connections.
	Calls int
}

// openConn is what the server keeps of an open connection.
type openConn struct {
	opened time.Time
	// called reports whether the connection has carried a call.
	called atomic.Bool
}

// SetLimits sets the bounds. It must be called before Serve.
func (s *Server) SetLimits(l Limits) {
	s.limits = l
	s.slots.max = int64(l.Calls)
}

// NewServer returns a Server without services; Register adds them.
func NewServer(source TLSSource, traffic Traffic, log logrus.FieldLogger) *Server {
	return &Server{
		rpc:     rpc.NewServer(),
		tls:     source,
		traffic: traffic,
		log:     log,
		conns:   map[net.Conn]*openConn{},
	}
}

// Register makes the exported methods of receiver callable under the service name.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return errors.Wrapf(err, "register RPC service %s", name)
	}
	return nil
}

// Serve accepts and serves connections until the listener is closed, and then returns nil. After any other error, which may
// be a connection that ended before it was accepted or a shortage of descriptors, it tries again.
func (s *Server) Serve(listener net.Listener) error {
	delay := minAcceptDelay
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.WithError(err).WithFields(logrus.Fields{"event": "peer_accept_failed", "retry_after": delay}).Error("cannot accept a connection from a peer")
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptDelay)
			continue
		}
		delay = minAcceptDelay
		c := s.admit(conn)
		if c == nil {
			s.logExceeded(conn, errTooManyConnections)
			_ = conn.Close()
			continue
		}
		go s.serve(conn, c)
	}
}

// admit registers the connection. It returns nil if the server is closed or has as many open as it may, and none of them can be
// closed instead.
func (s *Server) admit(conn net.Conn) *openConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.maxConnections() && !s.closeSilentLocked(time.Now()) {
		return nil
	}
	c := &openConn{opened: time.Now()}
	s.conns[conn] = c
	s.wg.Add(1)
	return c
}

func (s *Server) maxConnections() int {
	if s.limits.Connections > 0 {
		return s.limits.Connections
	}
	return MaxConnections
}

// closeSilentLocked closes a connection that has carried no call for silentTime, and reports whether there was one. s.mu is held.
func (s *Server) closeSilentLocked(now time.Time) bool {
	for conn, c := range s.conns {
		if !c.called.Load() && now.Sub(c.opened) > silentTime {
			_ = conn.Close()
			delete(s.conns, conn)
			return true
		}
	}
	return false
}

func (s *Server) serve(conn net.Conn, c *openConn) {
	defer s.wg.Done()
	defer s.closeConn(conn)
	secured, err := s.handshake(&countingConn{Conn: conn, traffic: s.traffic})
	if err != nil {
		s.log.WithFields(logrus.Fields{
			"event":  "peer_refused",
			"remote": conn.RemoteAddr().String(),
			"error":  err.Error(),
		}).Warn("TLS handshake with peer failed; connection closed")
		return
	}
	if s.limits.MessageBytes <= 0 {
		s.rpc.ServeConn(secured)
		return
	}
	codec := newServerCodec(secured, s.limits, &s.slots, c)
	s.rpc.ServeCodec(codec)
	codec.messages.release()
	if codec.messages.exceeded != nil {
		s.logExceeded(conn, codec.messages.exceeded)
	}
}

// logExceeded logs that a peer has exceeded a bound, at most once a second.
func (s *Server) logExceeded(conn net.Conn, reason error) {
	s.mu.Lock()
	s.exceeded++
	count, due := s.exceeded, !s.closed && time.Since(s.exceededAt) >= exceededLogInterval
	if due {
		s.exceeded, s.exceededAt = 0, time.Now()
	}
	s.mu.Unlock()
	s.traffic.Exceeded.Inc(1)
	if due {
		s.log.WithFields(logrus.Fields{
			"event": "peer_over_limit", "remote": conn.RemoteAddr().String(), "error": reason.Error(), "connections": count,
		}).Warn("connections of peers exceeded a bound and were closed")
	}
}

// handshake returns the connection secured by TLS, or conn itself if TLS is not configured.
func (s *Server) handshake(conn net.Conn) (net.Conn, error) {
	config := s.tls()
	if config == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	secured := tls.Server(conn, config)
	return secured, secured.HandshakeContext(ctx)
}

// closeConn closes the connection and removes it from the open ones.
func (s *Server) closeConn(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close closes every connection and waits for the calls on them to return. Later connections are rejected.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
)

const (
	// MaxConnections is the maximum number of open connections; further ones are closed at once.
	MaxConnections = 2048
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

	mu     sync.Mutex
	conns  map[net.Conn]struct{} // guarded by mu
	closed bool                  // guarded by mu
	wg     sync.WaitGroup        // one per connection
}

// NewServer returns a Server without services; Register adds them.
func NewServer(source TLSSource, traffic Traffic, log logrus.FieldLogger) *Server {
	return &Server{
		rpc:     rpc.NewServer(),
		tls:     source,
		traffic: traffic,
		log:     log,
		conns:   map[net.Conn]struct{}{},
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
		if !s.admit(conn) {
			_ = conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

// admit registers the connection. It returns false if the server is closed or has MaxConnections open.
func (s *Server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= MaxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) serve(conn net.Conn) {
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
	s.rpc.ServeConn(secured)
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

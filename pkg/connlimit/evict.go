package connlimit

import (
	"container/list"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// EvictingListener returns a listener that accepts connections from l and, beyond max open connections, closes the one that has been open
// longest. It suits servers whose requests take milliseconds, and that must be reachable while others hold connections to them.
func EvictingListener(l net.Listener, max int) net.Listener {
	return &evictingListener{Listener: l, max: max, open: list.New()}
}

type evictingListener struct {
	net.Listener
	max  int
	mu   sync.Mutex
	open *list.List // of *evictableConn, oldest first; guarded by mu
}

// Accept waits for the next connection.
func (l *evictingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &evictableConn{Conn: conn, listener: l}
	l.mu.Lock()
	c.element = l.open.PushBack(c)
	var oldest net.Conn
	if l.open.Len() > l.max {
		oldest = l.open.Front().Value.(net.Conn)
	}
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
	return c, nil
}

// evictableConn is an open connection of an evictingListener.
type evictableConn struct {
	net.Conn
	listener *evictingListener
	element  *list.Element
}

// Close closes the connection. It may be called more than once.
func (c *evictableConn) Close() error {
	c.listener.mu.Lock()
	c.listener.open.Remove(c.element)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the sending side of the connection.
func (c *evictableConn) CloseWrite() error { return closeWrite(c.Conn) }

// closeWrite ends the sending side of conn.
func closeWrite(conn net.Conn) error {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.Errorf("%T cannot close one direction", conn)
	}
	return half.CloseWrite()
}

// setLinger sets the behavior of conn's Close as net.TCPConn.SetLinger does.
func setLinger(conn net.Conn, sec int) error {
	lingering, ok := conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return errors.Errorf("%T has no linger option", conn)
	}
	return lingering.SetLinger(sec)
}

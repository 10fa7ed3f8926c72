package httpresponse

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// Conn is a client's connection that fails at a response that is malformed. Begin must be called before each request. Reading
// and writing may run at the same time, each in one goroutine.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head headCheck // guarded by mu
}

// NewConn returns a Conn for a new connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Begin expects a request and the head of its response.
func (c *Conn) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headCheck{line: c.head.line[:0]}
}

// ExpectHead expects the head of another response to the same request, of which the bytes in buffered have been read already.
// The error wraps ErrMalformed.
func (c *Conn) ExpectHead(buffered []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headCheck{line: c.head.line[:0]}
	return c.head.add(buffered)
}

// Trace returns a context with which net/http calls Begin on the Conn that it has chosen for a request.
func Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.Begin()
		}
	}})
}

// Read implements net.Conn. Its errors wrap ErrMalformed if the bytes are not the head of a response.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	headErr := c.head.add(p[:n])
	c.mu.Unlock()
	if headErr != nil {
		return 0, headErr
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("%T has no descriptor", c.Conn)
	}
	return raw.SyscallConn()
}

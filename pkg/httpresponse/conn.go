package httpresponse

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// uploadEndLimit is how long a request may still be written after the server has ended its side of the connection, until it is
// clear whether the connection ends in order.
const uploadEndLimit = time.Second

// errUploadCut says that a server has ended its side of the connection and does not read the rest of the request either.
var errUploadCut = errors.Wrap(io.ErrUnexpectedEOF, "connection ended while the request was being written")

// Conn is a client's connection that fails at a response that is malformed or was broken off. Reading and writing may run at the
// same time, each in one goroutine. Begin must be called before each request, and EndRequest once it has been written.
//
// The kernel reports a reset only once, to a read or to a write. If a write gets it, reads return the bytes that had arrived
// before and then io.EOF, as at an orderly end. Conn reports it at that place instead. A write that fails within a request
// is therefore no failure yet: the server may have responded before it has read the request.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// The fields below are guarded by mu.

	head headCheck
	// begun says that a part of the current request has been written.
	begun bool
	// written is closed when the current request has been written; nil before the first one.
	written chan struct{}
	// writing is closed when the write in progress has ended; nil before the first one.
	writing chan struct{}
	// writeErr is the first error of a write.
	writeErr error
}

// NewConn returns a Conn for a new connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Begin expects a request and the head of its response.
func (c *Conn) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endRequest()
	c.begun, c.written = false, make(chan struct{})
	c.head = headCheck{line: c.head.line[:0]}
}

// EndRequest says that the request has been written or given up.
func (c *Conn) EndRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endRequest()
}

// endRequest closes c.written. c.mu is held.
func (c *Conn) endRequest() {
	if c.written == nil {
		return
	}
	select {
	case <-c.written:
	default:
		close(c.written)
	}
}

// ExpectHead expects the head of another response to the same request, of which the bytes in buffered have been read already.
// The error wraps ErrMalformed.
func (c *Conn) ExpectHead(buffered []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headCheck{line: c.head.line[:0]}
	return c.head.add(buffered)
}

// Trace returns a context with which net/http calls Begin and EndRequest on the Conn that it has chosen for a request.
func Trace(ctx context.Context) context.Context {
	var chosen atomic.Pointer[Conn]
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				c.Begin()
				chosen.Store(c)
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if c := chosen.Load(); c != nil {
				c.EndRequest()
			}
		},
	})
}

// Read implements net.Conn. Its errors wrap ErrMalformed if the bytes are not the head of a response. It returns io.EOF only
// if the connection has ended in order.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	headErr := c.head.add(p[:n])
	c.mu.Unlock()
	if headErr != nil {
		return 0, headErr
	}
	if err == io.EOF {
		err = c.endOfInput()
	}
	return n, err
}

// endOfInput returns io.EOF, or why the end of the input is not an orderly one. It waits until the request has been written.
func (c *Conn) endOfInput() error {
	limit := time.NewTimer(uploadEndLimit)
	defer limit.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	// net/http reports the end of a request before it writes the last part.
	if !c.await(c.written, limit) || !c.await(c.writing, limit) {
		return errUploadCut
	}
	if c.writeErr != nil {
		return c.writeErr
	}
	return io.EOF
}

// await waits until a channel is closed, unless it is nil, and reports false if limit is over before. c.mu is held, but not
// while await waits.
func (c *Conn) await(ended chan struct{}, limit *time.Timer) bool {
	if ended == nil {
		return true
	}
	c.mu.Unlock()
	defer c.mu.Lock()
	select {
	case <-ended:
		return true
	case <-limit.C:
		return false
	}
}

// Write implements net.Conn. If the server closes or resets the connection when it has received a part of a request, Write
// drops the rest and returns no error: Read returns it after what the server had sent before.
func (c *Conn) Write(p []byte) (int, error) {
	ended, drop := c.beginWrite()
	if drop {
		return len(p), nil
	}
	defer close(ended)
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = c.begun || n > 0
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	if c.begun && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
		return len(p), nil
	}
	return n, err
}

// beginWrite returns a channel that is to be closed at the end of a write. drop says that the server does not receive the rest
// of the request.
func (c *Conn) beginWrite() (ended chan struct{}, drop bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun && c.writeErr != nil {
		return nil, true
	}
	c.writing = make(chan struct{})
	return c.writing, false
}

// WriteFailed reports whether the server has not received all that was written.
func (c *Conn) WriteFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr != nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("%T has no descriptor", c.Conn)
	}
	return raw.SyscallConn()
}

package connlimit

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/memory"
)

const (
	// FreeHeadBytes is the part of a head that is not counted towards the memory for heads: it fits into the buffer that net/http
	// has for each connection, and ordinary heads are smaller.
	FreeHeadBytes = 4 << 10
	// headMemoryFactor is the memory that a byte of a head beyond FreeHeadBytes is counted as. net/http holds a line twice while
	// it grows, and a field of a few bytes as a map entry with a slice and two strings.
	headMemoryFactor = 4
	// refusalLinger and refusalBytes bound what is read from a connection after a refusal. Without it the system resets the
	// connection, and the caller may not get the refusal.
	refusalLinger = 500 * time.Millisecond
	refusalBytes  = 1 << 20
)

// Refusals of heads. Both say truthfully that the request has not run: its head has not been read to the end.
const (
	refuseTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: 35\r\n\r\n431 Request Header Fields Too Large"
	refuseNoMemory = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 23\r\n\r\n503 Service Unavailable"
)

// errRefused is the error of reads after a refusal. After a net.OpError of a read, net/http closes the connection without an answer of
// its own.
var errRefused error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("head refused")}

// HeadLimiter bounds the heads of requests that are being read or whose requests are being served: the bytes of each, and the memory of all
// together. The server's own limit applies to each connection only, and cannot change while it runs.
type HeadLimiter struct {
	// MaxBytes returns the most bytes that a head may have as sent.
	MaxBytes func() int64
	// Memory bounds the memory for heads beyond FreeHeadBytes each.
	Memory *memory.Budget
	// Refusals records which connections are refused.
	Refusals *Refusals
}

// Listener returns a listener whose connections are bounded. It must be the listener of a server with a TimeoutEnforcer, which
// tells the connections when a head begins and ends.
func (h *HeadLimiter) Listener(l net.Listener) net.Listener { return &headListener{l, h} }

type headListener struct {
	net.Listener
	limiter *HeadLimiter
}

// Accept waits for the next connection.
func (l *headListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &headConn{Conn: conn, limiter: l.limiter}
	c.inHead.Store(true)
	return c, nil
}

// clockBase is the time that times of connections are relative to, so that they are read from the monotonic clock.
var clockBase = time.Now()

// headConn is a connection of a caller whose heads are bounded.
type headConn struct {
	net.Conn
	limiter *HeadLimiter
	// inHead says that the next bytes belong to a head.
	inHead atomic.Bool
	// headBegun is when the first byte of the head arrived, since clockBase; 0 if there is none.
	headBegun atomic.Int64
	// size is the number of bytes of the head that have been read. Only the goroutine that reads uses it.
	size int64

	mu     sync.Mutex
	held   int64 // memory taken for the head, guarded by mu
	closed bool  // guarded by mu
}

// Read reads from the connection. Memory for a head is taken before its bytes are read.
func (c *headConn) Read(p []byte) (int, error) {
	if !c.inHead.Load() || len(p) == 0 {
		return c.Conn.Read(p)
	}
	left := c.limiter.MaxBytes() - c.size
	if left <= 0 {
		return 0, c.refuse(ReasonHeadTooLarge, refuseTooLarge, p)
	}
	part := p[:min(int64(len(p)), left)]
	if !c.hold(headMemoryFactor * max(0, c.size+int64(len(part))-FreeHeadBytes)) {
		return 0, c.refuse(ReasonHeadMemory, refuseNoMemory, p)
	}
	n, err := c.Conn.Read(part)
	if n > 0 && c.size == 0 {
		c.headBegun.Store(max(1, int64(time.Since(clockBase))))
	}
	c.size += int64(n)
	return n, err
}

// hold takes memory until n bytes are held, and reports whether it could.
func (c *headConn) hold(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	more := n - c.held
	if more <= 0 {
		return true
	}
	if c.closed || !c.limiter.Memory.Reserve(more) {
		return false
	}
	c.held = n
	return true
}

// refuse answers the head that is being read, reads what still arrives into scratch, and returns the error for the reader. The answer
// to the previous request has been written before.
func (c *headConn) refuse(reason, answer string, scratch []byte) error {
	c.limiter.Refusals.Add(reason, c.RemoteAddr())
	_ = c.SetDeadline(time.Now().Add(refusalLinger))
	if _, err := io.WriteString(c.Conn, answer); err != nil {
		return errRefused
	}
	if err := c.CloseWrite(); err != nil {
		return errRefused
	}
	for read := 0; read < refusalBytes; {
		n, err := c.Conn.Read(scratch)
		read += n
		if err != nil {
			break
		}
	}
	return errRefused
}

// Close closes the connection and gives back the memory of its head. It may be called more than once.
func (c *headConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.releaseLocked()
	c.mu.Unlock()
	return c.Conn.Close()
}

// releaseLocked gives back the memory of the head. c.mu is held.
func (c *headConn) releaseLocked() {
	c.limiter.Memory.Release(c.held)
	c.held = 0
}

// setState takes over a state of the server's connection. The memory of a head is held until its request has been served, because
// net/http keeps the head that long.
func (c *headConn) setState(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.mu.Lock()
		c.releaseLocked()
		c.mu.Unlock()
		c.size = 0
		c.headBegun.Store(0)
		c.inHead.Store(true)
	case http.StateActive, http.StateHijacked:
		c.inHead.Store(false)
		c.headBegun.Store(0)
	}
}

// headSince returns when the first byte of the head that is being read arrived; false if there is none.
func (c *headConn) headSince() (time.Time, bool) {
	begun := c.headBegun.Load()
	return clockBase.Add(time.Duration(begun)), begun != 0
}

// SetLinger sets the behavior of Close as net.TCPConn.SetLinger does.
func (c *headConn) SetLinger(sec int) error { return setLinger(c.Conn, sec) }

// NetConn returns the connection that is bounded.
func (c *headConn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the sending side of the connection.
func (c *headConn) CloseWrite() error { return closeWrite(c.Conn) }

package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/httpresponse"
)

// conn is one connection to an endpoint.
type conn struct {
	*httpresponse.Conn
	reader *bufio.Reader
	// opened is when the connection was opened.
	opened time.Time
	// keepAliveUntil is when the idle connection may no longer be used, keepAliveMargin before the endpoint may
	// close it; zero if the endpoint states no limit.
	keepAliveUntil time.Time
	// idleSince is when the last response ended.
	idleSince time.Time
	// used says that the connection has carried a response before.
	used bool
	// resetOnClose says that Close is to drop what the endpoint has not acknowledged.
	resetOnClose atomic.Bool
	// closeErr is the read error by which the endpoint's side of the connection was closed or reset; nil while
	// it is open.
	closeErr error
	// headBytesLeft is the number of bytes that may still be read for the head of a response (status line and
	// header); negative while no head is being read.
	headBytesLeft int
}

// maxHeadBytes bounds the head of a response, because input from an endpoint might never end as a head. Endpoints
// send heads of a few hundred bytes.
const maxHeadBytes = 8 << 10

// errHeadTooLarge says that the head of a response exceeds maxHeadBytes.
var errHeadTooLarge = errors.Errorf("response head exceeds %d bytes", maxHeadBytes)

// readHead reads the head of a response that is not an interim one. All heads until then share maxHeadBytes.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.headBytesLeft = maxHeadBytes
	defer func() { c.headBytesLeft = -1 }()
	// Peek cannot fail for bytes that are buffered.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.ExpectHead(buffered); err != nil {
		return nil, errors.Wrap(err, "read head")
	}
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil && c.closeErr != nil && !ConnectionClosed(err) {
			// The connection ended within the head, and the part that arrived is malformed: the end of the
			// connection is the cause.
			return nil, errors.Wrapf(c.closeErr, "read head: %v", err)
		}
		if err != nil {
			return nil, errors.Wrap(err, "read head")
		}
		if !interim(resp.StatusCode) {
			resp.Body = httpresponse.Body(resp)
			return resp, nil
		}
	}
}

// interim reports whether a response with the status is followed by another one to the same request.
func interim(status int) bool { return status < http.StatusOK }

// readBufferSize is the size of a connection's read buffer, in bytes. Most events and responses fit in it.
const readBufferSize = 2 << 10

func newConn(c net.Conn) *conn {
	cn := &conn{Conn: httpresponse.NewConn(c), opened: time.Now(), headBytesLeft: -1}
	cn.reader = bufio.NewReaderSize(cn, readBufferSize)
	return cn
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if tcp, ok := c.Conn.Conn.(*net.TCPConn); ok && c.resetOnClose.Load() {
		// Fails only if the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// Read implements net.Conn. It bounds the head of a response and records the end of the connection.
func (c *conn) Read(p []byte) (int, error) {
	if c.headBytesLeft == 0 {
		return 0, errHeadTooLarge
	}
	if c.headBytesLeft > 0 {
		p = p[:min(len(p), c.headBytesLeft)]
	}
	n, err := c.Conn.Read(p)
	if c.headBytesLeft > 0 {
		c.headBytesLeft -= n
	}
	if ConnectionClosed(err) {
		c.closeErr = err
	}
	return n, err
}

// reusable reports whether the connection can carry another request: no unread bytes are left in it, and the
// endpoint has neither closed it nor will do so soon.
func (c *conn) reusable(now time.Time) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if !c.keepAliveUntil.IsZero() && !now.Before(c.keepAliveUntil) {
		return false
	}
	return c.noPendingInput()
}

// closedEarly reports whether something has arrived on the idle connection, usually its end, before the endpoint said that it
// would close it.
func (c *conn) closedEarly(now time.Time) bool {
	return (c.keepAliveUntil.IsZero() || now.Before(c.keepAliveUntil)) && !c.noPendingInput()
}

// noPendingInput reports whether nothing has arrived on the idle connection: neither bytes that belong to no
// request nor the end of the connection.
func (c *conn) noPendingInput() bool {
	rc, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keepAliveMargin is how long before the endpoint's keep-alive limit an idle connection is given up. It covers
// the time that a request needs to arrive.
const keepAliveMargin = 500 * time.Millisecond

// markIdle marks the connection as idle since now, and records from the header of the last response how long
// the endpoint keeps it open.
func (c *conn) markIdle(h http.Header, now time.Time) {
	c.used = true
	c.idleSince = now
	c.keepAliveUntil = time.Time{}
	if limit := keepAlive(h); limit > 0 {
		c.keepAliveUntil = now.Add(limit - keepAliveMargin)
	}
}

// keepAlive returns the timeout of a Keep-Alive header, or 0 if there is none.
func keepAlive(h http.Header) time.Duration {
	for item := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

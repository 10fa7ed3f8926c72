package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// expires is when the endpoint may close the idle connection.
	expires time.Time
	// idleSince is when the last answer ended.
	idleSince time.Time
	// used says that the connection has carried an answer before.
	used bool
	// ended is how the endpoint's side of the connection has ended; nil while it has not.
	ended error
	// headLeft is how many more bytes may be read for the head of an answer; negative while no head is read.
	headLeft int
}

// maxHead bounds the head of an answer, in bytes. Endpoints' heads take a few hundred.
const maxHead = 8 << 10

// errEndlessHead says that what an endpoint sends does not end as a head.
var errEndlessHead = errors.New("the head of the answer does not end")

// readBuffer is the size of a connection's read buffer, in bytes; most events and answers fit.
const readBuffer = 2 << 10

func newConn(c net.Conn) *conn {
	cn := &conn{Conn: c, headLeft: -1}
	cn.reader = bufio.NewReaderSize(cn, readBuffer)
	return cn
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errEndlessHead
	}
	if c.headLeft > 0 {
		p = p[:min(len(p), c.headLeft)]
	}
	n, err := c.Conn.Read(p)
	if c.headLeft > 0 {
		c.headLeft -= n
	}
	if Ended(err) {
		c.ended = err
	}
	return n, err
}

// fresh reports whether the connection can carry another request: nothing is left over in it, the
// endpoint has not closed it and will not do so soon.
func (c *conn) fresh(now time.Time) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if !c.expires.IsZero() && !now.Before(c.expires) {
		return false
	}
	return c.quiet()
}

// quiet reports whether nothing has arrived on the connection: neither bytes that belong to no
// request nor its end.
func (c *conn) quiet() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
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

// keepMargin is how long before the endpoint's own limit an idle connection is given up, for the
// time that a request needs to arrive.
const keepMargin = 500 * time.Millisecond

// keep notes how long the endpoint keeps the connection idle, as its answer says.
func (c *conn) keep(h http.Header, now time.Time) {
	c.used = true
	c.idleSince = now
	c.expires = time.Time{}
	if limit := keepAlive(h); limit > 0 {
		c.expires = now.Add(limit - keepMargin)
	}
}

// keepAlive returns the timeout of a Keep-Alive header; 0 if there is none.
func keepAlive(h http.Header) time.Duration {
	for item := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

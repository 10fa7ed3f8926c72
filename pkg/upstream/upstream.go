// Package upstream sends requests to endpoints, each at most once, and tells whether a failed one may
// have run. It matches answers to requests by the identifier that endpoints echo.
package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/dialect"
)

// Request is one request to an endpoint.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the identifier that the endpoint echoes.
	ID string
}

// Error says that no answer to the request has arrived.
type Error struct {
	// Sent is false only if the endpoint has certainly not seen the request.
	Sent bool
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("no answer: %v", e.Err)
	}
	return fmt.Sprintf("not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// maxStray bounds the answers to other requests that are skipped on one connection.
const maxStray = 3

// maxStrayBytes bounds the body of such an answer.
const maxStrayBytes = 1 << 20

// errStray says that a connection held more answers to other requests than are skipped.
var errStray = errors.New("answers belong to other requests")

// Client sends requests. It is safe for concurrent use.
type Client struct {
	pools   *Pools
	dialect dialect.Dialect
	events  Events
}

// Events are told what happens on the way. Nil ones are left out.
type Events struct {
	// Dialed is called for each new connection.
	Dialed func()
	// Leaving is called when an endpoint has said in an answer that it is about to end.
	Leaving func(Target)
}

// NewClient returns a client over the pools.
func NewClient(pools *Pools, d dialect.Dialect, events Events) *Client {
	return &Client{pools: pools, dialect: d, events: events}
}

// Send sends the request and returns once the head of its answer has arrived. When ctx ends, the
// connection is closed. The error is an *Error. The caller closes the answer.
func (c *Client) Send(ctx context.Context, target Target, req Request) (*Answer, error) {
	now := time.Now()
	cn := c.pools.take(target, now)
	if cn == nil {
		var err error
		if cn, err = c.pools.dial(ctx, target); err != nil {
			return nil, &Error{Err: err}
		}
		if c.events.Dialed != nil {
			c.events.Dialed()
		}
	}
	return c.exchange(ctx, target, cn, req)
}

func (c *Client) exchange(ctx context.Context, target Target, cn *conn, req Request) (*Answer, error) {
	a := &Answer{client: c, target: target, conn: cn}
	a.stop = context.AfterFunc(ctx, func() { _ = cn.Close() })
	if err := writeRequest(cn, req); err != nil {
		a.abandon()
		return nil, &Error{Sent: true, Err: cause(ctx, err)}
	}
	if err := a.readHead(req); err != nil {
		a.abandon()
		return nil, &Error{Sent: true, Err: cause(ctx, err)}
	}
	return a, nil
}

// cause prefers the reason why ctx ended to the error of the connection that was closed for it.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// buffers are reused for the heads of requests.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// writeRequest writes the request in one piece.
func writeRequest(w io.Writer, req Request) error {
	buf := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buf)
	buf.Reset()
	buf.WriteString(req.Method)
	buf.WriteByte(' ')
	buf.WriteString(req.URI)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(req.Host)
	buf.WriteString("\r\n")
	for name, values := range req.Header {
		for _, value := range values {
			buf.WriteString(name)
			buf.WriteString(": ")
			buf.WriteString(value)
			buf.WriteString("\r\n")
		}
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(len(req.Body)))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
	buf.Write(req.Body)
	_, err := w.Write(buf.Bytes())
	return err
}

// Answer is an endpoint's answer. It is read by one goroutine.
type Answer struct {
	Status  int
	Header  http.Header
	Verdict dialect.Verdict
	// Length is the length of the body; -1 if it is not stated.
	Length int64

	client *Client
	target Target
	conn   *conn
	stop   func() bool
	resp   *http.Response
	// read is the number of bytes of the body that have been read.
	read  int64
	whole bool
}

// readHead reads the head of the answer and skips answers to other requests.
func (a *Answer) readHead(req Request) error {
	for range maxStray {
		a.conn.headLeft = maxHead
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: req.Method})
		a.conn.headLeft = -1
		if err != nil && a.conn.ended != nil && !Ended(err) {
			// What had arrived of the head does not look like one.
			return errors.Wrapf(a.conn.ended, "read head: %v", err)
		}
		if err != nil {
			return errors.Wrap(err, "read head")
		}
		verdict := a.client.dialect.Judge(resp.StatusCode, resp.Header)
		if verdict.RequestID == "" || verdict.RequestID == req.ID {
			a.resp, a.Verdict = resp, verdict
			a.client.heard(a.target, verdict, req.ID)
			a.Status, a.Header, a.Length = resp.StatusCode, resp.Header, resp.ContentLength
			return nil
		}
		if err := skip(resp); err != nil {
			return err
		}
	}
	return errStray
}

// heard passes on what an answer says of its endpoint. Only one that names the request is the endpoint's own; one from
// another endpoint at the address says nothing of the one addressed.
func (c *Client) heard(target Target, v dialect.Verdict, id string) {
	if v.Leaving && v.RequestID == id && !v.Misdirected && c.events.Leaving != nil {
		c.events.Leaving(target)
	}
}

// skip reads the body of an answer to another request.
func skip(resp *http.Response) error {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errStray
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
	if err == nil && n == maxStrayBytes {
		return errStray
	}
	return err
}

// maxUnstated bounds a body whose length is not stated, in bytes: such a body is held until its end shows that it has one.
const maxUnstated = 8 << 20

// errEndlessBody says that a body whose length is not stated does not end.
var errEndlessBody = errors.New("the body of the answer does not end")

// Read reads from the body. It returns io.EOF only at the end of a whole body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if a.read += int64(n); a.Length < 0 && a.read > maxUnstated {
		return 0, errEndlessBody
	}
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close ends the use of the answer. Its connection is kept if the body was read to its end and the
// endpoint keeps it too.
func (a *Answer) Close() {
	if !a.stop() || !a.reusable() {
		_ = a.conn.Close()
		return
	}
	now := time.Now()
	a.conn.keep(a.Header, now)
	a.client.pools.put(a.target, a.conn, now)
}

func (a *Answer) reusable() bool {
	framed := a.Length >= 0 || len(a.resp.TransferEncoding) > 0
	return a.whole && framed && !a.resp.Close && !a.Verdict.Closes && a.conn.reader.Buffered() == 0
}

// abandon closes the connection of a request that has failed.
func (a *Answer) abandon() {
	a.stop()
	_ = a.conn.Close()
}

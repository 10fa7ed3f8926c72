// Package upstream sends requests to endpoints, each at most once, and reports whether a failed request may
// have been executed. It matches responses to requests by the request identifier that endpoints echo.
package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
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
	// ID is the request identifier that the endpoint echoes.
	ID string
	// OfCaller says that the request is one of a caller, for the endpoint to run: not an order or a probe.
	OfCaller bool
	// Echoed says that the endpoint echoes the identifier in each response. A response without one on a connection that has been
	// used before may then be an earlier one, sent again.
	Echoed bool
	// BeforeSend, if set, is called immediately before the request is written. An error keeps it from being sent.
	BeforeSend func() error
	// ResetOnFailure makes the connection be reset, not only closed, if no response arrives or ctx ends before, so that the
	// system repeats nothing of the request that the endpoint has not acknowledged.
	ResetOnFailure bool
}

// Error says that no response to the request has arrived.
type Error struct {
	// Sent is false only if the endpoint has certainly not received any of the request.
	Sent bool
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("no response: %v", e.Err)
	}
	return fmt.Sprintf("request not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// maxStrayResponses is the number of responses read on a connection for one request: if so many belong to
// other requests (stray responses), the request fails.
const maxStrayResponses = 3

// maxStrayBytes bounds the body of a stray response. A larger one fails the request.
const maxStrayBytes = 1 << 20

// errStray says that a connection carried stray responses that cannot be skipped: too many, too large or
// without a stated end.
var errStray = errors.New("response belongs to another request")

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	pools   *Pools
	dialect dialect.Dialect
	events  Events
}

// ErrWithheld says that nothing may be sent to the endpoint now.
var ErrWithheld = errors.New("endpoint must not be reached")

// Events holds callbacks for events while a request is sent. Each may be nil.
type Events struct {
	// Check is called before a connection is opened and again immediately before a request is written. ofCaller says that the
	// request is one of a caller. An error keeps the request from being sent.
	Check func(target Target, ofCaller bool) error
	// OnDial is called for each new connection.
	OnDial func()
	// OnLeaving is called when an endpoint has said in a response that it is about to terminate.
	OnLeaving func(Target)
	// OnResponse is called with what the head of an endpoint's own response states. sent is when the request was
	// sent.
	OnResponse func(target Target, info dialect.ResponseInfo, sent time.Time)
	// OnRefused is called when the host of an endpoint has refused a connection, or a new connection was closed or reset
	// before it carried a response: no process serves the address, or it has just ended.
	OnRefused func(Target)
	// OnConnectionLost is called when an endpoint has closed or reset a connection that has carried responses: before the
	// head of the next one, or idle before it said that it would. The process may have ended.
	OnConnectionLost func(Target)
	// OnConnectionAlive is called when an endpoint has responded to a request on a connection that has carried responses
	// before. The process that accepted the connection at the time opened still ran after the time sent of the request.
	OnConnectionAlive func(target Target, opened, sent time.Time)
}

// NewClient returns a Client that takes its connections from the pools.
func NewClient(pools *Pools, d dialect.Dialect, events Events) *Client {
	pools.onLost = events.OnConnectionLost
	return &Client{pools: pools, dialect: d, events: events}
}

// Send sends the request and returns once the head of its response has arrived. When ctx ends, the
// connection is closed. The error is an *Error. The calling code must close the response.
func (c *Client) Send(ctx context.Context, target Target, req Request) (*Response, error) {
	if err := c.check(target, req); err != nil {
		return nil, err
	}
	now := time.Now()
	cn := c.pools.take(target, now)
	if cn == nil {
		var err error
		if cn, err = c.pools.dial(ctx, target); err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) && c.events.OnRefused != nil {
				c.events.OnRefused(target)
			}
			return nil, &Error{Err: err}
		}
		if c.events.OnDial != nil {
			c.events.OnDial()
		}
		if err := c.check(target, req); err != nil {
			_ = cn.Close()
			return nil, err
		}
	}
	if req.BeforeSend != nil {
		if err := req.BeforeSend(); err != nil {
			_ = cn.Close()
			return nil, &Error{Err: err}
		}
	}
	return c.exchange(ctx, target, cn, req)
}

// check returns an *Error if the request must not be sent.
func (c *Client) check(target Target, req Request) error {
	if c.events.Check == nil {
		return nil
	}
	if err := c.events.Check(target, req.OfCaller); err != nil {
		return &Error{Err: err}
	}
	return nil
}

// exchange sends the request over the connection and reads the head of its response.
func (c *Client) exchange(ctx context.Context, target Target, cn *conn, req Request) (*Response, error) {
	a := &Response{client: c, target: target, conn: cn, sent: time.Now()}
	cn.resetOnClose.Store(req.ResetOnFailure)
	a.stopWatch = context.AfterFunc(ctx, func() { _ = cn.Close() })
	if err := a.writeRequest(req); err != nil {
		c.reportClosed(ctx, a, err)
		a.abandon()
		return nil, &Error{Sent: true, Err: cause(ctx, err)}
	}
	if err := a.readHead(req); err != nil {
		c.reportClosed(ctx, a, err)
		a.abandon()
		return nil, &Error{Sent: true, Err: cause(ctx, err)}
	}
	cn.resetOnClose.Store(false)
	return a, nil
}

// reportClosed fires the event of a connection that the endpoint has closed before the head of a response.
func (c *Client) reportClosed(ctx context.Context, a *Response, err error) {
	if ctx.Err() != nil || !ConnectionClosed(err) {
		return
	}
	event := c.events.OnConnectionLost
	if !a.conn.used {
		event = c.events.OnRefused
	}
	if event != nil {
		event(a.target)
	}
}

// cause returns the reason why ctx ended, if it has, and else err. When ctx ends, the connection is closed
// and err says only that.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// buffers holds reusable buffers for outgoing requests.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxBlockingBody bounds the body of a request that is written before the response is read, in bytes. It fits into the
// buffers of the system, so that an endpoint that does not read it cannot block the write.
const maxBlockingBody = 16 << 10

// writeRequest writes the request. It goes on in a goroutine of its own with one that is long, because the endpoint may respond
// before it has read that, and read no further.
func (a *Response) writeRequest(req Request) error {
	a.conn.Begin()
	buf := buffers.Get().(*bytes.Buffer)
	buf.Reset()
	appendRequest(buf, req)
	write := func() error {
		defer a.conn.EndRequest()
		defer buffers.Put(buf)
		_, err := a.conn.Write(buf.Bytes())
		return err
	}
	if len(req.Body) <= maxBlockingBody {
		return write()
	}
	a.written = make(chan struct{})
	go func() {
		defer close(a.written)
		if err := write(); err != nil && !ConnectionClosed(err) {
			// Ends the reading, for which the connection is still open.
			_ = a.conn.Close()
		}
	}()
	return nil
}

// appendRequest appends the whole request to buf.
func appendRequest(buf *bytes.Buffer, req Request) {
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
}

// Response is an endpoint's response, of which the body is read with Read. It is not safe for concurrent use.
type Response struct {
	Status int
	Header http.Header
	// Info holds what the header states about the request and the endpoint.
	Info dialect.ResponseInfo
	// Length is the length of the body in bytes, or -1 if the header does not state it.
	Length int64

	client *Client
	target Target
	conn   *conn
	sent   time.Time
	// stopWatch stops closing the connection when the request's context ends. It reports false if the connection
	// is being closed already.
	stopWatch func() bool
	// written is closed when the writing of a long request has ended; nil if the request was written before the response was read.
	written chan struct{}
	resp    *http.Response
	// bodyRead is the number of bytes of the body that have been read.
	bodyRead int64
	// complete says that the body has been read to its end.
	complete bool
	// interrupted says that Interrupt has been called.
	interrupted atomic.Bool
}

// readHead reads the head of the response and skips stray and interim responses.
func (a *Response) readHead(req Request) error {
	for range maxStrayResponses {
		resp, err := a.conn.readHead(req.Method)
		if err != nil {
			return err
		}
		info := a.client.dialect.Judge(resp.StatusCode, resp.Header)
		if info.RequestID == req.ID || info.RequestID == "" && !(req.Echoed && a.conn.used) {
			a.resp, a.Info = resp, info
			a.client.reportResponse(a, req.ID)
			a.Status, a.Header, a.Length = resp.StatusCode, resp.Header, resp.ContentLength
			return nil
		}
		if err := discardStray(resp); err != nil {
			return err
		}
	}
	return errStray
}

// reportResponse fires the events of a response. Only a response that names the request is the endpoint's own. A
// misdirected request got its response from another endpoint at the address, whose response says nothing about the
// endpoint addressed.
func (c *Client) reportResponse(a *Response, id string) {
	if a.Info.RequestID != id || a.Info.Misdirected {
		return
	}
	if a.Info.Leaving && c.events.OnLeaving != nil {
		c.events.OnLeaving(a.target)
	}
	if c.events.OnResponse != nil {
		c.events.OnResponse(a.target, a.Info, a.sent)
	}
	if a.conn.used && c.events.OnConnectionAlive != nil {
		c.events.OnConnectionAlive(a.target, a.conn.opened, a.sent)
	}
}

// ReportOwn reports what the head of the response states, for code that knows from the response that it is the endpoint's own
// although it does not name the request.
func (a *Response) ReportOwn() {
	if a.Info.RequestID == "" && !a.Info.Misdirected && a.client.events.OnResponse != nil {
		a.client.events.OnResponse(a.target, a.Info, a.sent)
	}
}

// discardStray reads the body of a stray response to its end, so that the next response can be read.
func discardStray(resp *http.Response) error {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errStray
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
	if err == nil && n == maxStrayBytes {
		return errStray
	}
	return err
}

// maxUnstatedLength bounds a body whose length is not stated, in bytes. Such a body is held in memory until its
// end has arrived, because it might have no end.
const maxUnstatedLength = 8 << 20

// errBodyTooLarge says that a body whose length is not stated exceeds maxUnstatedLength.
var errBodyTooLarge = errors.Errorf("response body without a stated length exceeds %d bytes", maxUnstatedLength)

// Read reads from the body. It returns io.EOF only at the end of a complete body.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if a.bodyRead += int64(n); a.Length < 0 && a.bodyRead > maxUnstatedLength {
		return 0, errBodyTooLarge
	}
	if err == io.EOF {
		a.complete = true
	}
	return n, err
}

// Interrupt makes a Read in progress fail, and closes the connection. Unlike the other methods it may be called while another
// one is running.
func (a *Response) Interrupt() {
	a.interrupted.Store(true)
	_ = a.conn.Close()
}

// Close releases the connection of the response. The connection is kept for further requests if the body was
// read to its end and the endpoint keeps the connection open too, and is closed otherwise.
func (a *Response) Close() {
	if !a.stopWatch() || a.interrupted.Load() || !a.reusable() {
		a.closeConn()
		return
	}
	now := time.Now()
	a.conn.markIdle(a.Header, now)
	a.client.pools.put(a.target, a.conn, now)
}

// Framed reports whether the response states where its body ends. Otherwise the body ends with the connection.
func (a *Response) Framed() bool { return a.Length >= 0 || len(a.resp.TransferEncoding) > 0 }

// reusable reports whether the connection is in a state to carry another request: the response has been read to
// a stated end, the endpoint keeps the connection open, and no further bytes have arrived.
func (a *Response) reusable() bool {
	return a.complete && a.Framed() && !a.resp.Close && !a.Info.Closes && a.conn.reader.Buffered() == 0 && a.requestWritten()
}

// requestWritten reports whether the endpoint's system has received the whole request.
func (a *Response) requestWritten() bool {
	if a.written != nil {
		select {
		case <-a.written:
		default:
			return false
		}
	}
	return !a.conn.WriteFailed()
}

// abandon closes the connection of a request that has failed.
func (a *Response) abandon() {
	a.stopWatch()
	a.closeConn()
}

// closeConn closes the connection. The body of the request is not used any more afterwards.
func (a *Response) closeConn() {
	_ = a.conn.Close()
	if a.written != nil {
		<-a.written
	}
}

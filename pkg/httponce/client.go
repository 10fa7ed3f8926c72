// Package httponce sends HTTP/1.1 requests at most once and reports whether any part of a failed
// request may have been sent. It does not follow redirects, does not retry a request of which any part may
// have been sent, and does not decompress responses.
package httponce

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/httpresponse"
)

// Defaults of Options, and the fixed limit on the size of a response's header.
const (
	DefaultDialTimeout    = 2 * time.Second
	DefaultIdleTimeout    = 15 * time.Second
	DefaultMaxIdlePerHost = 64
	maxResponseHeader     = 64 << 10 // bytes
)

// Options configure a Client. Zero values select the defaults.
type Options struct {
	// DialTimeout bounds connecting, and separately the TLS handshake.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept. It must be shorter than the server's idle timeout.
	IdleTimeout time.Duration
	// MaxIdlePerHost is the maximum number of idle connections kept for one host.
	MaxIdlePerHost int
	// MaxPerHost is the maximum number of connections to one host; 0 means no limit.
	MaxPerHost int
	// FreshConnections opens a new connection for every request, so that no request is sent on an idle
	// connection that the server is about to close.
	FreshConnections bool
	TLS              *tls.Config
}

// Error is the failure of a request before the head of its response (status line and header) arrived.
type Error struct {
	// Sent reports whether any part of the request may have reached the server. It is false only if it is
	// certain that none did.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("no answer: %v", e.Err)
	}
	return fmt.Sprintf("not sent: %v", e.Err)
}

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

// Client sends requests over a pool of connections. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// New returns a Client.
func New(opts Options) *Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	d := &dialer{timeout: orDefault(opts.DialTimeout, DefaultDialTimeout), tls: opts.TLS}
	return &Client{transport: &http.Transport{
		DialContext:            d.dial,
		DialTLSContext:         d.dialTLS,
		Protocols:              protocols,
		IdleConnTimeout:        orDefault(opts.IdleTimeout, DefaultIdleTimeout),
		MaxIdleConnsPerHost:    orDefault(opts.MaxIdlePerHost, DefaultMaxIdlePerHost),
		MaxConnsPerHost:        opts.MaxPerHost,
		DisableKeepAlives:      opts.FreshConnections,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeader,
	}}
}

// dialer opens connections on which responses are checked.
type dialer struct {
	// timeout bounds connecting, and separately the TLS handshake.
	timeout time.Duration
	// tls may be nil.
	tls *tls.Config
}

// dial opens a connection without TLS.
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.connect(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return httpresponse.NewConn(conn), nil
}

// dialTLS opens a connection with TLS.
func (d *dialer) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.connect(ctx, network, address)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if d.tls != nil {
		config = d.tls.Clone()
	}
	if config.ServerName == "" {
		if config.ServerName, _, err = net.SplitHostPort(address); err != nil {
			conn.Close()
			return nil, err
		}
	}
	secure := tls.Client(conn, config)
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	if err := secure.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return httpresponse.NewConn(secure), nil
}

// connect opens a TCP connection.
func (d *dialer) connect(ctx context.Context, network, address string) (*writeCountingConn, error) {
	conn, err := (&net.Dialer{Timeout: d.timeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &writeCountingConn{Conn: conn}, nil
}

// Do sends the request and returns once the head of the response has arrived. Its errors are of type *Error.
// If a connection failed before any part of the request was written, Do sends the request once more on another
// connection, provided that a request with a body has GetBody set. The body of the response must be closed by
// whoever calls Do.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	resp, connected, err := c.sendOnce(req)
	if err == nil || err.Sent || !connected || req.Context().Err() != nil {
		return resp, asError(err)
	}
	retry := req.Clone(req.Context())
	if req.GetBody != nil {
		body, bodyErr := req.GetBody()
		if bodyErr != nil {
			return nil, err
		}
		retry.Body = body
	} else if req.Body != nil && req.Body != http.NoBody {
		return nil, err
	}
	resp, _, err = c.sendOnce(retry)
	return resp, asError(err)
}

// asError converts err to an error that is nil if err is nil: a nil *Error in an error interface is not.
func asError(err *Error) error {
	if err == nil {
		return nil
	}
	return err
}

// sendOnce makes one attempt to send the request. connected reports whether it got a connection.
func (c *Client) sendOnce(req *http.Request) (resp *http.Response, connected bool, failed *Error) {
	var tr connTrace
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: tr.gotConn})
	req = req.Clone(httpresponse.Trace(ctx))
	preventReplay(req)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		sent := tr.seal()
		return nil, len(tr.conns) > 0, &Error{Sent: sent, Err: err}
	}
	resp.Body = httpresponse.Body(resp)
	return resp, true, nil
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// preventReplay changes the request so that net/http does not send it a second time after the first attempt may
// have reached the server. net/http replays a request that failed on a reused connection if its body is empty
// or can be obtained again (GetBody), and its method is safe or it has an Idempotency-Key or X-Idempotency-Key
// header. net/http looks these headers up by their canonical names only, so they are sent in lower case, which
// HTTP treats as the same name. A request with a safe method and no body gets a body that net/http cannot
// recognise as empty.
func preventReplay(req *http.Request) {
	req.GetBody = nil
	for name, lower := range map[string]string{
		"Idempotency-Key":   "idempotency-key",
		"X-Idempotency-Key": "x-idempotency-key",
	} {
		if values, ok := req.Header[name]; ok {
			delete(req.Header, name)
			req.Header[lower] = values
		}
	}
	if req.Body == nil || req.Body == http.NoBody {
		switch req.Method {
		case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
			req.Body = io.NopCloser(emptyReader{})
		}
	}
}

// emptyReader is an empty body that net/http cannot recognise as empty, unlike http.NoBody.
type emptyReader struct{}

// Read returns io.EOF.
func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }

// connTrace records the connections on which net/http has tried to send a request.
type connTrace struct {
	mu    sync.Mutex
	conns []tracedConn // guarded by mu
}

// tracedConn is a connection on which net/http has tried to send the request.
type tracedConn struct {
	// conn is nil if the connection is of an unknown type, whose writes are not counted.
	conn *writeCountingConn
	// writes is the number of writes that had been started when the request got the connection.
	writes uint64
}

// gotConn records the connection. It is the GotConn hook of httptrace.ClientTrace.
func (t *connTrace) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn
	if checked, ok := conn.(*httpresponse.Conn); ok {
		conn = checked.Conn
	}
	if wrapped, ok := conn.(*tls.Conn); ok {
		conn = wrapped.NetConn()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	counted, ok := conn.(*writeCountingConn)
	if !ok {
		t.conns = append(t.conns, tracedConn{})
		return
	}
	t.conns = append(t.conns, tracedConn{conn: counted, writes: counted.writesStarted()})
}

// seal seals the connections of a failed request, so that no part of it can be written from now on, and reports
// whether any part of it may have been written before.
func (t *connTrace) seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := false
	for _, c := range t.conns {
		if c.conn == nil || c.conn.seal() != c.writes {
			sent = true
		}
	}
	return sent
}

// writeCountingConn counts the writes that were started on a connection. Sealing it prevents further writes.
type writeCountingConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64 // guarded by mu
	sealed bool   // guarded by mu
}

// Write writes to the connection. It fails with net.ErrClosed if the connection is sealed.
func (c *writeCountingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// writesStarted returns the number of writes that were started.
func (c *writeCountingConn) writesStarted() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection, so that no write starts afterwards, and returns the number of writes that were
// started before.
func (c *writeCountingConn) seal() uint64 {
	c.mu.Lock()
	c.sealed = true
	writes := c.writes
	c.mu.Unlock()
	c.Conn.Close()
	return writes
}

// orDefault returns value, or fallback if value is the zero value.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/dialect"
)

// testDialect reads only the headers that these tests use.
type testDialect struct{ dialect.Dialect }

func (testDialect) Judge(status int, h http.Header) dialect.ResponseInfo {
	return dialect.ResponseInfo{
		RequestID: h.Get("Id"), NotRun: status == http.StatusServiceUnavailable, Misdirected: status == http.StatusMisdirectedRequest,
		Signed: true, Leaving: h.Get("Going") != "",
	}
}

// endpoint is a fake endpoint on the loopback interface. A script function handles each connection.
type endpoint struct {
	listener net.Listener
	mu       sync.Mutex
	conns    int
	seen     []string
}

// listen starts an endpoint, which is stopped at the end of the test.
func listen(t *testing.T, script func(e *endpoint, c net.Conn, r *bufio.Reader)) *endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &endpoint{listener: l}
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns++
			e.mu.Unlock()
			wait.Go(func() {
				defer func() { _ = c.Close() }()
				script(e, c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		wait.Wait()
	})
	return e
}

func (e *endpoint) target() Target { return Target{ID: "e", Address: e.listener.Addr().String()} }

func (e *endpoint) connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conns
}

// read reads one request and returns its identifier and body.
func (e *endpoint) read(r *bufio.Reader) (string, string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", "", false
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return "", "", false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = append(e.seen, req.Method+" "+req.RequestURI+" "+req.Host)
	return req.Header.Get("Id"), string(body), true
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

func newClient(t *testing.T) *Client { return newClientWith(t, Events{}) }

func newClientWith(t *testing.T, events Events) *Client {
	pools := NewPools()
	t.Cleanup(pools.Close)
	return NewClient(pools, testDialect{}, events)
}

func request(id string) Request {
	return Request{Method: http.MethodPost, URI: "/a/b?c=%2F", Host: "one.example", Header: http.Header{"Id": {id}}, Body: []byte("hello"), ID: id, Echoed: true}
}

// echo returns a script that responds to each request with the request's identifier and body. The bytes in before
// precede each response, and those in after follow it.
func echo(before, after string) func(e *endpoint, c net.Conn, r *bufio.Reader) {
	return func(e *endpoint, c net.Conn, r *bufio.Reader) {
		for {
			id, body, ok := e.read(r)
			if !ok {
				return
			}
			if _, err := io.WriteString(c, before+response(id, body+"!")+after); err != nil {
				return
			}
		}
	}
}

func readAll(t *testing.T, a *Response) string {
	data, err := io.ReadAll(a)
	require.NoError(t, err)
	a.Close()
	return string(data)
}

func TestConnectionsAreReused(t *testing.T) {
	e := listen(t, echo("", ""))
	client := newClient(t)
	for _, id := range []string{"1", "2", "3"} {
		a, err := client.Send(t.Context(), e.target(), request(id))
		require.NoError(t, err)
		require.Equal(t, "hello!", readAll(t, a))
	}
	require.Equal(t, 1, e.connections())
	require.Equal(t, "POST /a/b?c=%2F one.example", e.seen[0])
}

// A response to another request must be skipped, not taken for the response to this one.
func TestStrayResponsesAreSkipped(t *testing.T) {
	e := listen(t, echo(response("stray", "not yours"), ""))
	a, err := newClient(t).Send(t.Context(), e.target(), request("1"))
	require.NoError(t, err)
	require.Equal(t, "hello!", readAll(t, a))
}

// An earlier refusal that an endpoint writes once more on a kept connection, with or without the identifier of the request that it
// refused, must not be taken for the refusal of a request that the endpoint is running.
func TestRepeatedRefusalIsNotTakenForTheResponse(t *testing.T) {
	refusal := func(header string) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + header + "Content-Length: 4\r\n\r\nfull"
	}
	for name, repeated := range map[string]string{"with its identifier": refusal("Id: 1\r\n"), "without": refusal("")} {
		for _, answered := range []bool{true, false} {
			e := listen(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
				if _, _, ok := e.read(r); !ok {
					return
				}
				_, _ = io.WriteString(c, refusal("Id: 1\r\n"))
				id, _, ok := e.read(r)
				if !ok {
					return
				}
				_, _ = io.WriteString(c, repeated)
				if answered {
					_, _ = io.WriteString(c, response(id, "ran"))
				}
			})
			client := newClient(t)
			a, err := client.Send(t.Context(), e.target(), request("1"))
			require.NoError(t, err)
			require.True(t, a.Info.NotRun, "the refusal is taken for the first request")
			readAll(t, a)
			a, err = client.Send(t.Context(), e.target(), request("2"))
			if !answered {
				var failed *Error
				require.ErrorAs(t, err, &failed, name)
				require.True(t, failed.Sent, "the request may have run")
				continue
			}
			require.NoError(t, err, name)
			require.False(t, a.Info.NotRun, name)
			require.Equal(t, "ran", readAll(t, a), name)
			require.Equal(t, 1, e.connections())
		}
	}
}

// A connection with further bytes after the response must not be reused: the next request would take them for
// its response.
func TestExtraBytesAfterResponseCloseConnection(t *testing.T) {
	e := listen(t, echo("", response("1", "again")))
	client := newClient(t)
	for _, id := range []string{"1", "2"} {
		a, err := client.Send(t.Context(), e.target(), request(id))
		require.NoError(t, err)
		require.Equal(t, id, a.Info.RequestID)
		require.Equal(t, "hello!", readAll(t, a))
	}
	require.Equal(t, 2, e.connections())
}

// A connection on which bytes arrive while it is idle must not be reused either.
func TestBytesOnIdleConnectionCloseIt(t *testing.T) {
	sent := make(chan struct{})
	e := listen(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		for {
			id, _, ok := e.read(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, response(id, "x"))
			if id == "1" {
				// The client must have read the response before the extra bytes arrive.
				<-sent
				_, _ = io.WriteString(c, response("1", "late"))
				sent <- struct{}{}
			}
		}
	})
	client := newClient(t)
	a, err := client.Send(t.Context(), e.target(), request("1"))
	require.NoError(t, err)
	require.Equal(t, "x", readAll(t, a))
	sent <- struct{}{}
	<-sent
	require.Eventually(t, func() bool { return client.pools.take(e.target(), time.Now()) == nil }, 5*time.Second, time.Millisecond)
	a, err = client.Send(t.Context(), e.target(), request("2"))
	require.NoError(t, err)
	require.Equal(t, "x", readAll(t, a))
	require.Equal(t, 2, e.connections())
}

// The end of the connection ends a body without a stated length. A body with a stated length or in chunks must
// arrive whole, or reading it fails.
func TestTruncatedBodiesFail(t *testing.T) {
	for name, c := range map[string]struct {
		head, body string
		want       string
		cut        bool
	}{
		"no length":     {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "all of it", "all of it", false},
		"short":         {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 20\r\n\r\n", "some", "some", true},
		"broken chunks": {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nsome\r\n", "some", true},
		"chunks":        {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nsome\r\n0\r\n\r\n", "some", false},
	} {
		t.Run(name, func(t *testing.T) {
			e := listen(t, func(e *endpoint, conn net.Conn, r *bufio.Reader) {
				if _, _, ok := e.read(r); ok {
					_, _ = io.WriteString(conn, c.head+c.body)
				}
			})
			a, err := newClient(t).Send(t.Context(), e.target(), request("1"))
			require.NoError(t, err)
			data, err := io.ReadAll(a)
			require.Equal(t, c.want, string(data))
			require.Equal(t, c.cut, err != nil)
			a.Close()
		})
	}
}

// A body that is cut off by a connection reset must not pass as complete, even if its length is not stated.
func TestBodyCutByResetFails(t *testing.T) {
	e := listen(t, func(e *endpoint, conn net.Conn, r *bufio.Reader) {
		if _, _, ok := e.read(r); ok {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nsome")
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
	a, err := newClient(t).Send(t.Context(), e.target(), request("1"))
	if err == nil {
		_, err = io.ReadAll(a)
		a.Close()
	}
	require.Error(t, err)
}

// A request counts as not sent only if no connection was made. If it was written and the response is missing or
// malformed, it counts as sent, because the endpoint may have executed it.
func TestSentOrNot(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refused := Target{Address: l.Addr().String()}
	require.NoError(t, l.Close())
	_, err = newClient(t).Send(t.Context(), refused, request("1"))
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
	for name, garbage := range map[string]string{"closed": "", "garbage": "\x16\x03\x01 no answer\r\n\r\n"} {
		e := listen(t, func(e *endpoint, conn net.Conn, r *bufio.Reader) {
			if _, _, ok := e.read(r); ok {
				_, _ = io.WriteString(conn, garbage)
			}
		})
		_, err := newClient(t).Send(t.Context(), e.target(), request("1"))
		require.ErrorAs(t, err, &failed, name)
		require.True(t, failed.Sent, name)
	}
}

// When the request's context ends, the connection is closed, so that the endpoint can stop working on the request.
func TestCanceledContextClosesConnection(t *testing.T) {
	ended := make(chan struct{})
	arrived := make(chan struct{})
	e := listen(t, func(e *endpoint, _ net.Conn, r *bufio.Reader) {
		if _, _, ok := e.read(r); ok {
			close(arrived)
			_, _ = r.ReadByte()
			close(ended)
		}
	})
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() {
		<-arrived
		cancel(io.ErrClosedPipe)
	}()
	_, err := newClient(t).Send(ctx, e.target(), request("1"))
	require.ErrorIs(t, err, io.ErrClosedPipe)
	<-ended
}

// A connection must not be used shortly before the end of the time for which its endpoint keeps it open. The
// endpoint might close it while a request is in transit.
func TestKeepAliveTimeoutIsRespected(t *testing.T) {
	e := listen(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		for {
			id, _, ok := e.read(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nKeep-Alive: timeout=2, max=9\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := newClient(t)
	a, err := client.Send(t.Context(), e.target(), request("1"))
	require.NoError(t, err)
	readAll(t, a)
	now := time.Now()
	c := client.pools.pop(e.target(), now)
	require.True(t, c.reusable(now.Add(time.Second)))
	require.False(t, c.reusable(now.Add(2*time.Second)))
	_ = c.Close()
}

// A stray response without a stated length can't be skipped, because its end is not known.
func TestStrayResponseMustStateLength(t *testing.T) {
	e := listen(t, echo("HTTP/1.1 200 OK\r\nId: stray\r\n\r\nno end", ""))
	_, err := newClient(t).Send(t.Context(), e.target(), request("1"))
	require.ErrorIs(t, err, errStray)
}

func TestSweepClosesIdleConnections(t *testing.T) {
	e := listen(t, echo("", ""))
	client := newClient(t)
	a, err := client.Send(t.Context(), e.target(), request("1"))
	require.NoError(t, err)
	require.Equal(t, "hello!", readAll(t, a))
	client.pools.Sweep(time.Now().Add(DefaultIdleTimeout))
	require.Empty(t, client.pools.pools)
	require.True(t, strings.HasPrefix(e.seen[0], "POST"))
}

// A closed connection, also one that was cut within the head of a response, must be distinguished from a malformed
// response and from a timeout.
func TestEnded(t *testing.T) {
	for name, c := range map[string]struct {
		script func(e *endpoint, c net.Conn, r *bufio.Reader)
		ended  bool
	}{
		"closed": {func(e *endpoint, c net.Conn, r *bufio.Reader) { e.read(r) }, true},
		"cut": {func(e *endpoint, c net.Conn, r *bufio.Reader) {
			e.read(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX")
		}, true},
		"garbled": {func(e *endpoint, c net.Conn, r *bufio.Reader) {
			e.read(r)
			_, _ = io.WriteString(c, "no answer\r\n\r\n")
		}, false},
		"silent": {func(e *endpoint, _ net.Conn, r *bufio.Reader) { e.read(r); e.read(r) }, false},
	} {
		e := listen(t, c.script)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		_, err := newClient(t).Send(ctx, e.target(), request("a"))
		cancel()
		require.Error(t, err, name)
		require.Equal(t, c.ended, ConnectionClosed(err), "%s: %v", name, err)
	}
	require.False(t, ConnectionClosed(nil))
}

// An endpoint counts as leaving only by its own response to the request. Responses without the request's
// identifier, to another request or from another endpoint at the address must not count.
func TestLeavingIsReportedOnlyByTheEndpointItself(t *testing.T) {
	for name, c := range map[string]struct {
		head     string
		reported int
	}{
		"its own":          {"200 OK\r\nId: a\r\nGoing: 1", 1},
		"a rejection":      {"503 Busy\r\nId: a\r\nGoing: 1", 1},
		"no name":          {"200 OK\r\nGoing: 1", 0},
		"to another":       {"200 OK\r\nId: b\r\nGoing: 1", 0},
		"another endpoint": {"421 Other\r\nId: a\r\nGoing: 1", 0},
		"staying":          {"200 OK\r\nId: a", 0},
	} {
		e := listen(t, func(e *endpoint, conn net.Conn, r *bufio.Reader) {
			e.read(r)
			_, _ = io.WriteString(conn, "HTTP/1.1 "+c.head+"\r\nContent-Length: 0\r\n\r\n")
		})
		pools := NewPools()
		reported := 0
		client := NewClient(pools, testDialect{}, Events{OnLeaving: func(target Target) {
			require.Equal(t, e.target(), target)
			reported++
		}})
		if answer, err := client.Send(t.Context(), e.target(), request("a")); err == nil {
			answer.Close()
		}
		pools.Close()
		require.Equal(t, c.reported, reported, name)
	}
}

// A refused connection, and a new one that ends without a response, show that no process serves the address. Other failures do
// not.
func TestRefusedConnectionsAreReported(t *testing.T) {
	var refused []Target
	client := newClientWith(t, Events{OnRefused: func(target Target) { refused = append(refused, target) }})

	listening := listen(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		if id, _, _ := e.read(r); id == "served" {
			_, _ = io.WriteString(c, response(id, "x"))
			e.read(r)
		}
		_ = c.Close()
	})
	_, err := client.Send(t.Context(), listening.target(), request("1"))
	require.Error(t, err)
	require.Equal(t, []Target{listening.target()}, refused)
	refused = nil
	a, err := client.Send(t.Context(), listening.target(), request("served"))
	require.NoError(t, err)
	require.Equal(t, "x", readAll(t, a))
	_, err = client.Send(t.Context(), listening.target(), request("2"))
	require.Error(t, err)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = client.Send(ended, listening.target(), request("2"))
	require.Error(t, err)
	require.Empty(t, refused)

	gone := listening.target()
	require.NoError(t, listening.listener.Close())
	_, err = client.Send(t.Context(), gone, request("3"))
	require.Error(t, err)
	require.Equal(t, []Target{gone}, refused)
}

// Connections that the endpoint closes are reported: in the middle of an exchange, and while they are idle. Idle connections that
// the endpoint has said it would close, or that this side has kept for too long, are not.
func TestLostConnectionsAreReported(t *testing.T) {
	var lost []Target
	client := newClientWith(t, Events{OnConnectionLost: func(target Target) { lost = append(lost, target) }})
	closes := listen(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		id, _, _ := e.read(r)
		_, _ = io.WriteString(c, response(id, "x"))
		e.read(r)
		_ = c.Close()
	})
	a, err := client.Send(t.Context(), closes.target(), request("1"))
	require.NoError(t, err)
	require.Equal(t, "x", readAll(t, a))
	_, err = client.Send(t.Context(), closes.target(), request("2"))
	require.Error(t, err)
	require.Equal(t, []Target{closes.target()}, lost)

	ends := make(chan struct{})
	once := listen(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		id, _, _ := e.read(r)
		_, _ = io.WriteString(c, response(id, "x"))
		<-ends
		_ = c.Close()
	})
	idle := func() *conn {
		a, err := client.Send(t.Context(), once.target(), request("1"))
		require.NoError(t, err)
		require.Equal(t, "x", readAll(t, a))
		c := client.pools.pop(once.target(), time.Now())
		require.NotNil(t, c)
		ends <- struct{}{}
		require.Eventually(t, func() bool { return !c.noPendingInput() }, 5*time.Second, time.Millisecond)
		return c
	}
	for _, closedAsAnnounced := range []bool{false, true} {
		lost = nil
		c := idle()
		if closedAsAnnounced {
			c.keepAliveUntil = time.Now().Add(-time.Millisecond)
		}
		client.pools.put(once.target(), c, time.Now())
		require.Nil(t, client.pools.take(once.target(), time.Now()))
		require.Equal(t, !closedAsAnnounced, len(lost) == 1)
	}
	lost = nil
	client.pools.put(once.target(), idle(), time.Now())
	require.Nil(t, client.pools.take(once.target(), time.Now().Add(DefaultIdleTimeout)))
	require.Empty(t, lost)
}

// A response on a connection that has carried others shows since when the process has run. One on a new connection does not.
func TestConnectionsThatAreAliveAreReported(t *testing.T) {
	e := listen(t, echo("", ""))
	var opened []time.Time
	client := newClientWith(t, Events{OnConnectionAlive: func(_ Target, since, sent time.Time) {
		require.True(t, since.Before(sent))
		opened = append(opened, since)
	}})
	begun := time.Now()
	a, err := client.Send(t.Context(), e.target(), request("1"))
	require.NoError(t, err)
	readAll(t, a)
	require.Empty(t, opened)
	answered := time.Now()
	a, err = client.Send(t.Context(), e.target(), request("2"))
	require.NoError(t, err)
	readAll(t, a)
	require.Len(t, opened, 1)
	require.WithinRange(t, opened[0], begun, answered)
}

// Guards against a request that the system goes on to send after it was given up: the endpoint sees a reset.
func TestConnectionIsResetOnFailure(t *testing.T) {
	ended := make(chan error, 1)
	e := listen(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		_, _, _ = e.read(r)
		_, err := r.ReadByte()
		ended <- err
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	req := request("1")
	req.ResetOnFailure = true
	_, err := newClient(t).Send(ctx, e.target(), req)
	require.Error(t, err)
	require.ErrorIs(t, <-ended, syscall.ECONNRESET)
}

// A request that BeforeSend holds back is not sent, and a connection that has carried such requests is closed in order.
func TestRequestIsHeldBackBeforeItIsSent(t *testing.T) {
	ended := make(chan error, 1)
	e := listen(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		id, body, _ := e.read(r)
		_, _ = io.WriteString(c, response(id, body))
		_, err := r.ReadByte()
		ended <- err
	})
	client := newClient(t)
	req := request("1")
	req.ResetOnFailure = true
	a, err := client.Send(t.Context(), e.target(), req)
	require.NoError(t, err)
	readAll(t, a)
	req.BeforeSend = func() error { return ErrWithheld }
	_, err = client.Send(t.Context(), e.target(), req)
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
	require.ErrorIs(t, err, ErrWithheld)
	require.Equal(t, io.EOF, <-ended)
}

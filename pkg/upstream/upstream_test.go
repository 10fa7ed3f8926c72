package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/dialect"
)

// testDialect reads the few headers that matter here.
type testDialect struct{ dialect.Dialect }

func (testDialect) Judge(status int, h http.Header) dialect.Verdict {
	return dialect.Verdict{
		RequestID: h.Get("Id"), NotRun: status == http.StatusServiceUnavailable, Misdirected: status == http.StatusMisdirectedRequest,
		Signed: true, Leaving: h.Get("Going") != "",
	}
}

// endpoint is a server whose connections are handled by a script.
type endpoint struct {
	listener net.Listener
	mu       sync.Mutex
	conns    int
	seen     []string
}

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

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

func newClient(t *testing.T) *Client {
	pools := NewPools()
	t.Cleanup(pools.Close)
	return NewClient(pools, testDialect{}, Events{})
}

func request(id string) Request {
	return Request{Method: http.MethodPost, URI: "/a/b?c=%2F", Host: "one.example", Header: http.Header{"Id": {id}}, Body: []byte("hello"), ID: id}
}

// echo answers each request with its own identifier, after before, and before after.
func echo(before, after string) func(e *endpoint, c net.Conn, r *bufio.Reader) {
	return func(e *endpoint, c net.Conn, r *bufio.Reader) {
		for {
			id, body, ok := e.read(r)
			if !ok {
				return
			}
			if _, err := io.WriteString(c, before+answer(id, body+"!")+after); err != nil {
				return
			}
		}
	}
}

func readAll(t *testing.T, a *Answer) string {
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

// An answer to another request, where this one's is expected, is skipped.
func TestStrayAnswersAreSkipped(t *testing.T) {
	e := listen(t, echo(answer("stray", "not yours"), ""))
	a, err := newClient(t).Send(t.Context(), e.target(), request("1"))
	require.NoError(t, err)
	require.Equal(t, "hello!", readAll(t, a))
}

// A connection with bytes behind the answer is not used again.
func TestBytesBehindAnAnswerEndTheConnection(t *testing.T) {
	e := listen(t, echo("", answer("1", "again")))
	client := newClient(t)
	for _, id := range []string{"1", "2"} {
		a, err := client.Send(t.Context(), e.target(), request(id))
		require.NoError(t, err)
		require.Equal(t, id, a.Verdict.RequestID)
		require.Equal(t, "hello!", readAll(t, a))
	}
	require.Equal(t, 2, e.connections())
}

// Bytes that arrive on an idle connection end it too.
func TestBytesOnAnIdleConnectionEndIt(t *testing.T) {
	sent := make(chan struct{})
	e := listen(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		for {
			id, _, ok := e.read(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, answer(id, "x"))
			if id == "1" {
				// The client must have taken the answer before the extra bytes arrive.
				<-sent
				_, _ = io.WriteString(c, answer("1", "late"))
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

// The end of the connection ends a body without a length; a body with one must be whole.
func TestBodiesAreWhole(t *testing.T) {
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

// A body that a reset ends is not whole, even without a length.
func TestAResetBodyIsNotWhole(t *testing.T) {
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

// Only a request of which nothing was sent counts as not sent.
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

// When the request's context ends, the endpoint sees its connection end.
func TestAnEndedContextEndsTheConnection(t *testing.T) {
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

// A connection is not used close to the end of the time that its endpoint keeps it.
func TestKeepAliveIsKeptTo(t *testing.T) {
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
	require.True(t, c.fresh(now.Add(time.Second)))
	require.False(t, c.fresh(now.Add(2*time.Second)))
	_ = c.Close()
}

func TestASkippedAnswerMustBeFramed(t *testing.T) {
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

// An ended connection is told from an answer that is none and from a time that is over.
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
		require.Equal(t, c.ended, Ended(err), "%s: %v", name, err)
	}
	require.False(t, Ended(nil))
}

// Only an endpoint's own answer to the request says that the endpoint leaves.
func TestLeavingIsHeardFromTheEndpointItselfOnly(t *testing.T) {
	for name, c := range map[string]struct {
		head  string
		heard int
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
		heard := 0
		client := NewClient(pools, testDialect{}, Events{Leaving: func(target Target) {
			require.Equal(t, e.target(), target)
			heard++
		}})
		if answer, err := client.Send(t.Context(), e.target(), request("a")); err == nil {
			answer.Close()
		}
		pools.Close()
		require.Equal(t, c.heard, heard, name)
	}
}

package httponce

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/httpresponse"
)

// staleServer starts a server that responds to the first request of each connection, and closes the connection
// without a response after reading the second. It returns the server's URL and the number of requests read.
func staleServer(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	received := new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveStale(conn, received)
		}
	}()
	return "http://" + listener.Addr().String(), received
}

// serveStale serves one connection of staleServer.
func serveStale(conn net.Conn, received *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		received.Add(1)
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func newRequest(t *testing.T, method, target, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, target, strings.NewReader(body))
	require.NoError(t, err)
	return req
}

// By itself net/http replays a request if the reused connection on which it was sent is closed without a response.
// The server must read each request once only: one to open the connection, and one that fails.
func TestNeverReplays(t *testing.T) {
	cases := []struct{ method, body, header string }{
		{http.MethodGet, "", ""},
		{http.MethodGet, "", "Idempotency-Key"},
		{http.MethodPost, "{}", ""},
		{http.MethodPost, "{}", "Idempotency-Key"},
		{http.MethodPost, "", "Idempotency-Key"},
		{http.MethodPost, "", "X-Idempotency-Key"},
		{http.MethodDelete, "", "Idempotency-Key"},
	}
	for _, c := range cases {
		t.Run(c.method+" "+c.body+" "+c.header, func(t *testing.T) {
			base, received := staleServer(t)
			client := New(Options{})
			resp, err := client.Do(newRequest(t, http.MethodGet, base, ""))
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()

			req := newRequest(t, c.method, base, c.body)
			if c.header != "" {
				req.Header.Set(c.header, "k1")
			}
			_, err = client.Do(req)
			var failed *Error
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Sent)
			require.EqualValues(t, 2, received.Load())
		})
	}
}

func TestIdempotencyKeyArrives(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("Idempotency-Key"))
	}))
	defer server.Close()
	req := newRequest(t, http.MethodPost, server.URL, "{}")
	req.Header.Set("Idempotency-Key", "k1")
	resp, err := New(Options{}).Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "k1", string(body))
	require.Equal(t, "k1", req.Header.Get("Idempotency-Key"))
}

func TestBodylessGetHasNoBodyOnTheWire(t *testing.T) {
	got := make(chan *http.Request, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r }))
	defer server.Close()
	resp, err := New(Options{}).Do(newRequest(t, http.MethodGet, server.URL, ""))
	require.NoError(t, err)
	resp.Body.Close()
	req := <-got
	require.Empty(t, req.TransferEncoding)
	require.Zero(t, req.ContentLength)
}

func TestRefusedConnectionReportsNotSent(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := New(Options{}).Do(newRequest(t, http.MethodPost, server.URL, "{}"))
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
}

// If a connection fails before the first byte of the request is written, the request is sent on another
// connection, even a POST request that must not run twice.
func TestUnsentRequestGetsAnotherConnection(t *testing.T) {
	bodies := make(chan string, 2)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- string(body)
	}))
	defer server.Close()
	client := New(Options{})
	dial := client.transport.DialContext
	dials := 0
	client.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if dials++; dials == 1 && err == nil {
			conn.(*httpresponse.Conn).Conn.(*writeCountingConn).seal()
		}
		return conn, err
	}
	resp, err := client.Do(newRequest(t, http.MethodPost, server.URL, "{}"))
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, "{}", <-bodies)
	require.Empty(t, bodies)
	require.Equal(t, 2, dials)
}

func TestCancelAfterSendReportsSent(t *testing.T) {
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := New(Options{}).Do(newRequest(t, http.MethodPost, server.URL, "").WithContext(ctx))
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Sent)
	require.ErrorIs(t, err, context.Canceled)
}

func TestRedirectIsReturnedAsResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	resp, err := New(Options{}).Do(newRequest(t, http.MethodPost, server.URL, "{}"))
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusTemporaryRedirect, resp.StatusCode)
}

func TestSealedConnectionRejectsWrites(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := &writeCountingConn{Conn: near}
	require.Zero(t, conn.seal())
	_, err := conn.Write([]byte("late"))
	require.ErrorIs(t, err, net.ErrClosed)
	require.Zero(t, conn.writesStarted())
}

package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/result"
)

// exchangeRaw sends raw bytes on a new connection and returns the response. halfClose ends the sending side
// after them.
func (s *testbed) exchangeRaw(t *testing.T, raw string, halfClose bool) (*http.Response, string) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, raw)
	require.NoError(t, err)
	if halfClose {
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res, string(body)
}

const issueHead = "POST /issues HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n"

// TestIncompleteBodies checks that a caller that stops sending in the middle of a body, or closes its side of
// the connection, gets an error and that the memory for the body is released.
func TestIncompleteBodies(t *testing.T) {
	s := newTestbed(t, threeEvents)
	s.handler.limits.BodyTimeout = 50 * time.Millisecond
	for name, halfClose := range map[string]bool{"slow": false, "half-closed": true} {
		t.Run(name, func(t *testing.T) {
			res, body := s.exchangeRaw(t, issueHead+"Content-Length: 100\r\n\r\nx", halfClose)
			require.Equal(t, http.StatusBadRequest, res.StatusCode)
			require.Equal(t, fmt.Sprint(int(result.MalformedBody)), res.Header.Get(HeaderCode))
			require.Contains(t, body, `"outcome":"not-run"`)
		})
	}
	require.Zero(t, s.endpoint.Total())
	require.Eventually(t, func() bool { return s.handler.memory.Used() == 0 }, 5*time.Second, time.Millisecond)
}

func TestEndlessChunkedBody(t *testing.T) {
	s := newTestbed(t, threeEvents)
	s.handler.limits.MaxBody = 10_000
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 20_000, strings.Repeat("x", 20_000))
	res, _ := s.exchangeRaw(t, issueHead+"Transfer-Encoding: chunked\r\n\r\n"+chunk, false)
	require.Equal(t, http.StatusRequestEntityTooLarge, res.StatusCode)
}

func TestMemoryLimit(t *testing.T) {
	s := newTestbed(t, threeEvents)
	s.handler.memory.SetLimit(100)
	status, body, header := s.do(t, "POST", "/issues", "x", nil)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, string(body), "queue-full")
	require.Equal(t, "1", header.Get("Retry-After"))
	require.Zero(t, s.handler.memory.Used())
}

func TestSlowReaderIsCutOff(t *testing.T) {
	server, client := net.Pipe()
	defer client.Close()
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sink := newWriter(w, "id", 20*time.Millisecond)
		err := sink.Answer(http.StatusOK, nil, make([]byte, 1<<20))
		if err == nil {
			t.Error("the write did not time out although the caller does not read")
		}
	})
	done := make(chan struct{})
	srv := &http.Server{Handler: h, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			close(done)
		}
	}}
	go srv.Serve(&singleConnListener{conn: server})
	_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	<-done
	require.NoError(t, srv.Close())
}

// singleConnListener is a net.Listener that accepts one given connection.
type singleConnListener struct{ conn net.Conn }

func (l *singleConnListener) Accept() (net.Conn, error) {
	conn := l.conn
	l.conn = nil
	if conn == nil {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l *singleConnListener) Close() error   { return nil }
func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

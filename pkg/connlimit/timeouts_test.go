package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startServer starts a server whose connections are tracked for timeouts, and returns its address.
func startServer(t *testing.T) (*TimeoutEnforcer, string) {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	watch := NewTimeoutEnforcer(server.Config, nil)
	// Start wraps the ConnState hook that NewTimeoutEnforcer has set, so NewTimeoutEnforcer comes before it.
	server.Start()
	t.Cleanup(server.Close)
	return watch, server.Listener.Addr().String()
}

// dial opens a connection that is closed when the test ends.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// sendRequest sends a request over the connection and reads the whole response.
func sendRequest(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.ReadAll(res.Body)
	require.NoError(t, err)
}

// countWaiting returns the number of waiting connections that are new, or of those that are not.
func (e *TimeoutEnforcer) countWaiting(isNew bool) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, wait := range e.conns {
		if wait.isNew == isNew {
			n++
		}
	}
	return n
}

// requireClosed fails the test unless the other side closes the connection within 5 s.
func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := conn.Read(make([]byte, 1))
	require.Error(t, err)
	var timeout net.Error
	if e, ok := err.(net.Error); ok {
		timeout = e
	}
	require.False(t, timeout != nil && timeout.Timeout(), "the connection is still open")
}

// A connection on which no whole header arrives is closed after the header timeout. One that has carried a
// request may stay idle for longer, and is closed after the header and idle timeouts together.
func TestSlowAndIdleConnectionsAreClosed(t *testing.T) {
	watch, address := startServer(t)
	slow, idle := dial(t, address), dial(t, address)
	_, err := io.WriteString(slow, "GET / HT")
	require.NoError(t, err)
	sendRequest(t, idle)
	require.Eventually(t, func() bool { return watch.countWaiting(true) == 1 && watch.countWaiting(false) == 1 }, 5*time.Second, time.Millisecond)
	timeouts := Timeouts{Header: 2 * time.Second, Idle: 10 * time.Second}
	now := time.Now()
	watch.CloseExpired(timeouts, now.Add(time.Second))
	sendRequest(t, idle)
	require.Equal(t, 1, watch.countWaiting(true))
	watch.CloseExpired(timeouts, now.Add(3*time.Second))
	requireClosed(t, slow)
	sendRequest(t, idle)
	require.Eventually(t, func() bool { return watch.countWaiting(false) == 1 }, 5*time.Second, time.Millisecond)
	watch.CloseExpired(timeouts, time.Now().Add(13*time.Second))
	requireClosed(t, idle)
}

// A connection whose request is still being served must not be closed, however long the request takes.
func TestBusyConnectionIsKept(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, _ = io.WriteString(w, "ok")
	}))
	watch := NewTimeoutEnforcer(server.Config, nil)
	server.Start()
	t.Cleanup(server.Close)
	conn := dial(t, server.Listener.Addr().String())
	done := make(chan struct{})
	go func() {
		defer close(done)
		sendRequest(t, conn)
	}()
	// Before the connection has been accepted, no connection is waiting either.
	<-begun
	require.Eventually(t, func() bool { return watch.countWaiting(true)+watch.countWaiting(false) == 0 }, 5*time.Second, time.Millisecond)
	watch.CloseExpired(Timeouts{}, time.Now().Add(time.Hour))
	close(release)
	<-done
}

package callers

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

// serve runs a server whose connections are watched.
func serve(t *testing.T) (*Watch, string) {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	watch := NewWatch(server.Config)
	// The test server notes states, too.
	server.Start()
	t.Cleanup(server.Close)
	return watch, server.Listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func ask(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.ReadAll(res.Body)
	require.NoError(t, err)
}

func (w *Watch) waitingFor(fresh bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, wait := range w.conns {
		if wait.fresh == fresh {
			n++
		}
	}
	return n
}

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

// A caller that opens a connection and sends no whole header is given up after the header's time; one that
// has sent a request may stay idle longer.
func TestSlowAndIdleCallersAreGivenUp(t *testing.T) {
	watch, address := serve(t)
	slow, idle := dial(t, address), dial(t, address)
	_, err := io.WriteString(slow, "GET / HT")
	require.NoError(t, err)
	ask(t, idle)
	require.Eventually(t, func() bool { return watch.waitingFor(true) == 1 && watch.waitingFor(false) == 1 }, 5*time.Second, time.Millisecond)
	patience := Patience{Header: 2 * time.Second, Idle: 10 * time.Second}
	now := time.Now()
	watch.Sweep(patience, now.Add(time.Second))
	ask(t, idle)
	require.Equal(t, 1, watch.waitingFor(true))
	watch.Sweep(patience, now.Add(3*time.Second))
	requireClosed(t, slow)
	ask(t, idle)
	require.Eventually(t, func() bool { return watch.waitingFor(false) == 1 }, 5*time.Second, time.Millisecond)
	watch.Sweep(patience, time.Now().Add(13*time.Second))
	requireClosed(t, idle)
}

// A request that is being served is not given up.
func TestBusyConnectionsStay(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "ok")
	}))
	watch := NewWatch(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	conn := dial(t, server.Listener.Addr().String())
	done := make(chan struct{})
	go func() {
		defer close(done)
		ask(t, conn)
	}()
	require.Eventually(t, func() bool { return watch.waitingFor(true)+watch.waitingFor(false) == 0 }, 5*time.Second, time.Millisecond)
	watch.Sweep(Patience{}, time.Now().Add(time.Hour))
	close(release)
	<-done
}

package connlimit

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// A connection over the limit is closed at once. Closing one connection twice must make room for one only once.
func TestListenerClosesConnectionOverLimit(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	registry := metrics.NewRegistry()
	l := LimitListener(inner, 1, registry, nil)
	defer l.Close()
	accepted := make(chan net.Conn, 3)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	dial()
	first := <-accepted
	_, err = dial().Read(make([]byte, 1))
	require.Error(t, err, "the connection over the limit is closed at once")
	require.Equal(t, int64(1), metrics.GetOrRegisterCounter(MetricConnectionsRefused, registry).Count())
	first.Close()
	first.Close()
	dial()
	<-accepted
}

// An HTTP server on the listener serves connections up to the limit, and a new one once another has closed.
func TestServerClosesConnectionsOverLimit(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	registry := metrics.NewRegistry()
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(LimitListener(l, 2, registry, nil)) }()
	t.Cleanup(func() { _ = server.Close() })
	first, second := dial(t, l.Addr().String()), dial(t, l.Addr().String())
	sendRequest(t, first)
	sendRequest(t, second)
	requireClosed(t, dial(t, l.Addr().String()))
	require.EqualValues(t, 1, metrics.GetOrRegisterCounter(MetricConnectionsRefused, registry).Count())
	_ = first.Close()
	require.Eventually(t, func() bool {
		return metrics.GetOrRegisterGauge(MetricConnections, registry).Value() == 1
	}, 5*time.Second, time.Millisecond)
	sendRequest(t, dial(t, l.Addr().String()))
}

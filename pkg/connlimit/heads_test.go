package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/memory"
)

// headServer is a server behind a HeadLimiter.
type headServer struct {
	address  string
	memory   *memory.Budget
	enforcer *TimeoutEnforcer
	refusals *Refusals
	registry metrics.Registry
}

func startHeadServer(t *testing.T, maxBytes, memoryBytes int64, handler http.HandlerFunc) *headServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &headServer{address: l.Addr().String(), memory: memory.NewBudget(memoryBytes), registry: metrics.NewRegistry()}
	s.refusals = NewRefusals(s.registry)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.enforcer = NewTimeoutEnforcer(server, s.refusals)
	limiter := &HeadLimiter{MaxBytes: func() int64 { return maxBytes }, Memory: s.memory, Refusals: s.refusals}
	limited := limiter.Listener(LimitListener(l, 100, s.registry, s.refusals))
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *headServer) count(reason string) int64 {
	return metrics.GetOrRegisterCounter(reason, s.registry).Count()
}

func respondOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// headOf returns a head of n bytes.
func headOf(n int) string {
	const start, end = "GET / HTTP/1.1\r\nHost: x\r\nX-F: ", "\r\n\r\n"
	return start + strings.Repeat("f", n-len(start)-len(end)) + end
}

// exchange sends text and returns the response.
func exchange(t *testing.T, conn net.Conn, text string) *http.Response {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.ReadAll(res.Body)
	require.NoError(t, err)
	return res
}

// Guards against heads beyond the limit that are read on, and against a limit that refuses a head of just that size, also on a
// connection that has carried requests.
func TestHeadsAreBounded(t *testing.T) {
	const limit = 20_000
	s := startHeadServer(t, limit, 1<<20, respondOK)
	conn := dial(t, s.address)
	for range 3 {
		require.Equal(t, http.StatusOK, exchange(t, conn, headOf(limit)).StatusCode)
	}
	// net/http may have read a part of a later head, up to its buffer, while it watched the connection of the request before.
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, exchange(t, conn, headOf(limit+FreeHeadBytes+1)).StatusCode)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, exchange(t, dial(t, s.address), headOf(limit+1)).StatusCode)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, exchange(t, dial(t, s.address), headOf(500_000)).StatusCode)
	require.EqualValues(t, 3, s.count(ReasonHeadTooLarge))
	require.Eventually(t, func() bool { return s.memory.Used() == 0 }, 5*time.Second, time.Millisecond, "memory of closed connections")
}

// Guards against heads that together take more than their memory, against ordinary heads that are refused while it is exhausted, and
// against memory that is not given back.
func TestHeadsShareTheirMemory(t *testing.T) {
	begun, release := make(chan struct{}, 1), make(chan struct{})
	s := startHeadServer(t, 20_000, 70_000, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-F") != "" && len(r.Header.Get("X-F")) > FreeHeadBytes {
			begun <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	})
	first := dial(t, s.address)
	_, err := io.WriteString(first, headOf(20_000))
	require.NoError(t, err)
	<-begun
	heldByFirst := s.memory.Used()
	res := exchange(t, dial(t, s.address), headOf(10_000))
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.Equal(t, "1", res.Header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, exchange(t, dial(t, s.address), headOf(FreeHeadBytes)).StatusCode)
	held := s.memory.Used()
	close(release)
	require.Equal(t, http.StatusOK, exchange(t, first, "").StatusCode)
	// The memory is given back after the response has been sent.
	require.Eventually(t, func() bool { return s.memory.Used() <= held-heldByFirst }, 5*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, exchange(t, dial(t, s.address), headOf(10_000)).StatusCode)
	require.EqualValues(t, 1, s.count(ReasonHeadMemory))
}

// Guards against a head on a connection that was idle for long being cut off before its own time, and against one that never
// ends keeping the idle time on top.
func TestHeaderTimeoutCountsFromTheFirstByte(t *testing.T) {
	s := startHeadServer(t, 20_000, 1<<20, respondOK)
	conn := dial(t, s.address)
	exchange(t, conn, headOf(100))
	_, err := io.WriteString(conn, "GET / HT")
	require.NoError(t, err)
	timeouts := Timeouts{Header: 2 * time.Second, Idle: time.Hour}
	var begun time.Time
	require.Eventually(t, func() bool {
		s.enforcer.mu.Lock()
		defer s.enforcer.mu.Unlock()
		for c := range s.enforcer.conns {
			begun, _ = c.(*headConn).headSince()
		}
		return begun.After(clockBase)
	}, 5*time.Second, time.Millisecond)
	s.enforcer.CloseExpired(timeouts, begun.Add(2*time.Second))
	require.Zero(t, s.count(ReasonHeadTimeout), "a head that takes just the timeout")
	s.enforcer.CloseExpired(timeouts, begun.Add(2*time.Second+headSlack+time.Millisecond))
	require.EqualValues(t, 1, s.count(ReasonHeadTimeout))
	requireClosed(t, conn)
}

// Guards against a log that grows with the number of hostile callers, or says nothing about them.
func TestRefusalsAreLoggedInOneLine(t *testing.T) {
	r := NewRefusals(metrics.NewRegistry())
	log, hook := logtest.NewNullLogger()
	r.Log(log)
	require.Empty(t, hook.Entries)
	for i := range 100 {
		r.Add(ReasonHeadTooLarge, &net.TCPAddr{IP: net.IPv4(10, 0, 0, byte(i)), Port: i})
	}
	r.Add(ReasonHeadMemory, &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1})
	r.Log(log)
	r.Log(log)
	require.Len(t, hook.Entries, 1)
	entry := hook.LastEntry()
	require.Equal(t, logrus.WarnLevel, entry.Level)
	require.Equal(t, "refused_heads_too_large:100 refused_heads_no_memory:1", entry.Data["reasons"])
	require.Contains(t, entry.Data["addresses"], "others:84 10.0.0.1:2 ")
}

// Guards against connections that are held open locking out later ones, and against more than the maximum.
func TestEvictingListenerClosesTheOldest(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(respondOK), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(EvictingListener(inner, 2)) }()
	t.Cleanup(func() { _ = server.Close() })
	address := inner.Addr().String()
	first, second := dial(t, address), dial(t, address)
	sendRequest(t, first)
	sendRequest(t, second)
	sendRequest(t, dial(t, address))
	requireClosed(t, first)
	sendRequest(t, second)
}

// Guards against a body that stops arriving after its handler has returned holding the connection, and against a deadline that
// outlives its request.
func TestUnreadBodyIsNotAwaited(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: LimitUnreadBodies(http.HandlerFunc(respondOK)), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	stopped, whole := dial(t, l.Addr().String()), dial(t, l.Addr().String())
	_, err = io.WriteString(stopped, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nb")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, exchange(t, whole, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nb").StatusCode)
	require.NoError(t, stopped.SetReadDeadline(time.Now().Add(2*unreadBodyTimeout)))
	_, err = io.Copy(io.Discard, stopped)
	require.NotErrorIs(t, err, net.ErrClosed)
	var timeout net.Error
	require.NotErrorAs(t, err, &timeout)
	require.Equal(t, http.StatusOK, exchange(t, whole, headOf(100)).StatusCode)
}

package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/memory"
)

// smallBuffer is the size of socket buffers in bytes with which a few kilobytes that are not read block the writer.
const smallBuffer = 4 << 10

// eventsOf returns events with IDs from 1 on that have size bytes or a little more.
func eventsOf(size int) string {
	var s strings.Builder
	for i := 1; s.Len() < size; i++ {
		fmt.Fprintf(&s, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 200))
	}
	return s.String()
}

// outcomes returns the outcomes that the dispatcher has got.
func (b *testbed) outcomes() []Outcome {
	b.dispatcher.mu.Lock()
	defer b.dispatcher.mu.Unlock()
	return slices.Clone(b.dispatcher.outcomes)
}

// slowCaller is a caller that reads its response only when the test does.
type slowCaller struct {
	net.Conn
}

// callSlowly sends a request over a connection with a small receive buffer.
func (b *testbed) callSlowly(path string, header map[string]string) *slowCaller {
	dialer := net.Dialer{ControlContext: smallReceiveBuffer}
	conn, err := dialer.DialContext(b.t.Context(), "tcp", strings.TrimPrefix(b.server.URL, "http://"))
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = conn.Close() })
	var fields strings.Builder
	for name, value := range header {
		fields.WriteString(name + ": " + value + "\r\n")
	}
	_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: key\r\nContent-Length: 0\r\n"+fields.String()+"\r\n")
	require.NoError(b.t, err)
	return &slowCaller{conn}
}

// readSlowly reads n bytes, one at a time, at a rate in bytes a second.
func (s *slowCaller) readSlowly(t *testing.T, n, rate int) string {
	var read strings.Builder
	start := time.Now()
	for i := range n {
		var one [1]byte
		_, err := io.ReadFull(s.Conn, one[:])
		require.NoError(t, err)
		read.Write(one[:])
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / time.Duration(rate))))
	}
	return read.String()
}

// finish reads the rest of a response of which read has been read, and returns its body. The error is that of a response
// that breaks off.
func (s *slowCaller) finish(t *testing.T, read string) (string, error) {
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(read), s.Conn)), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// respondUnlessUnread responds with body and resets the connection once a write has been blocked for limit. A length is
// stated if stated is true.
func respondUnlessUnread(body string, stated bool, limit time.Duration) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_ = conn.(*net.TCPConn).SetWriteBuffer(smallBuffer)
		length := "Connection: close\r\n"
		if stated {
			length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nSignature: s\r\nContent-Type: text/plain; charset=utf-8\r\n"+length+"\r\n")
		for left := body; left != ""; {
			part := left[:min(len(left), 1000)]
			_ = conn.SetWriteDeadline(time.Now().Add(limit))
			if _, err := io.WriteString(conn, part); err != nil {
				_ = conn.(*net.TCPConn).SetLinger(0)
				return
			}
			left = left[len(part):]
		}
	}
}

// Guards against the loss of responses that an endpoint cuts off because they stay unread: what the caller does not take is
// read ahead.
func TestResponseThatACallerReadsSlowlyIsNotCutByItsEndpoint(t *testing.T) {
	for path, stated := range map[string]bool{"/stream/": false, "/unsafe/": true} {
		body := eventsOf(300 << 10)
		b := newTestbed(t, respondUnlessUnread(body, stated, 600*time.Millisecond))
		b.memory.SetLimit(16 << 20)
		b.smallBuffers.Store(true)
		caller := b.callSlowly(path, nil)
		read := caller.readSlowly(t, 100, 50)
		got, err := caller.finish(t, read)
		require.NoError(t, err, path)
		require.Equal(t, body, got, path)
		require.Eventually(t, func() bool { return b.memory.Used() == 0 }, time.Second, time.Millisecond, path)
	}
}

// withStallLimit sets the stall limit, and has writes checked often.
func (b *testbed) withStallLimit(limit time.Duration) {
	b.gateway.slow.interval = limit / 20
	b.gateway.slow.stallLimit = func(*Rules) time.Duration { return limit }
}

// Guards against cutting a caller that reads steadily, but so slowly that its response takes many times the stall limit, and ends
// after the time limit of the request. Each read takes one byte. The rate is such that the caller's kernel, which reports about 4 KB
// at a time with its small buffer, does so within the stall limit.
func TestSteadyCallerGetsItsWholeResponse(t *testing.T) {
	body := eventsOf(60 << 10)
	for path, endpoint := range map[string]handler{
		"/stream/": respondUnlessUnread(body, false, 300*time.Millisecond),
		"/safe/":   respondUnlessUnread(body, true, 300*time.Millisecond),
	} {
		b := newTestbed(t, endpoint)
		b.smallBuffers.Store(true)
		b.withStallLimit(time.Second)
		caller := b.callSlowly(path, map[string]string{"Patience": "600"})
		read := caller.readSlowly(t, 50_000, 20_000)
		got, err := caller.finish(t, read)
		require.NoError(t, err, path)
		require.Equal(t, body, got, path)
		require.Zero(t, b.gateway.meters.callersStalled.Count(), path)
	}
}

// Guards against connections and memory that callers hold without limit that read nothing: their connections are closed, the
// endpoint's response ends, and a single log line tells of many.
func TestCallersThatReadNothingAreClosed(t *testing.T) {
	const callers = 10
	for path, stated := range map[string]bool{"/stream/": false, "/unsafe/": true, "/safe/": true} {
		size := 600 << 10
		if path == "/safe/" {
			size = 60 << 10
		}
		b := newTestbed(t, respondUnlessUnread(eventsOf(size), stated, time.Minute))
		b.memory.SetLimit(16 << 20)
		b.smallBuffers.Store(true)
		b.withStallLimit(400 * time.Millisecond)
		slow := make([]*slowCaller, callers)
		for i := range slow {
			slow[i] = b.callSlowly(path, nil)
			// One after the other, so that no connection to the endpoint fails for lack of time on a busy machine.
			<-b.received
		}
		require.Eventually(t, func() bool { return b.gateway.meters.callersStalled.Count() == callers && b.gateway.Running() == 0 }, 5*time.Second, time.Millisecond, path)
		require.Zero(t, b.memory.Used(), path)
		lines := 0
		for _, entry := range b.logHook.AllEntries() {
			if entry.Data["event"] == "caller_stalled" {
				lines++
			}
		}
		require.GreaterOrEqual(t, lines, 1, path)
		require.LessOrEqual(t, lines, 2, path)
		for _, s := range slow {
			_, err := io.Copy(io.Discard, s.Conn)
			require.NoError(t, err, "what was sent before is followed by the end of the connection")
		}
	}
}

// Guards against memory that grows with the number of slow callers: what is read ahead stays within its share, an endpoint waits
// then, other callers are served, and all callers get their whole responses.
func TestMemoryForSlowCallersIsBounded(t *testing.T) {
	const callers = 30
	body := eventsOf(400 << 10)
	b := newTestbed(t, respondUnlessUnread(body, false, time.Minute))
	b.memory.SetLimit(4 << 20)
	// The time limit of the requests is not what is tested: the callers read one after the other.
	stream := b.rules.Bundle.Routes["stream"]
	stream.Timeout = time.Minute
	b.rules.Bundle.Routes["stream"] = stream
	b.rules = NewRules(b.rules.Bundle.Indexed())
	b.smallBuffers.Store(true)
	slow := make([]*slowCaller, callers)
	for i := range slow {
		slow[i] = b.callSlowly("/stream/", nil)
		// One after the other, so that no connection to the endpoint fails for lack of time on a busy machine.
		<-b.received
	}
	bound := int64(responseMemoryShare * slowCallerMemoryShare * (4 << 20))
	require.Eventually(t, func() bool { return b.gateway.slow.memory.Used() > bound/2 }, 3*time.Second, time.Millisecond)
	for range 200 {
		require.LessOrEqual(t, usedSettled(b.gateway.slow.memory), bound)
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, body, b.do("/stream/", nil, "").body, "a caller that reads")
	for _, s := range slow {
		got, err := s.finish(t, "")
		require.NoError(t, err)
		require.Equal(t, body, got)
	}
	require.Eventually(t, func() bool { return b.memory.Used() == 0 }, time.Second, time.Millisecond)
}

// usedSettled returns what is reserved in a budget. Used also counts bytes that a refused call of Reserve is about to give back.
func usedSettled(b *memory.Budget) int64 {
	used := b.Used()
	for range 10 {
		time.Sleep(10 * time.Microsecond)
		used = min(used, b.Used())
	}
	return used
}

// Guards against more memory for a single slow caller than the bound of one response.
func TestMemoryForOneSlowCallerIsBounded(t *testing.T) {
	b := newTestbed(t, respondUnlessUnread(eventsOf(8<<20), true, time.Minute))
	b.memory.SetLimit(64 << 20)
	b.smallBuffers.Store(true)
	_ = b.callSlowly("/unsafe/", nil)
	require.Eventually(t, func() bool { return b.gateway.slow.memory.Used() == readAheadLimit }, 3*time.Second, time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	require.EqualValues(t, readAheadLimit, b.gateway.slow.memory.Used())
}

// Guards against the loss of events that had arrived when the endpoint broke off while its caller read slowly: they are delivered
// before the break is shown.
func TestSlowCallerGetsWhatArrivedBeforeABreak(t *testing.T) {
	events := eventsOf(100 << 10)
	b := newTestbed(t, flushThenDrop(events+"id: 9999\ndata: incompl"))
	b.memory.SetLimit(16 << 20)
	b.smallBuffers.Store(true)
	caller := b.callSlowly("/stream/", nil)
	got, err := caller.finish(t, caller.readSlowly(t, 100, 200))
	require.Error(t, err, "the break is shown")
	require.Equal(t, events, got)
	require.EqualValues(t, 1, b.gateway.meters.readAhead.Count())
	require.True(t, b.outcomes()[0].Failed)
}

// Guards against events that a resumed stream repeats or leaves out after a part of it was read ahead.
func TestStreamReadAheadIsResumedAfterItsLastEvent(t *testing.T) {
	first, whole := eventsOf(100<<10), eventsOf(200<<10)
	b := newTestbed(t, flushThenDrop(first+"id: 9999\ndata: incompl"), respondUnlessUnread(whole[len(first):], false, time.Minute))
	b.memory.SetLimit(16 << 20)
	b.smallBuffers.Store(true)
	caller := b.callSlowly("/resume/", nil)
	got, err := caller.finish(t, caller.readSlowly(t, 100, 200))
	require.NoError(t, err)
	require.Equal(t, whole, got)
	<-b.received
	resumed := <-b.received
	require.Equal(t, fmt.Sprint(strings.Count(first, "id: ")), resumed.Header.Get("Last"))
}

// Guards against slow callers that occupy the slots of an endpoint: the endpoint's part ends once its whole response has arrived,
// not when the caller has read it.
func TestSlowCallerDoesNotOccupyItsEndpoint(t *testing.T) {
	body := eventsOf(200 << 10)
	b := newTestbed(t, respondUnlessUnread(body, false, time.Minute))
	b.memory.SetLimit(16 << 20)
	b.smallBuffers.Store(true)
	caller := b.callSlowly("/stream/", nil)
	require.Eventually(t, func() bool { return len(b.outcomes()) == 1 }, 2*time.Second, time.Millisecond)
	got, err := caller.finish(t, "")
	require.NoError(t, err)
	require.Equal(t, body, got)
	require.Len(t, b.outcomes(), 1)
	require.False(t, b.outcomes()[0].Failed)
}

// Guards against reading ahead for callers that read: they get each event as it arrives.
func TestNothingIsReadAheadForCallersThatRead(t *testing.T) {
	b := newTestbed(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := range 5 {
			_, _ = io.WriteString(w, numberedEvents(i+1, i+1))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(150 * time.Millisecond)
		}
	})
	require.Equal(t, numberedEvents(1, 5), b.do("/stream/", nil, "").body)
	require.Zero(t, b.gateway.meters.readAhead.Count())
}

// stuckWriter is a response writer that records deadlines.
type stuckWriter struct {
	http.ResponseWriter
	deadline chan time.Time
}

func (s stuckWriter) SetWriteDeadline(t time.Time) error {
	s.deadline <- t
	return nil
}

// watchWrite watches a blocked write to a caller that takes one byte every interval for total, and nothing afterwards. It returns
// after what time the connection was ended.
func watchWrite(limit, interval, total time.Duration) time.Duration {
	start := time.Now()
	writer := stuckWriter{deadline: make(chan time.Time)}
	w := writeWatch{
		slow: &slowCallers{delay: slowCallerDelay, interval: stallCheckInterval}, limit: limit, onStalled: func() {},
		control:      http.NewResponseController(writer),
		acknowledged: func() uint64 { return uint64(min(time.Since(start), total) / interval) },
	}
	w.begin()
	<-writer.deadline
	w.end()
	return time.Since(start)
}

// Guards against cutting a caller of which a byte a second arrives, however long that takes, and against waiting much longer than
// the stall limit for one that takes nothing.
func TestWriteEndsOnlyAfterTheStallLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = time.Minute
		for _, total := range []time.Duration{0, time.Hour} {
			ended := watchWrite(limit, time.Second, total)
			require.Greater(t, ended, total+limit-stallCheckInterval)
			require.LessOrEqual(t, ended, total+limit+2*stallCheckInterval)
		}
	})
}

// Guards against a stall limit that is not longer than each limit of the configuration.
func TestStallLimitIsLongerThanTheConfiguredLimits(t *testing.T) {
	require.Greater(t, stallLimit(nil), defaultTimeLimit)
	for _, b := range []*bundle.Bundle{
		{},
		{Callers: bundle.CallerLimits{HeaderTimeout: time.Hour}},
		{Callers: bundle.CallerLimits{IdleTimeout: time.Hour}},
		{Routes: map[string]bundle.Route{"r": {Timeout: time.Hour}, "s": {Timeout: time.Second}}},
	} {
		limit := stallLimit(NewRules(b.Indexed()))
		require.Greater(t, limit, max(30*time.Second, b.Callers.HeaderTimeout, b.Callers.IdleTimeout, b.Routes["r"].Timeout))
	}
}

// BenchmarkWriteWatch measures what watching adds to a write.
func BenchmarkWriteWatch(b *testing.B) {
	w := writeWatch{slow: &slowCallers{delay: slowCallerDelay}}
	for b.Loop() {
		w.begin()
		w.end()
	}
}

func smallReceiveBuffer(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBuffer) })
	if controlErr != nil {
		return controlErr
	}
	return err
}

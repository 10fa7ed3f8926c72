package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
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

// readSlowly reads n bytes, one every interval.
func (s *slowCaller) readSlowly(t *testing.T, n int, interval time.Duration) string {
	var read strings.Builder
	for range n {
		var one [1]byte
		_, err := io.ReadFull(s.Conn, one[:])
		require.NoError(t, err)
		read.Write(one[:])
		time.Sleep(interval)
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

// respondUnlessUnread responds with body and resets the connection once a write has been blocked for patience. A length is
// stated if stated is true.
func respondUnlessUnread(body string, stated bool, patience time.Duration) handler {
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
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nSignature: s\r\n"+length+"\r\n")
		for left := body; left != ""; {
			part := left[:min(len(left), 1000)]
			_ = conn.SetWriteDeadline(time.Now().Add(patience))
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
		read := caller.readSlowly(t, 100, 20*time.Millisecond)
		got, err := caller.finish(t, read)
		require.NoError(t, err, path)
		require.Equal(t, body, got, path)
		require.Eventually(t, func() bool { return b.memory.Used() == 0 }, time.Second, time.Millisecond, path)
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

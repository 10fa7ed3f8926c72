package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/connlimit"
)

// cutAfter responds with the first n bytes of a response and closes the connection.
func cutAfter(response string, n int) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(response, "ID", r.Header.Get("Id"))[:n])
		_ = c.Close()
	}
}

// Guards against responses that break off within their head and reach the caller as a success with an empty or short body.
// TestResponsesCutWithinTheirHeadFail of package upstream cuts heads after each byte.
func TestResponsesCutWithinTheirHeadAreNotPassedOn(t *testing.T) {
	for _, framing := range []string{"Content-Length: 100\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\n" + framing + "\r\n"
		for _, n := range []int{0, len("HTTP/1.1 200 OK\r\n"), len(head) - 3, len(head) - 2, len(head) - 1} {
			for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resume/"} {
				a := newTestbed(t, cutAfter(head, n)).do(path, nil, "")
				require.Equal(t, http.StatusBadGateway, a.status, "%s: %q", path, head[:n])
				require.NotContains(t, a.header, "Signature", path)
			}
		}
	}
}

// Guards against streams that look complete to callers of HTTP/1.0 though they were broken off: such a response has no other end
// than that of its connection.
func TestBrokenStreamsLookIncompleteToOlderCallers(t *testing.T) {
	for name, broken := range map[string]bool{"whole": false, "broken off": true} {
		b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, numberedEvents(1, 2))
			_ = http.NewResponseController(w).Flush()
			if broken {
				drop(w, r)
			}
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := &http.Server{Handler: b.gateway}
		go func() { _ = server.Serve(connlimit.LimitListener(listener, 10, metrics.NewRegistry(), nil)) }()
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(c, "POST /stream/ HTTP/1.0\r\nHost: h\r\nId: r1\r\nKey: key\r\n\r\n")
		require.NoError(t, err)
		answer, err := io.ReadAll(c)
		require.Contains(t, string(answer), numberedEvents(1, 2), name)
		require.Equal(t, broken, err != nil, "%s: %v", name, err)
		_ = c.Close()
		_ = server.Close()
	}
}

// A response whose stated length has not arrived is not complete, whatever part of it has.
func TestResponsesCutWithinTheirBodyLookIncomplete(t *testing.T) {
	for _, body := range []int{10, 70 << 10} {
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", body, strings.Repeat("x", body))
		head := len(response) - body
		for _, n := range []int{head, head + 1, len(response) - 1} {
			for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resume/"} {
				a := newTestbed(t, cutAfter(response, n)).do(path, nil, "")
				require.True(t, a.status == http.StatusBadGateway || a.truncated, "%d of %d bytes, %s: %d", n, len(response), path, a.status)
			}
		}
	}
}

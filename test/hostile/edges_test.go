package hostile

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/httpheader"
)

// Guards against limits that refuse callers who stay within them: requests that are exactly at a limit are served.
func TestRequestsAtTheLimitsAreServed(t *testing.T) {
	g := startGateway(t)
	t.Run("head of max_header_bytes as sent", func(t *testing.T) {
		skipKnownRed(t)
		text := head(t, nil)
		filler := "X-Filler: \r\n"
		text = strings.Replace(text, "\r\n\r\n", "\r\n"+strings.Replace(filler, ": ", ": "+strings.Repeat("f", headerBytes-len(text)-len(filler)), 1)+"\r\n", 1)
		require.Len(t, text, headerBytes)
		requireServed(t, dial(t, g), text)
	})
	t.Run("head of max_header_bytes without separators", func(t *testing.T) {
		skipKnownRed(t)
		text := head(t, nil)
		size := func() int {
			req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
			require.NoError(t, err)
			return httpheader.Size(req)
		}
		var short strings.Builder
		for i := range (headerBytes - size() - 100) / 7 {
			fmt.Fprintf(&short, "X-%04d: v\r\n", i)
		}
		text = strings.Replace(text, "\r\n\r\n", "\r\n"+short.String()+"\r\n", 1)
		text = strings.Replace(text, "\r\n\r\n", "\r\nX-Filler: "+strings.Repeat("f", headerBytes-size()-len("X-Filler"))+"\r\n\r\n", 1)
		require.Equal(t, headerBytes, size())
		requireServed(t, dial(t, g), text)
	})
	t.Run("body of max_body_bytes", func(t *testing.T) {
		skipKnownRed(t)
		body := bytes.Repeat([]byte("b"), bodyBytes)
		requireServed(t, dial(t, g), head(t, body)+string(body))
	})
	t.Run("chunked body of max_body_bytes in chunks of 1,000 bytes", func(t *testing.T) {
		skipKnownRed(t)
		text := strings.Replace(head(t, []byte("b")), "Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n", 1)
		var body strings.Builder
		for left := bodyBytes; left > 0; left -= min(left, 1000) {
			n := min(left, 1000)
			fmt.Fprintf(&body, "%x\r\n%s\r\n", n, strings.Repeat("b", n))
		}
		requireServed(t, dial(t, g), text+body.String()+"0\r\n\r\n")
	})
	t.Run("head that takes header_timeout", func(t *testing.T) {
		skipKnownRed(t)
		conn := dial(t, g)
		sendSlowly(t, conn, head(t, nil), headerTimeout-200*time.Millisecond)
		requireServed(t, conn, "")
	})
	t.Run("second head that takes header_timeout after four fifths of idle_timeout", func(t *testing.T) {
		skipKnownRed(t)
		conn := dial(t, g)
		requireServed(t, conn, head(t, nil))
		time.Sleep(idleTimeout * 4 / 5)
		sendSlowly(t, conn, head(t, nil), headerTimeout-200*time.Millisecond)
		requireServed(t, conn, "")
	})
	t.Run("connection reused after four fifths of idle_timeout", func(t *testing.T) {
		skipKnownRed(t)
		conn := dial(t, g)
		for range 3 {
			requireServed(t, conn, head(t, nil))
			time.Sleep(idleTimeout * 4 / 5)
		}
		requireServed(t, conn, head(t, nil))
	})
}

func dial(t *testing.T, g *gateway) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", g.callers)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// head returns the head of an ordinary request with the body.
func head(t *testing.T, body []byte) string {
	t.Helper()
	var text bytes.Buffer
	require.NoError(t, newRequest(hostName, fmt.Sprint("edge-", time.Now().UnixNano()), body).Write(&text))
	text.Truncate(text.Len() - len(body))
	return text.String()
}

// sendSlowly sends text in pieces that are spread evenly over the time.
func sendSlowly(t *testing.T, conn net.Conn, text string, over time.Duration) {
	t.Helper()
	const pieces = 20
	for i := range pieces {
		_, err := io.WriteString(conn, text[len(text)*i/pieces:len(text)*(i+1)/pieces])
		require.NoError(t, err)
		if i < pieces-1 {
			time.Sleep(over / (pieces - 1))
		}
	}
}

// requireServed sends text and checks that the endpoint's answer arrives.
func requireServed(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode, "%s", body)
}

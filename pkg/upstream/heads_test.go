package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// heads are heads of responses, by how they frame the body.
var heads = map[string]string{
	"length":        "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\n",
	"length first":  "HTTP/1.1 200 OK\r\nContent-Length: 100\r\nId: 1\r\n\r\n",
	"chunks":        "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	"no framing":    "HTTP/1.1 200 OK\r\nServer: x\r\nId: 1\r\n\r\n",
	"line feeds":    "HTTP/1.1 200 OK\nContent-Length: 100\nId: 1\n\n",
	"no content":    "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
	"older version": "HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\n",
	"interim":       "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\n",
}

// Guards against responses that break off within their head and count as complete ones with an empty or short body: the head is
// cut after each byte.
func TestResponsesCutWithinTheirHeadFail(t *testing.T) {
	for name, head := range heads {
		cut := 0
		e := listen(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
			if _, _, ok := e.read(r); ok {
				_, _ = io.WriteString(c, head[:cut])
			}
		})
		client := newClient(t)
		for cut = range len(head) {
			a, err := client.Send(t.Context(), e.target(), request("1"))
			if err == nil {
				a.Close()
			}
			require.Error(t, err, "%s, after %d bytes: %+v", name, cut, a)
			require.True(t, ConnectionClosed(err), "%s, after %d bytes: %v", name, cut, err)
		}
	}
}

// Guards against taking an interim response (status 1xx) for the response.
func TestInterimResponsesAreSkipped(t *testing.T) {
	for _, before := range []string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"} {
		e := listen(t, echo(before, ""))
		client := newClient(t)
		for range 2 {
			a, err := client.Send(t.Context(), e.target(), request("1"))
			require.NoError(t, err)
			require.Equal(t, 200, a.Status)
			require.Equal(t, "hello!", readAll(t, a))
		}
		require.Equal(t, 1, e.connections())
	}
}

// Interim responses without end fail the request.
func TestEndlessInterimResponsesFail(t *testing.T) {
	e := listen(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		e.read(r)
		for text := strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100); ; {
			if _, err := fmt.Fprint(c, text); err != nil {
				return
			}
		}
	})
	_, err := newClient(t).Send(t.Context(), e.target(), request("1"))
	require.ErrorIs(t, err, errHeadTooLarge)
}

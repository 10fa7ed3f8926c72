package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/result"
)

// sendRaw responds with bytes, in which ID stands for the identifier of the request, and then closes or resets the connection.
func sendRaw(text string, reset bool) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		if reset {
			time.Sleep(30 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}

// malformed are responses that are none by RFC 9110 and RFC 9112.
var malformed = map[string]string{
	"status 000":               "HTTP/1.1 000 X\r\nId: ID\r\nSignature: s\r\nContent-Length: 8\r\n\r\nraw body",
	"status 099":               "HTTP/1.1 099 X\r\nId: ID\r\nSignature: s\r\nContent-Length: 8\r\n\r\nraw body",
	"status 600":               "HTTP/1.1 600 X\r\nId: ID\r\nSignature: s\r\nContent-Length: 8\r\n\r\nraw body",
	"status 101":               "HTTP/1.1 101 X\r\nId: ID\r\nSignature: s\r\nContent-Length: 8\r\n\r\nraw body",
	"blank in a name":          "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nRaw Name: x\r\nContent-Length: 8\r\n\r\nraw body",
	"control byte in a name":   "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nRaw\x01Name: x\r\nContent-Length: 8\r\n\r\nraw body",
	"blank before a colon":     "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length : 3\r\n\r\nraw body",
	"folded line":              "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nRaw: x\r\n Content-Length: 3\r\n\r\nraw body",
	"two lengths":              "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 8\r\nContent-Length: 8\r\n\r\nraw body",
	"length and chunks":        "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 8\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nraw body\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":       "HTTP/1.0 200 OK\r\nId: ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nraw body\r\n0\r\n\r\n",
	"error with a blank":       "HTTP/1.1 500 X\r\nId: ID\r\nSignature: s\r\nRaw Name: x\r\nContent-Length: 8\r\n\r\nraw body",
	"not run with a blank":     "HTTP/1.1 503 X\r\nId: ID\r\nNot-Run: 1\r\nRaw Name: x\r\nContent-Length: 8\r\n\r\nraw body",
	"not run under status 000": "HTTP/1.1 000 X\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 8\r\n\r\nraw body",
}

// Guards against passing on a response that is malformed: it is a failure of its endpoint, and the request may have run.
func TestMalformedResponsesAreNotPassedOn(t *testing.T) {
	for name, text := range malformed {
		for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resume/"} {
			b := newTestbed(t, sendRaw(text, false))
			a := b.do(path, nil, "")
			require.Equal(t, http.StatusBadGateway, a.status, "%s, %s", name, path)
			require.NotContains(t, a.body, "raw", "%s, %s", name, path)
			require.Equal(t, string(result.MayHaveRun), a.header.Get(headerOutcome), "%s, %s", name, path)
			for field := range a.header {
				require.False(t, strings.HasPrefix(field, "Raw") || field == "Signature", "%s, %s: %s", name, path, field)
			}
			require.Equal(t, []Outcome{{Failed: true}}, b.outcomes(), "%s, %s", name, path)
		}
	}
}

// A request that may be repeated gets the response of another endpoint instead; any other is sent once.
func TestMalformedResponsesAreReplaced(t *testing.T) {
	for name, text := range malformed {
		for path, repeated := range map[string]bool{"/safe/": true, "/resume/": true, "/unsafe/": false, "/stream/": false} {
			b := newTestbed(t, sendRaw(text, false), respondWith(numberedEvents(1, 2)))
			a := b.do(path, nil, "")
			if !repeated {
				require.Equal(t, http.StatusBadGateway, a.status, "%s, %s", name, path)
				require.Equal(t, 1, b.arrivals(), "%s, %s", name, path)
				continue
			}
			require.Equal(t, http.StatusOK, a.status, "%s, %s", name, path)
			require.Equal(t, numberedEvents(1, 2), a.body, "%s, %s", name, path)
			require.Equal(t, 2, b.arrivals(), "%s, %s", name, path)
		}
	}
}

// A response that ends with its connection is complete only if the connection ends in order.
func TestResponsesThatEndWithAResetAreNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\n"
	for name, framing := range map[string]string{
		"neither": "\r\n", "interim": "\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n16\r\n", "length": "Content-Length: 1000\r\n\r\n",
	} {
		text := head + framing + numberedEvents(1, 2)
		if name == "interim" {
			text = "HTTP/1.1 103 Early\r\nId: ID\r\n\r\n" + text
		}
		for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resume/"} {
			b := newTestbed(t, sendRaw(text, true))
			a := b.do(path, nil, "")
			require.True(t, a.status == http.StatusBadGateway || a.truncated, "%s, %s: %+v", name, path, a)
			require.True(t, b.outcomes()[0].Failed, "%s, %s", name, path)
		}
	}
}

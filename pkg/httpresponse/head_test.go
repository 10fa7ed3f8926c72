package httpresponse

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// heads are heads of responses, by whether RFC 9110 and RFC 9112 allow them.
var heads = map[string]bool{
	"HTTP/1.1 200 OK\r\n\r\n":                                       true,
	"HTTP/1.1 200 \r\n\r\n":                                         true,
	"HTTP/1.1 200\r\n\r\n":                                          true,
	"HTTP/1.0 200 OK\n\n":                                           true,
	"HTTP/1.1 599 \xe4 b\tc\r\nA: b\r\n\r\n":                        true,
	"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0z: \t\x80~\r\nB:\r\n\r\n":   true,
	"HTTP/1.1 100 A\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n": true,
	"HTTP/1.1 103 A\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200\r\nContent-Length: 1\r\n\r\n": true,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nBad Name: x\r\n\r\n":             true,

	"HTTP/1.1 000 X\r\n\r\n":                                            false,
	"HTTP/1.1 099 X\r\n\r\n":                                            false,
	"HTTP/1.1 101 X\r\n\r\n":                                            false,
	"HTTP/1.1 600 X\r\n\r\n":                                            false,
	"HTTP/1.1 1000 X\r\n\r\n":                                           false,
	"HTTP/1.1 20 X\r\n\r\n":                                             false,
	"HTTP/1.1 2x0 X\r\n\r\n":                                            false,
	"HTTP/1.1 +20 X\r\n\r\n":                                            false,
	"HTTP/1.1  200 X\r\n\r\n":                                           false,
	"HTTP/1.1 200X\r\n\r\n":                                             false,
	"HTTP/1.1\r\n\r\n":                                                  false,
	"HTTP/2.0 200 X\r\n\r\n":                                            false,
	"HTTP/1.x 200 X\r\n\r\n":                                            false,
	"http/1.1 200 X\r\n\r\n":                                            false,
	"\r\nHTTP/1.1 200 X\r\n\r\n":                                        false,
	"HTTP/1.1 200 X\x7f\r\n\r\n":                                        false,
	"HTTP/1.1 200 X\r\r\n\r\n":                                          false,
	"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n":                                 false,
	"HTTP/1.1 200 OK\r\nA\x01: c\r\n\r\n":                               false,
	"HTTP/1.1 200 OK\r\nA\xe4: c\r\n\r\n":                               false,
	"HTTP/1.1 200 OK\r\nA : c\r\n\r\n":                                  false,
	"HTTP/1.1 200 OK\r\n: c\r\n\r\n":                                    false,
	"HTTP/1.1 200 OK\r\nA\r\n\r\n":                                      false,
	"HTTP/1.1 200 OK\r\n A: b\r\n\r\n":                                  false,
	"HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n\r\n":                            false,
	"HTTP/1.1 200 OK\r\nA: b\x00\r\n\r\n":                               false,
	"HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n":                                false,
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\ncontent-length: 1\r\n\r\n": false,
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\ntransfer-encoding: chunked\r\n\r\n": false,
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                      false,
	"HTTP/1.1 103 A\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":                    false,
}

// The verdict on a head does not depend on how its bytes arrive.
func TestHeads(t *testing.T) {
	for text, sound := range heads {
		for split := range len(text) {
			var h headCheck
			err := h.add([]byte(text[:split]))
			if err == nil {
				err = h.add([]byte(text[split:]))
			}
			require.Equal(t, sound, err == nil, "%q, split at %d: %v", text, split, err)
			require.Equal(t, sound, h.done, "%q, split at %d", text, split)
			if !sound {
				require.ErrorIs(t, err, ErrMalformed, "%q", text)
				require.ErrorIs(t, h.add([]byte("\r\n")), ErrMalformed, "%q", text)
			}
		}
	}
}

// A head that has passed the check has, read by net/http, only field names that are tokens, a status in range and the framing that it
// states.
func FuzzHeads(f *testing.F) {
	for text := range heads {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var h headCheck
		if h.add([]byte(text)) != nil || !h.done {
			return
		}
		reader := bufio.NewReader(strings.NewReader(text))
		resp, err := http.ReadResponse(reader, nil)
		for err == nil && resp.StatusCode < http.StatusOK {
			resp, err = http.ReadResponse(reader, nil)
		}
		if err != nil {
			return
		}
		require.LessOrEqual(t, resp.StatusCode, maxStatus)
		require.Equal(t, 1, resp.ProtoMajor)
		for name, values := range resp.Header {
			require.True(t, isToken(name), "%q", name)
			for _, value := range values {
				require.True(t, isText([]byte(value)), "%q", value)
				require.NotContains(t, value, "\n")
			}
		}
	})
}

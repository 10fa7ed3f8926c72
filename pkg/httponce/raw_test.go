package httponce

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/httpresponse"
)

// rawServer starts a server that sends text to each request, and then closes or resets the connection. If early is set, it does not
// read the body of the request. It returns the server's URL.
func rawServer(t *testing.T, text string, early, reset bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				if !early {
					_, _ = io.Copy(io.Discard, req.Body)
				}
				_, _ = io.WriteString(conn, text)
				if reset {
					time.Sleep(30 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// fetch sends a request with a body of n bytes and reads the response.
func fetch(t *testing.T, url string, n int) (int, string, error) {
	t.Helper()
	client := New(Options{FreshConnections: true})
	resp, err := client.Do(newRequest(t, http.MethodPost, url, strings.Repeat("x", n)))
	if err != nil {
		var failed *Error
		require.ErrorAs(t, err, &failed)
		require.True(t, failed.Sent)
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// Guards against taking for a response what is none by RFC 9110 and RFC 9112, where net/http accepts it.
func TestMalformedResponsesFail(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 099 X\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nX: a\r\n b: c\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 103 Early\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nBad Name: x\r\n\r\n",
	} {
		status, body, err := fetch(t, rawServer(t, text, false, false), 1)
		require.ErrorIs(t, err, httpresponse.ErrMalformed, "%q: %d %q", text, status, body)
	}
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	} {
		_, body, err := fetch(t, rawServer(t, text, false, false), 1)
		require.NoError(t, err, text)
		require.Equal(t, "body", body, text)
	}
}

// uploadBytes is the size of an upload that does not fit into the buffers of the system.
const uploadBytes = 16 << 20

// Guards against taking a part of a response for the whole, if the connection is reset while the request is still being written:
// the write may get the error, and the read the end of the connection.
func TestResponsesCutDuringUploadsFail(t *testing.T) {
	for _, framing := range []string{"", "Content-Length: 20\r\n"} {
		for _, reset := range []bool{false, true} {
			url := rawServer(t, "HTTP/1.1 200 OK\r\n"+framing+"\r\nbody", true, reset)
			for range 20 {
				_, body, err := fetch(t, url, uploadBytes)
				require.Error(t, err, "reset %t, framing %q: %q", reset, framing, body)
			}
		}
	}
}

// A server may refuse a long upload before it has read it. Such a response with a length is read whole.
func TestEarlyResponsesAreReadWhole(t *testing.T) {
	for _, reset := range []bool{false, true} {
		url := rawServer(t, "HTTP/1.1 413 X\r\nContent-Length: 7\r\n\r\nrefused", true, reset)
		for range 20 {
			status, body, err := fetch(t, url, uploadBytes)
			require.NoError(t, err)
			require.Equal(t, http.StatusRequestEntityTooLarge, status)
			require.Equal(t, "refused", body)
		}
	}
}

// Responses over TLS are checked like others, and a connection whose server cannot be verified is not used.
func TestResponsesOverTLS(t *testing.T) {
	text := ""
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, text)
			conn.Close()
		}
	}))
	defer server.Close()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	client := New(Options{FreshConnections: true, TLS: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}})
	text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	resp, err := client.Do(newRequest(t, http.MethodPost, server.URL, "x"))
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "body", string(body))
	resp.Body.Close()
	text = "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nbody"
	_, err = client.Do(newRequest(t, http.MethodPost, server.URL, "x"))
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Sent)
	require.ErrorIs(t, err, httpresponse.ErrMalformed)
	_, err = New(Options{}).Do(newRequest(t, http.MethodPost, server.URL, "x"))
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Sent)
}

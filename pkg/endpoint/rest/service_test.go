package rest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/endpoint/rest/wire"
)

// serve starts a server for the handler and returns its URL.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// raw returns a handler that sends exactly the given bytes and closes the connection.
func raw(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, response)
		conn.Close()
	}
}

// post returns a POST request, which a Service sends on a new connection.
func post(stream bool) endpoint.Request {
	return endpoint.Request{ID: "r1", Method: http.MethodPost, Path: "/x", Body: []byte("{}"), Stream: stream}
}

// TestEndOfResponse checks that a response counts as complete only with a mark of its end: otherwise a
// connection that the endpoint loses would pass for the end of the response.
func TestEndOfResponse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const sse = ok + "Content-Type: text/event-stream\r\n\r\n"
	cases := []struct {
		name, response, want string
		err                  error
	}{
		{"length reached", ok + "Content-Length: 2\r\n\r\nab", "ab", nil},
		{"length not reached", ok + "Content-Length: 3\r\n\r\nab", "ab", endpoint.ErrTruncated},
		{"chunks ended", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "ab", nil},
		{"chunks cut", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "ab", endpoint.ErrTruncated},
		{"no mark of the end", ok + "\r\nab", "ab", endpoint.ErrTruncated},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", "", nil},
		{"stream done", sse + "id: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n", "ab", nil},
		{"stream cut between events", sse + "id: 0\ndata: a\n\n", "a", endpoint.ErrTruncated},
		{"stream cut in the end marker", sse + "data: a\n\ndata: [DONE]\n", "a", endpoint.ErrTruncated},
		{"stream with a gap", sse + "id: 0\ndata: a\n\nid: 2\ndata: c\n\ndata: [DONE]\n\n", "a", endpoint.ErrTruncated},
		{"stream with a duplicate", sse + "id: 0\ndata: a\n\nid: 0\ndata: a\n\ndata: [DONE]\n\n", "a", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			service := NewService(serve(t, raw(c.response)), Options{})
			response, err := service.Do(t.Context(), post(true))
			require.NoError(t, err)
			defer response.Close()
			body, err := collect(response)
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.want, body)
		})
	}
}

// collect returns the body of the response; after an error, what was read before it.
func collect(response endpoint.Response) (string, error) {
	var body []byte
	for {
		piece, err := response.Next()
		body = append(body, piece...)
		if err == io.EOF {
			return string(body), nil
		}
		if err != nil {
			return string(body), err
		}
	}
}

// TestFailureBeforeHeader checks the errors of requests that get no response header: connection
// refused, context cancelled before sending, and connection closed after sending. Only the last may
// have run.
func TestFailureBeforeHeader(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	_, err := NewService(closed.URL, Options{}).Do(t.Context(), post(false))
	require.ErrorIs(t, err, endpoint.ErrRefused)

	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = NewService(closed.URL, Options{}).Do(cancelled, post(false))
	require.ErrorIs(t, err, endpoint.ErrNotSent)
	require.ErrorIs(t, err, context.Canceled)
	require.NotErrorIs(t, err, endpoint.ErrRefused)

	_, err = NewService(serve(t, raw("")), Options{}).Do(t.Context(), post(false))
	require.ErrorIs(t, err, endpoint.ErrTruncated)
	require.NotErrorIs(t, err, endpoint.ErrRefused)
}

// TestUnrequestedProtocolSwitch checks that a response with status 101, which the client never asks
// for, is an error.
func TestUnrequestedProtocolSwitch(t *testing.T) {
	url := serve(t, raw("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"))
	_, err := NewService(url, Options{}).Do(t.Context(), post(false))
	require.ErrorIs(t, err, endpoint.ErrTruncated)
}

// TestHeadHasNoBody checks that the response to a HEAD request is complete although its Content-Length
// is not 0.
func TestHeadHasNoBody(t *testing.T) {
	url := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "9") })
	req := post(false)
	req.Method, req.Body = http.MethodHead, nil
	response, err := NewService(url, Options{}).Do(t.Context(), req)
	require.NoError(t, err)
	body, err := collect(response)
	require.NoError(t, err)
	require.Empty(t, body)
	require.Equal(t, "9", response.Header().Get("Content-Length"))
}

// TestResponseOfAnotherRequest checks that a response with another identifier is refused, and one
// without an identifier only if RequireRequestID is set.
func TestResponseOfAnotherRequest(t *testing.T) {
	respondWith := func(id string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if id != "" {
				w.Header().Set(wire.RequestID, id)
			}
		}
	}
	_, err := NewService(serve(t, respondWith("r2")), Options{}).Do(t.Context(), post(false))
	require.ErrorIs(t, err, endpoint.ErrMismatch)
	_, err = NewService(serve(t, respondWith("")), Options{RequireRequestID: true}).Do(t.Context(), post(false))
	require.ErrorIs(t, err, endpoint.ErrMismatch)
	for _, id := range []string{"r1", ""} {
		response, err := NewService(serve(t, respondWith(id)), Options{}).Do(t.Context(), post(false))
		require.NoError(t, err)
		response.Close()
	}
}

// TestResponseTooLarge checks the limit on the body of a response.
func TestResponseTooLarge(t *testing.T) {
	url := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "12345") })
	response, err := NewService(url, Options{MaxResponse: 4}).Do(t.Context(), post(false))
	require.NoError(t, err)
	_, err = collect(response)
	require.ErrorIs(t, err, endpoint.ErrTooLarge)
}

// TestHopByHopFieldsAreDropped checks requests and responses, with the fields that their Connection
// field names, too.
func TestHopByHopFieldsAreDropped(t *testing.T) {
	seen := make(chan http.Header, 1)
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Clone()
		w.Header().Set("Connection", "X-Private, keep-alive")
		w.Header().Set("X-Private", "1")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-Kept", "1")
	})
	req := post(false)
	req.Method = http.MethodGet // on a kept connection: see httpheader.StripHopByHop
	req.Header = http.Header{
		"Connection": {"x-secret , keep-alive"}, "X-Secret": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
		"Proxy-Authorization": {"p"}, "x-kept": {"1"},
	}
	response, err := NewService(url, Options{}).Do(t.Context(), req)
	require.NoError(t, err)
	defer response.Close()
	require.Equal(t, "1", response.Header().Get("X-Kept"))
	for _, name := range []string{"Connection", "X-Private", "Keep-Alive"} {
		require.Empty(t, response.Header().Get(name), name)
	}
	header := <-seen
	require.Equal(t, "1", header.Get("X-Kept"))
	for _, name := range []string{"X-Secret", "Te", "Upgrade", "Proxy-Authorization", "User-Agent"} {
		require.Empty(t, header.Get(name), name)
	}
}

// TestRefusalsByCode checks which error responses of an engine and of a service become errors of
// package endpoint. All others are passed on whole.
func TestRefusalsByCode(t *testing.T) {
	refuse := func(status int, code wire.Code) string {
		return serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			fmt.Fprintf(w, `{"error":{"message":"m","code":%q}}`, code)
		})
	}
	cases := []struct {
		status          int
		code            wire.Code
		engine, service error
	}{
		{404, wire.CodeNotLoaded, endpoint.ErrNotLoaded, nil},
		{404, "", nil, nil},
		{503, wire.CodeBusy, endpoint.ErrBusy, endpoint.ErrBusy},
		{503, "", endpoint.ErrBusy, nil},
		{500, wire.CodeBusy, nil, nil},
	}
	for _, c := range cases {
		url := refuse(c.status, c.code)
		for client, want := range map[endpoint.Service]error{
			NewEngine(url, Options{}): c.engine, NewService(url, Options{}): c.service,
		} {
			response, err := client.Do(t.Context(), post(false))
			if want != nil {
				require.ErrorIs(t, err, want)
				continue
			}
			require.NoError(t, err)
			require.Equal(t, c.status, response.Status())
			body, err := collect(response)
			require.NoError(t, err)
			require.Contains(t, body, `"message":"m"`)
			response.Close()
		}
	}
}

// A refusal that breaks off does not say that the request has not run, even if its code has arrived.
func TestRefusalThatBreaksOffIsNone(t *testing.T) {
	for status, code := range map[int]wire.Code{503: wire.CodeBusy, 404: wire.CodeNotLoaded} {
		text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 100\r\n\r\n"+`{"error":{"message":"m","code":%q}}`, status, code)
		clients := []endpoint.Service{NewService(serve(t, raw(text)), Options{})}
		if status == http.StatusNotFound {
			clients = append(clients, NewEngine(serve(t, raw(text)), Options{}))
		}
		for _, client := range clients {
			response, err := client.Do(t.Context(), post(false))
			require.NoError(t, err)
			require.Equal(t, status, response.Status())
			_, err = collect(response)
			require.ErrorIs(t, err, endpoint.ErrTruncated)
			response.Close()
		}
	}
}

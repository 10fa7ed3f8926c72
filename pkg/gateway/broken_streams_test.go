package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// untilClose responds with a body that has neither a length nor chunks, and ends with its connection.
func untilClose(body string) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nSignature: s\r\nConnection: close\r\n\r\n"+body)
		_ = c.Close()
	}
}

// A response may end with its connection. A stream that ends between events is complete then.
func TestResponsesThatEndWithTheirConnectionArePassedOn(t *testing.T) {
	for path, body := range map[string]string{"/stream/": numberedEvents(1, 3), "/safe/": "whole"} {
		a := newTestbed(t, untilClose(body)).do(path, nil, "")
		require.Equal(t, 200, a.status, path)
		require.False(t, a.truncated, path)
		require.Equal(t, body, a.body, path)
	}
}

// A stream that ends inside an event was broken off, however its end is framed: it must not look complete to the caller.
func TestStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	body := numberedEvents(1, 2) + "id: 3\nda"
	for name, h := range map[string]handler{"chunks": respondWith(body), "end of connection": untilClose(body)} {
		a := newTestbed(t, h).do("/stream/", nil, "")
		require.True(t, a.truncated, name)
		require.Equal(t, numberedEvents(1, 2), a.body, name)
	}
}

// Such a stream is resumed after its last complete event.
func TestStreamThatEndsInsideAnEventIsResumed(t *testing.T) {
	b := newTestbed(t, untilClose(numberedEvents(1, 2)+"id: 3\nda"), respondWith(numberedEvents(3, 5)))
	a := b.do("/resume/", nil, "")
	require.False(t, a.truncated)
	require.Equal(t, numberedEvents(1, 5), a.body)
}

// An endpoint that crashes before its first event, in a response that ends with its connection, must not be taken for one that has
// sent an empty stream.
func TestStreamThatEndsWithItsConnectionBeforeAnyEventHasFailed(t *testing.T) {
	require.Equal(t, 502, newTestbed(t, untilClose("")).do("/stream/", nil, "").status)
}

// Events may end with CRLF.
func TestStreamsWithCRLFArePassedOn(t *testing.T) {
	body := strings.ReplaceAll(numberedEvents(1, 3), "\n", "\r\n")
	a := newTestbed(t, respondWith(body)).do("/stream/", nil, "")
	require.False(t, a.truncated)
	require.Equal(t, body, a.body)
}

// An endpoint that is to continue a broken stream responds with an error under status 200. Its text must not be passed on as part of
// the stream.
func TestErrorUnderStatus200DoesNotContinueAStream(t *testing.T) {
	first := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
		flushThenDrop(numberedEvents(1, 2))(w, r)
	}
	second := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, "error: overloaded\n\n")
	}
	a := newTestbed(t, first, second).do("/resume/", nil, "")
	require.True(t, a.truncated)
	require.Equal(t, numberedEvents(1, 2), a.body)
}

// A long error response that breaks off while it is passed on must not be continued by the stream of another endpoint.
func TestStreamDoesNotContinueABrokenErrorResponse(t *testing.T) {
	first := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "200000")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, strings.Repeat("x", 100000))
		_ = http.NewResponseController(w).Flush()
		drop(w, r)
	}
	b := newTestbed(t, first, respondWith(numberedEvents(1, 3)))
	a := b.do("/resume/", nil, "")
	require.True(t, a.truncated)
	require.NotContains(t, a.body, "id:")
	require.Equal(t, 1, b.arrivals())
}

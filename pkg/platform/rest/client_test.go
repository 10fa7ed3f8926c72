package rest

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/platform"
)

// serveBytes starts a server that responds to each request with exactly the given bytes and then closes
// the connection. It returns the URL of the server.
func serveBytes(t *testing.T, response string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, response)
		conn.Close()
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// A write whose response is lost or damaged must be reported as of unknown outcome, as it may have been
// applied; a read in the same case as unavailable. A refusal by the service, also one with a truncated
// body, means that nothing was written.
func TestErrorsOfReadsAndWrites(t *testing.T) {
	cases := []struct {
		name, response    string
		readErr, writeErr error
	}{
		{"no response", "", platform.ErrUnavailable, platform.ErrUnknown},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", platform.ErrUnavailable, platform.ErrUnknown},
		{"not JSON", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{", platform.ErrUnavailable, platform.ErrUnknown},
		{"outage", "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", platform.ErrUnavailable, platform.ErrUnavailable},
		{"outage, truncated body", "HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\n", platform.ErrUnavailable, platform.ErrUnavailable},
		{"server error", "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", platform.ErrUnavailable, platform.ErrUnknown},
		{"bad gateway", "HTTP/1.1 502 X\r\nContent-Length: 0\r\n\r\n", platform.ErrUnavailable, platform.ErrUnknown},
		{"conflict", "HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n", platform.ErrConflict, platform.ErrConflict},
		{"absent", "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n", platform.ErrNotFound, platform.ErrNotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := serveBytes(t, c.response)
			_, err := NewTable(url, Options{}).Get(t.Context(), "k")
			require.ErrorIs(t, err, c.readErr)
			_, err = NewTable(url, Options{}).Commit(t.Context(), platform.Txn{Attempt: "a"})
			require.ErrorIs(t, err, c.writeErr)
		})
	}
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	registry := metrics.NewRegistry()
	table := NewTable(server.URL, Options{Registry: registry})
	_, err := table.Commit(t.Context(), platform.Txn{Attempt: "a"})
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.NotErrorIs(t, err, platform.ErrUnknown)
	_, err = table.List(t.Context(), "k")
	require.ErrorIs(t, err, platform.ErrUnavailable)
	for name, want := range map[string]int64{"writes": 1, "reads": 1, "unavailable": 2, "unknown": 0} {
		require.Equal(t, want, registry.Get("platform.table."+name).(metrics.Counter).Count(), name)
	}
}

func TestResponseLimit(t *testing.T) {
	store := NewObjectStore(serveBytes(t, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"), Options{MaxResponseBytes: 2})
	_, err := store.Get(t.Context(), "o")
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

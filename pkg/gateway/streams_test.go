package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/dispatch/software"
	"github.com/mallowlink/mallowlink/pkg/result"
)

// scriptedStreams is a Streams that knows the versions of streams that a test sets.
type scriptedStreams struct {
	dispatcher *scriptedDispatcher

	mu sync.Mutex
	// known are the versions of streams by ID, begun those that the gateway has recorded.
	known, begun map[string]string
	// replaced are the versions of endpoints that have started again, by ID.
	replaced map[string]string
	// begins are the versions at which streams begin, one for each decision.
	begins []string
}

// Begin implements Streams. Streams begin at the version of the endpoint that comes first, unless the test sets versions.
func (s *scriptedStreams) Begin(context.Context, string, string) (software.Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.begins) > 0 {
		version := s.begins[0]
		s.begins = s.begins[1:]
		return software.Decision{Version: version, Source: software.SourceTable}, nil
	}
	s.dispatcher.mu.Lock()
	defer s.dispatcher.mu.Unlock()
	return software.Decision{Version: s.dispatcher.endpoints[0].Software, Source: software.SourceSole}, nil
}

// TakeUp implements Streams.
func (s *scriptedStreams) TakeUp(_ context.Context, _, id string) (software.Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version, ok := s.known[id]; ok {
		return software.Decision{Version: version, Source: software.SourceTable, Age: 300 * time.Millisecond}, nil
	}
	return software.Decision{}, &software.Unknown{Reason: "not known", RetryAfter: 1500 * time.Millisecond}
}

// Began implements Streams.
func (s *scriptedStreams) Began(_, id, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun[id] = version
}

// Serves implements Streams.
func (s *scriptedStreams) Serves(endpoint, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, replaced := s.replaced[endpoint]
	return !replaced || now == version
}

func streamOf(events string) handler {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte(events))
	}
}

// requestLine returns the fields of the log line of the first request.
func (b *testbed) requestLine() logrus.Fields {
	var fields logrus.Fields
	require.Eventually(b.t, func() bool {
		for _, entry := range b.logHook.AllEntries() {
			if entry.Data["event"] == "request" {
				fields = entry.Data
				return true
			}
		}
		return false
	}, 5*time.Second, time.Millisecond)
	return fields
}

// versionsBed has an endpoint of version v1 and one of v2, in this order.
func versionsBed(t *testing.T) *testbed {
	b := newTestbed(t, streamOf("id: 2\ndata: one\n\n"), streamOf("id: 2\ndata: two\n\n"))
	b.dispatcher.endpoints[0].Software, b.dispatcher.endpoints[1].Software = "v1", "v2"
	return b
}

// Guards against a stream that a caller takes up and that goes on at another software version than the one that began it, and
// against a guess where that is not known.
func TestTakeUpGoesOnAtTheVersionThatBeganTheStream(t *testing.T) {
	b := versionsBed(t)
	b.streams.known = map[string]string{"first": "v2"}
	got := b.do("/resume/x", map[string]string{"Id": "second", "Key": "key", "Last": "1", "Stream": "first"}, "")
	require.Equal(t, http.StatusOK, got.status)
	require.Contains(t, got.body, "two")
	require.Equal(t, map[string]string{"first": "v2", "second": "v2"}, b.streams.begun)
	fields := b.requestLine()
	require.Equal(t, "v2", fields["stream_version"])
	require.Equal(t, software.SourceTable, fields["version_by"])
	require.Equal(t, 300*time.Millisecond, fields["version_age"])

	for _, resumes := range []string{"unknown", ""} {
		got = b.do("/resume/x", map[string]string{"Id": "third", "Key": "key", "Last": "1", "Stream": resumes}, "")
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Equal(t, "3007", got.header.Get(headerCode))
		require.Equal(t, string(result.NotRun), got.header.Get(headerOutcome))
		require.Equal(t, "1.500", got.header.Get("Retry-After"))
	}
	require.Len(t, b.received, 1, "refused take-ups reach no endpoint")
}

// Guards against streams of which no VM knows at which version they have begun.
func TestBegunStreamsAreRecordedWithTheirVersion(t *testing.T) {
	b := versionsBed(t)
	require.Equal(t, http.StatusOK, b.do("/resume/x", map[string]string{"Id": "new", "Key": "key"}, "").status)
	require.Equal(t, http.StatusOK, b.do("/stream/x", map[string]string{"Id": "other", "Key": "key"}, "").status)
	require.Equal(t, map[string]string{"new": "v1"}, b.streams.begun, "streams that cannot be resumed have no record")
}

// Guards against a response of an endpoint that has started again under its ID with another software version after it was chosen,
// before the request is written and when the head has come.
func TestEndpointThatHasChangedItsVersionDoesNotContinueAStream(t *testing.T) {
	b := versionsBed(t)
	b.streams.known, b.streams.replaced = map[string]string{"first": "v1"}, map[string]string{"e0": "v2"}
	header := map[string]string{"Id": "second", "Key": "key", "Last": "1", "Stream": "first"}
	require.Equal(t, http.StatusServiceUnavailable, b.do("/resume/x", header, "").status)
	require.Empty(t, b.received)

	b = newTestbed(t, func(w http.ResponseWriter, r *http.Request) {
		b.streams.mu.Lock()
		b.streams.replaced = map[string]string{"e0": "v2"}
		b.streams.mu.Unlock()
		streamOf("id: 2\ndata: one\n\n")(w, r)
	})
	b.dispatcher.endpoints[0].Software = "v1"
	b.streams.known = map[string]string{"first": "v1"}
	got := b.do("/resume/x", header, "")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.NotContains(t, got.body, "one")
	require.Empty(t, b.streams.begun)
}

package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// streamEvents writes events of a stream, some milliseconds apart.
func streamEvents(events ...string) handler {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i, event := range events {
			if i > 0 {
				time.Sleep(5 * time.Millisecond)
			}
			_, _ = io.WriteString(w, event)
			w.(http.Flusher).Flush()
		}
	}
}

// The speed of an engine is learned from the time and the number of events of a complete stream.
func TestOutcomeTellsTheSpeedOfAStream(t *testing.T) {
	b := newTestbed(t, streamEvents("data: 1\n\n", "data: 2\n\n", "data: 3\r\n\r\n"))
	require.Equal(t, 200, b.do("/stream/", nil, "").status)
	require.Len(t, b.dispatcher.outcomes, 1)
	o := b.dispatcher.outcomes[0]
	require.Equal(t, 3, o.Events)
	require.GreaterOrEqual(t, o.Ran, 10*time.Millisecond)
}

// Guards against wrong speeds: a stream of two endpoints tells neither's. Guards also against an owner that never learns
// that the second endpoint has read the prompt.
func TestResumedStreamTellsNoSpeed(t *testing.T) {
	cut := func(w http.ResponseWriter, r *http.Request) {
		streamEvents("id: 1\ndata: 1\n\n", "id: 2\nda")(w, r)
		drop(w, r)
	}
	b := newTestbed(t, cut, streamEvents("id: 2\ndata: 2\n\n"))
	require.Equal(t, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", b.do("/resume/", nil, "").body)
	require.Len(t, b.dispatcher.outcomes, 2)
	require.Zero(t, b.dispatcher.outcomes[0].Ran)
	require.Zero(t, b.dispatcher.outcomes[1].Ran)
	require.Equal(t, []string{"e0", "e1"}, b.dispatcher.started)
}

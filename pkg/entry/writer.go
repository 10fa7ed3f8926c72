package entry

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/mallowlink/mallowlink/pkg/httpheader"
	"github.com/mallowlink/mallowlink/pkg/result"
)

// writer writes the response to one request; it implements request.Sink. Each write has a deadline, so that
// a caller that does not read holds the connection for a bounded time.
type writer struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	id      string
	// streamStarted reports that the status and header of a stream are written.
	streamStarted bool
	// done reports that a whole response or the end of a stream is written.
	done bool
	// fromEngine reports that the response comes from a model engine: streams end with OpenAI's end
	// marker, and of the engine's header only the content type is passed on.
	fromEngine bool
	buf        bytes.Buffer
}

func newWriter(w http.ResponseWriter, id string, timeout time.Duration) *writer {
	w.Header().Set(HeaderRequest, id)
	return &writer{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout, id: id}
}

// extendDeadline sets the deadline of the next write. The error is ignored: only the response recorders of
// tests lack deadlines.
func (w *writer) extendDeadline() { _ = w.control.SetWriteDeadline(time.Now().Add(w.timeout)) }

// respond writes a whole response.
func (w *writer) respond(status int, body []byte) error {
	w.done = true
	w.extendDeadline()
	w.WriteHeader(status)
	if len(body) == 0 {
		return nil
	}
	_, err := w.Write(body)
	return err
}

// Answer writes an endpoint's whole response.
func (w *writer) Answer(status int, header http.Header, body []byte) error {
	w.copyHeader(header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if err := w.respond(status, body); err != nil {
		return err
	}
	return w.control.Flush()
}

// copyHeader copies the endpoint's header to the response, except hop-by-hop fields and the fields
// Content-Length, HeaderRequest and HeaderAdapter, which mallowlink sets itself.
func (w *writer) copyHeader(header http.Header) {
	for name, values := range httpheader.StripHopByHop(header) {
		if name == "Content-Length" || name == HeaderRequest || name == HeaderAdapter {
			continue
		}
		if w.fromEngine && name != "Content-Type" {
			continue
		}
		w.Header()[name] = values
	}
}

// Begin writes the status and header of a stream of server-sent events.
func (w *writer) Begin(status int, header http.Header) error {
	w.copyHeader(header)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.streamStarted = true
	w.extendDeadline()
	w.WriteHeader(status)
	return nil
}

// Event writes one server-sent event.
func (w *writer) Event(data []byte) error {
	return w.writeEvent("", data)
}

// Finish ends a stream. Streams of model engines get OpenAI's end marker.
func (w *writer) Finish() error {
	w.done = true
	if !w.fromEngine {
		return w.control.Flush()
	}
	return w.writeEvent("", streamEndMarker)
}

var streamEndMarker = []byte("[DONE]")

// errorEvent is the name of the event that ends an incomplete stream.
const errorEvent = "error"

func (w *writer) writeEvent(name string, data []byte) error {
	w.buf.Reset()
	appendEvent(&w.buf, name, data)
	w.extendDeadline()
	if _, err := w.Write(w.buf.Bytes()); err != nil {
		return err
	}
	return w.control.Flush()
}

// appendEvent appends a server-sent event. Each line of data is written as a data field of its own, so that
// data can neither end the event nor inject another field.
func appendEvent(b *bytes.Buffer, name string, data []byte) {
	if name != "" {
		b.WriteString("event: ")
		b.WriteString(name)
		b.WriteByte('\n')
	}
	for {
		line, rest, more := cutLine(data)
		b.WriteString("data: ")
		b.Write(line)
		b.WriteByte('\n')
		if !more {
			break
		}
		data = rest
	}
	b.WriteByte('\n')
}

// cutLine splits data at its first line break: LF, CR or CRLF.
func cutLine(data []byte) (line, rest []byte, more bool) {
	i := bytes.IndexAny(data, "\r\n")
	if i < 0 {
		return data, nil, false
	}
	next := i + 1
	if data[i] == '\r' && next < len(data) && data[next] == '\n' {
		next++
	}
	return data[:i], data[next:], true
}

// fail reports the error to the caller: as the whole response, or as the last event of a stream that has
// begun. It does nothing if the response is already complete.
func (w *writer) fail(e *result.Error) {
	switch {
	case w.done:
		return
	case w.streamStarted:
		w.done = true
		// The error is ignored: the caller has disconnected or does not read.
		_ = w.writeEvent(errorEvent, errorJSON(e, w.id))
	default:
		writeError(w, e)
	}
}

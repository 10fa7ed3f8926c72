package entry

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/mallowlink/mallowlink/pkg/httpheader"
	"github.com/mallowlink/mallowlink/pkg/result"
)

// writer writes one answer. Each write has a deadline, so that a caller that does not read holds
// the connection for a bounded time. It is the request.Sink of the request.
type writer struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	id      string
	// begun says that the head of a stream is written.
	begun bool
	// done says that an answer or an end marker is written.
	done bool
	// engine says that a model engine answers: streams end with OpenAI's end marker, and of the
	// engine's header the caller gets the content type only.
	engine bool
	buf    bytes.Buffer
}

func newWriter(w http.ResponseWriter, id string, timeout time.Duration) *writer {
	w.Header().Set(HeaderRequest, id)
	return &writer{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout, id: id}
}

// extend gives the next write its time. A connection without deadlines is a test's recorder.
func (w *writer) extend() { _ = w.control.SetWriteDeadline(time.Now().Add(w.timeout)) }

// respond writes a whole answer.
func (w *writer) respond(status int, body []byte) error {
	w.done = true
	w.extend()
	w.WriteHeader(status)
	if len(body) == 0 {
		return nil
	}
	_, err := w.Write(body)
	return err
}

// Answer writes a whole answer of an endpoint.
func (w *writer) Answer(status int, header http.Header, body []byte) error {
	w.copyHeader(header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if err := w.respond(status, body); err != nil {
		return err
	}
	return w.control.Flush()
}

// copyHeader takes over the endpoint's header, but for hop-by-hop fields and those of mallowlink.
func (w *writer) copyHeader(header http.Header) {
	for name, values := range httpheader.StripHopByHop(header) {
		if name == "Content-Length" || name == HeaderRequest || name == HeaderAdapter {
			continue
		}
		if w.engine && name != "Content-Type" {
			continue
		}
		w.Header()[name] = values
	}
}

// Begin writes the head of a stream.
func (w *writer) Begin(status int, header http.Header) error {
	w.copyHeader(header)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.begun = true
	w.extend()
	w.WriteHeader(status)
	return nil
}

// Event writes one server-sent event.
func (w *writer) Event(data []byte) error {
	return w.send("", data)
}

// Finish writes the end marker.
func (w *writer) Finish() error {
	w.done = true
	if !w.engine {
		return w.control.Flush()
	}
	return w.send("", endMarker)
}

var endMarker = []byte("[DONE]")

// errorEvent is the name of the event that ends a stream which is not whole.
const errorEvent = "error"

func (w *writer) send(name string, data []byte) error {
	w.buf.Reset()
	appendEvent(&w.buf, name, data)
	w.extend()
	if _, err := w.Write(w.buf.Bytes()); err != nil {
		return err
	}
	return w.control.Flush()
}

// appendEvent appends a server-sent event. Line ends within data begin new data fields, so that no
// data can end the event or forge another field.
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

// cutLine splits data at its first line end: LF, CR or CRLF.
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

// fail ends the answer with the error: as an answer of its own, or as the last event of a stream.
func (w *writer) fail(e *result.Error) {
	switch {
	case w.done:
		return
	case w.begun:
		w.done = true
		// A caller that is gone cannot be told.
		_ = w.send(errorEvent, errorJSON(e, w.id))
	default:
		writeError(w, e)
	}
}

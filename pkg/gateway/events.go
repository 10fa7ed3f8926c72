package gateway

import (
	"bytes"

	"github.com/go-faster/errors"
)

// eventEnds are the texts that terminate a server-sent event: an empty line after the end of a line.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// eventIDField is the name of the field with an event's ID.
var eventIDField = []byte("id:")

// maxEvent bounds one event of a stream, in bytes. Events hold a few tokens.
const maxEvent = 64 << 10

var (
	errEndlessEvent = errors.New("event of the stream exceeds the size limit")
	errNotEvent     = errors.New("stream contains a line that is not part of an event")
)

// eventSplitter splits a stream of server-sent events into complete events. It is not safe for concurrent use.
type eventSplitter struct {
	// pending is the beginning of an event whose end has not arrived.
	pending []byte
	// lastID is the ID of the last complete event.
	lastID string
	// count is the number of complete events so far.
	count int
}

// split takes a part of the stream and returns the events that are complete with it. The result is valid until
// the next call. The error says that the stream does not consist of events.
func (e *eventSplitter) split(part []byte) ([]byte, error) {
	e.pending = append(e.pending, part...)
	end := 0
	for _, text := range eventEnds {
		if at := bytes.LastIndex(e.pending, text); at >= 0 {
			end = max(end, at+len(text))
		}
	}
	if end == 0 {
		if len(e.pending) > maxEvent {
			return nil, errEndlessEvent
		}
		return nil, nil
	}
	complete := bytes.Clone(e.pending[:end])
	e.pending = append(e.pending[:0], e.pending[end:]...)
	if err := e.validate(complete); err != nil {
		return nil, err
	}
	e.recordLastID(complete)
	for _, text := range eventEnds {
		e.count += bytes.Count(complete, text)
	}
	return complete, nil
}

// validate returns an error unless each line is a field, a comment, or empty.
func (e *eventSplitter) validate(events []byte) error {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if !isField(line) {
			return errNotEvent
		}
	}
	return nil
}

// recordLastID records the ID of the last event.
func (e *eventSplitter) recordLastID(complete []byte) {
	for line := range bytes.SplitSeq(complete, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, eventIDField); ok {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// isField reports whether a line of a stream is empty, a comment, or begins with a field name.
func isField(line []byte) bool {
	name, _, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
	return !bytes.ContainsFunc(name, func(r rune) bool {
		return r != '-' && r != '_' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
}

// rest returns what follows the last complete event at the end of the stream.
func (e *eventSplitter) rest() []byte { return e.pending }

// discardPending discards the event that a broken stream has left incomplete.
func (e *eventSplitter) discardPending() { e.pending = nil }

package gateway

import (
	"bytes"

	"github.com/go-faster/errors"
)

// eventEnd ends a server-sent event.
var eventEnd = []byte("\n\n")

// eventID precedes the number of an event.
var eventID = []byte("id:")

// maxEvent bounds one event of a stream, in bytes. Events hold a few tokens.
const maxEvent = 64 << 10

var (
	errEndlessEvent = errors.New("an event of the stream does not end")
	errNoEvent      = errors.New("the stream holds something that is no event")
)

// eventCutter cuts a stream of server-sent events into whole events.
type eventCutter struct {
	// pending is the beginning of an event whose end has not arrived.
	pending []byte
	// last is the number of the last whole event.
	last string
}

// cut takes a piece of the stream and returns the whole events that are complete with it. The result
// is valid until the next call. The error says that the stream is none of events.
func (e *eventCutter) cut(piece []byte) ([]byte, error) {
	e.pending = append(e.pending, piece...)
	end := bytes.LastIndex(e.pending, eventEnd)
	if end < 0 {
		if len(e.pending) > maxEvent {
			return nil, errEndlessEvent
		}
		return nil, nil
	}
	end += len(eventEnd)
	whole := bytes.Clone(e.pending[:end])
	e.pending = append(e.pending[:0], e.pending[end:]...)
	if err := e.check(whole); err != nil {
		return nil, err
	}
	e.note(whole)
	return whole, nil
}

// check returns an error unless each line is a field, a comment, or empty.
func (e *eventCutter) check(events []byte) error {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if !isField(line) {
			return errNoEvent
		}
	}
	return nil
}

// note remembers the number of the last event.
func (e *eventCutter) note(whole []byte) {
	for line := range bytes.SplitSeq(whole, []byte("\n")) {
		if number, ok := bytes.CutPrefix(line, eventID); ok {
			e.last = string(bytes.TrimSpace(number))
		}
	}
}

// isField reports whether a line of a stream is empty, a comment, or begins with a field's name.
func isField(line []byte) bool {
	name, _, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
	return !bytes.ContainsFunc(name, func(r rune) bool {
		return r != '-' && r != '_' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
}

// rest returns what follows the last whole event at the end of the stream.
func (e *eventCutter) rest() []byte { return e.pending }

// forget drops the event that a broken stream has left incomplete.
func (e *eventCutter) forget() { e.pending = e.pending[:0] }

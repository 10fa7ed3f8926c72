package gateway

import "bytes"

// eventEnd ends a server-sent event.
var eventEnd = []byte("\n\n")

// eventID precedes the number of an event.
var eventID = []byte("id:")

// eventCutter cuts a stream of server-sent events into whole events.
type eventCutter struct {
	// pending is the beginning of an event whose end has not arrived.
	pending []byte
	// last is the number of the last whole event.
	last string
}

// cut takes a piece of the stream and returns the whole events that are complete with it. The result
// is valid until the next call.
func (e *eventCutter) cut(piece []byte) []byte {
	e.pending = append(e.pending, piece...)
	end := bytes.LastIndex(e.pending, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	whole := bytes.Clone(e.pending[:end])
	e.pending = append(e.pending[:0], e.pending[end:]...)
	e.note(whole)
	return whole
}

// note remembers the number of the last event.
func (e *eventCutter) note(whole []byte) {
	for line := range bytes.SplitSeq(whole, []byte("\n")) {
		if number, ok := bytes.CutPrefix(line, eventID); ok {
			e.last = string(bytes.TrimSpace(number))
		}
	}
}

// rest returns what follows the last whole event at the end of the stream.
func (e *eventCutter) rest() []byte { return e.pending }

// forget drops the event that a broken stream has left incomplete.
func (e *eventCutter) forget() { e.pending = e.pending[:0] }

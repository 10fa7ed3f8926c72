// Package sse parses streams of server-sent events.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

// EndMarker is the data of the event that ends a complete stream in the OpenAI protocol.
const EndMarker = "[DONE]"

// ErrTooLarge is returned for an event that is larger than the parser's limit.
var ErrTooLarge = errors.New("sse: event too large")

// readBufferSize is the size of the buffer between the parser and its reader. Lines may be longer.
const readBufferSize = 4 << 10 // bytes

// Event is one server-sent event.
type Event struct {
	// Name is the value of the "event" field; empty if the event has none.
	Name string
	// Data is the event's "data" lines, joined by LF.
	Data []byte
	// ID is the value of the "id" field; valid only if Numbered is set.
	ID uint64
	// Numbered is set if the event has an "id" field that is a decimal number.
	Numbered bool
}

// Parser reads server-sent events as the HTML standard defines them: lines end in LF, CRLF or CR,
// the data lines of one event are joined by LF, comments and unknown fields are skipped, and an
// incomplete event at the end of the stream is dropped. A Parser is not safe for concurrent use.
type Parser struct {
	reader *bufio.Reader
	// maxEvent limits the total size of the lines of one event, in bytes.
	maxEvent int
	// skipLF is set if the last line ended in CR: a following LF belongs to the same line end.
	skipLF bool
	// started is set once the first line, which may begin with a byte order mark, was read.
	started bool
	// lineBuf holds the current line; the next one overwrites it.
	lineBuf []byte
}

// NewParser returns a parser of the stream r. Events whose lines hold more than limit bytes fail with
// ErrTooLarge.
func NewParser(r io.Reader, limit int) *Parser {
	return &Parser{reader: bufio.NewReaderSize(r, readBufferSize), maxEvent: limit}
}

// Next returns the next event that has data. It returns ErrTooLarge for an event over the limit, and otherwise
// the reader's error: io.EOF at the end of the stream.
func (p *Parser) Next() (Event, error) {
	var ev Event
	hasData := false
	size := 0
	for {
		line, err := p.readLine(p.maxEvent - size)
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if hasData {
				return ev, nil
			}
			ev, size = Event{}, 0
			continue
		}
		size += len(line)
		name, value := splitField(line)
		switch string(name) {
		case "data":
			if !hasData {
				ev.Data = make([]byte, 0, len(value))
			} else {
				ev.Data = append(ev.Data, '\n')
			}
			ev.Data = append(ev.Data, value...)
			hasData = true
		case "event":
			ev.Name = string(value)
		case "id":
			id, err := strconv.ParseUint(string(value), 10, 64)
			ev.ID, ev.Numbered = id, err == nil
		}
	}
}

// splitField splits a line into the name and value of its field. Comment lines begin with a colon, so that their
// name is empty.
func splitField(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(line, []byte(":"))
	return name, bytes.TrimPrefix(value, []byte(" "))
}

// readLine returns the next line without its line end, or ErrTooLarge if the line is longer than limit bytes.
// The returned slice is valid until the next call.
func (p *Parser) readLine(limit int) ([]byte, error) {
	p.lineBuf = p.lineBuf[:0]
	for {
		c, err := p.reader.ReadByte()
		if err != nil {
			return nil, err
		}
		switch {
		case c == '\n' && p.skipLF:
			p.skipLF = false
			continue
		case c == '\n' || c == '\r':
			p.skipLF = c == '\r'
			return p.trimBOM(p.lineBuf), nil
		}
		p.skipLF = false
		if len(p.lineBuf) >= limit {
			return nil, ErrTooLarge
		}
		p.lineBuf = append(p.lineBuf, c)
	}
}

// trimBOM removes the byte order mark if line is the first line of the stream and begins with one.
func (p *Parser) trimBOM(line []byte) []byte {
	if p.started {
		return line
	}
	p.started = true
	return bytes.TrimPrefix(line, []byte("\xef\xbb\xbf"))
}

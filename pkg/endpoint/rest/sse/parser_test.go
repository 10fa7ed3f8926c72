package sse

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// referenceEvents is a simple parser of a complete stream, against which FuzzParser compares Parser.
func referenceEvents(stream string) []string {
	stream = strings.TrimPrefix(stream, "\xef\xbb\xbf")
	stream = strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(stream)
	lines := strings.Split(stream, "\n")
	var events []string
	var data []string
	for _, line := range lines[:len(lines)-1] {
		if line == "" {
			if data != nil {
				events = append(events, strings.Join(data, "\n"))
			}
			data = nil
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		if name == "data" {
			data = append(data, strings.TrimPrefix(value, " "))
		}
	}
	return events
}

func parseAll(stream []byte, limit int) ([]string, error) {
	p := NewParser(bytes.NewReader(stream), limit)
	var events []string
	for {
		ev, err := p.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(ev.Data))
	}
}

// FuzzParser compares the events of Parser with those of referenceEvents.
func FuzzParser(f *testing.F) {
	for _, seed := range []string{
		"data: a\n\n", "id: 3\r\ndata: a\r\ndata:b\r\n\r\n", "data\n\ndata\n\n", ": c\rdata: x\r\r",
		"\xef\xbb\xbfdata: a\n\n", "data: cut", "event: error\n\ndata:  two\n\n", "\n\r\n\rdata:\r\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		events, err := parseAll(stream, len(stream)+1)
		require.Error(t, err)
		require.Equal(t, referenceEvents(string(stream)), events)
	})
}

// TestEventTooLarge checks that the limit applies to one line, to all lines of one event, and to comments.
func TestEventTooLarge(t *testing.T) {
	events, err := parseAll([]byte("data: 12\n\ndata: 123\n\n"), 8)
	require.ErrorIs(t, err, ErrTooLarge)
	require.Equal(t, []string{"12"}, events)
	_, err = parseAll([]byte("data: 1\ndata: 2\n\n"), 8)
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = parseAll([]byte("::::::::::::"), 8)
	require.ErrorIs(t, err, ErrTooLarge)
}

package eventlog

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// eventKey is the field with the name of the event. It is the first field after time and level.
const eventKey = "event"

// logfmt formats a line as key=value pairs: time, level, event, msg (the message, if there is one), and the other
// fields sorted by name.
type logfmt struct{}

// Format implements logrus.Formatter.
func (*logfmt) Format(entry *logrus.Entry) ([]byte, error) {
	b := entry.Buffer
	if b == nil {
		b = &bytes.Buffer{}
	}
	b.WriteString("time=")
	b.Write(entry.Time.AppendFormat(b.AvailableBuffer(), time.RFC3339Nano))
	b.WriteString(" level=")
	b.WriteString(entry.Level.String())
	if event, ok := entry.Data[eventKey]; ok {
		appendPair(b, eventKey, event)
	}
	if entry.Message != "" {
		appendPair(b, "msg", entry.Message)
	}
	for _, key := range slices.Sorted(maps.Keys(entry.Data)) {
		if key != eventKey {
			appendPair(b, key, entry.Data[key])
		}
	}
	b.WriteByte('\n')
	return b.Bytes(), nil
}

// appendPair appends " key=value" to b. Values are quoted where appendValue requires it.
func appendPair(b *bytes.Buffer, key string, value any) {
	b.WriteByte(' ')
	b.WriteString(key)
	b.WriteByte('=')
	switch v := value.(type) {
	case string:
		appendValue(b, v)
	case int:
		b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(v), 10))
	case int64:
		b.Write(strconv.AppendInt(b.AvailableBuffer(), v, 10))
	case bool:
		b.Write(strconv.AppendBool(b.AvailableBuffer(), v))
	case error:
		appendValue(b, v.Error())
	case fmt.Stringer:
		appendValue(b, v.String())
	default:
		appendValue(b, fmt.Sprint(v))
	}
}

// quotable holds the characters for which a value is quoted, besides control characters and invalid UTF-8.
const quotable = " =\"\\"

// appendValue appends s to b, quoted if it is empty or has characters that would make the line ambiguous.
func appendValue(b *bytes.Buffer, s string) {
	needsQuoting := func(r rune) bool { return r < ' ' || r == 0x7f || r == '�' || strings.ContainsRune(quotable, r) }
	if s == "" || strings.ContainsFunc(s, needsQuoting) {
		b.Write(strconv.AppendQuote(b.AvailableBuffer(), s))
		return
	}
	b.WriteString(s)
}

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

// eventKey is the field that names a line's event. It comes first.
const eventKey = "event"

// logfmt writes a line of key=value pairs: time, level, event, and the other fields by name.
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
		pair(b, eventKey, event)
	}
	if entry.Message != "" {
		pair(b, "msg", entry.Message)
	}
	for _, key := range slices.Sorted(maps.Keys(entry.Data)) {
		if key != eventKey {
			pair(b, key, entry.Data[key])
		}
	}
	b.WriteByte('\n')
	return b.Bytes(), nil
}

// pair appends " key=value". Values with characters that would split the line are quoted.
func pair(b *bytes.Buffer, key string, value any) {
	b.WriteByte(' ')
	b.WriteString(key)
	b.WriteByte('=')
	switch v := value.(type) {
	case string:
		text(b, v)
	case int:
		b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(v), 10))
	case int64:
		b.Write(strconv.AppendInt(b.AvailableBuffer(), v, 10))
	case bool:
		b.Write(strconv.AppendBool(b.AvailableBuffer(), v))
	case error:
		text(b, v.Error())
	case fmt.Stringer:
		text(b, v.String())
	default:
		text(b, fmt.Sprint(v))
	}
}

// quotable are the characters for which a value is quoted, besides control characters.
const quotable = " =\"\\"

func text(b *bytes.Buffer, s string) {
	odd := func(r rune) bool { return r < ' ' || r == 0x7f || r == '�' || strings.ContainsRune(quotable, r) }
	if s == "" || strings.ContainsFunc(s, odd) {
		b.Write(strconv.AppendQuote(b.AvailableBuffer(), s))
		return
	}
	b.WriteString(s)
}

package eventlog

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Line is a parsed log line.
type Line struct {
	Time   time.Time
	Fields map[string]string
	// Text is the line without any prefix that a log collector has added.
	Text string
}

// timeKey is the first field of each line.
const timeKey = "time"

// Parse parses a line of key=value pairs. Any text before the time field, such as a prefix that a log collector has
// added, is ignored.
func Parse(text string) (Line, error) {
	start := strings.Index(text, timeKey+"=")
	if start < 0 {
		return Line{}, errors.Errorf("log line has no field %s", timeKey)
	}
	line := Line{Fields: map[string]string{}, Text: strings.TrimSpace(text[start:])}
	rest := line.Text
	for rest != "" {
		key, after, ok := strings.Cut(rest, "=")
		if !ok {
			return Line{}, errors.Errorf("field without a value: %q", rest)
		}
		value, left, err := cutValue(after)
		if err != nil {
			return Line{}, errors.Wrapf(err, "field %s", key)
		}
		line.Fields[key], rest = value, strings.TrimLeft(left, " ")
	}
	var err error
	if line.Time, err = time.Parse(time.RFC3339Nano, line.Fields[timeKey]); err != nil {
		return Line{}, errors.Wrap(err, "parse time of log line")
	}
	return line, nil
}

// cutValue returns the value, quoted or not, at the beginning of text, and the text after it.
func cutValue(text string) (value, rest string, err error) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest, nil
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", errors.Wrap(err, "parse quoted value")
	}
	value, err = strconv.Unquote(quoted)
	return value, text[len(quoted):], err
}

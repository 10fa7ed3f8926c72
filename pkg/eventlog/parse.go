package eventlog

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Line is a line of a log.
type Line struct {
	Time   time.Time
	Fields map[string]string
	// Text is the line without what a collector has put before it.
	Text string
}

// timeKey is the field that begins each line.
const timeKey = "time"

// Parse reads a line of key=value pairs. What stands before its time, as collectors of logs add it, is left
// out.
func Parse(text string) (Line, error) {
	start := strings.Index(text, timeKey+"=")
	if start < 0 {
		return Line{}, errors.Errorf("no %s in the line", timeKey)
	}
	line := Line{Fields: map[string]string{}, Text: strings.TrimSpace(text[start:])}
	rest := line.Text
	for rest != "" {
		key, after, ok := strings.Cut(rest, "=")
		if !ok {
			return Line{}, errors.Errorf("%q has no value", rest)
		}
		value, left, err := cutValue(after)
		if err != nil {
			return Line{}, errors.Wrapf(err, "field %s", key)
		}
		line.Fields[key], rest = value, strings.TrimLeft(left, " ")
	}
	var err error
	if line.Time, err = time.Parse(time.RFC3339Nano, line.Fields[timeKey]); err != nil {
		return Line{}, errors.Wrap(err, "time of the line")
	}
	return line, nil
}

// cutValue reads a value, quoted or not, and returns what follows it.
func cutValue(text string) (value, rest string, err error) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest, nil
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", errors.Wrap(err, "quoted value")
	}
	value, err = strconv.Unquote(quoted)
	return value, text[len(quoted):], err
}

package eventlog

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// Parse must return the time and fields that the formatter wrote, also behind the prefix of a log collector.
func TestParseReadsFormattedLine(t *testing.T) {
	at := time.Date(2026, 12, 4, 3, 0, 0, 123456789, time.UTC)
	entry := &logrus.Entry{Time: at, Level: logrus.WarnLevel, Data: logrus.Fields{
		"event": "request", "id": "ab12", "cause": `an "odd" value = 1`, "empty": "", "waited": 3 * time.Second,
	}}
	text, err := (&logfmt{}).Format(entry)
	require.NoError(t, err)
	line, err := Parse("   7.0123 edge-1 " + string(text))
	require.NoError(t, err)
	require.True(t, at.Equal(line.Time))
	require.Equal(t, `an "odd" value = 1`, line.Fields["cause"])
	require.Equal(t, "3s", line.Fields["waited"])
	require.Equal(t, "warning", line.Fields["level"])
	require.Contains(t, line.Fields, "empty")
}

func TestParseRejectsMalformedLine(t *testing.T) {
	for _, text := range []string{"", "panic: x", "time=yesterday event=x", `time=2026-12-04T03:00:00Z a="open`, "time=2026-12-04T03:00:00Z word"} {
		_, err := Parse(text)
		require.Error(t, err, text)
	}
}

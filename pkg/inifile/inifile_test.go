package inifile

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestProblemsNameLineSectionAndKey(t *testing.T) {
	text := `stray = 1
# comment
[a]
time = 5
size = 12KB
size = 3B
what

[a]
[ b
rate = 7
[c]
rate = 5/s
text = "quoted
word = x
list = p, q, p
unknown = 1
`
	report := &Report{}
	file := Parse("f.ini", []byte(text), report)
	require.Len(t, file.Sections, 3)
	a, c := file.Sections[0], file.Sections[2]
	a.Duration("time", 0, 0, time.Hour)
	a.Bytes("size", 0, 0, 1)
	a.Required("gone")
	a.ReportUnknownKeys()
	require.Equal(t, 5.0, c.Rate("rate", 0, 0, 10))
	c.Enum("word", "y", "y", "z")
	c.List("list")
	c.ReportUnknownKeys()
	require.EqualError(t, report.Err(), `f.ini:1: stray: key outside a section
f.ini:3: [a] gone: missing key
f.ini:4: [a] time: "5" is not a duration with unit, such as 500ms, 30s or 10m
f.ini:5: [a] size: key stands twice, first in line 5
f.ini:5: [a] size: "12KB" is not a size with unit, such as 512B, 64KiB or 8MiB
f.ini:7: [a] neither a comment, a section nor key = value
f.ini:9: [a] section stands twice, first in line 3
f.ini:10: malformed section header
f.ini:14: [c] text: quoted values are not allowed
f.ini:15: [c] word: "x" is none of y, z
f.ini:16: [c] list: "p" stands twice
f.ini:17: [c] unknown: unknown key`)
}

func TestUnits(t *testing.T) {
	for text, want := range map[string]int64{"0B": 0, "3KiB": 3072, "1MiB": 1 << 20, "2GiB": 2 << 30} {
		n, err := ParseBytes(text)
		require.NoError(t, err)
		require.Equal(t, want, n)
		require.Equal(t, text, FormatBytes(n))
	}
	for _, text := range []string{"", "5", "-1B", "1KB", "9999999999GiB", "B"} {
		_, err := ParseBytes(text)
		require.Error(t, err, text)
	}
	rate, err := ParseRate("300/min")
	require.NoError(t, err)
	require.Equal(t, "5/s", FormatRate(rate))
	for _, text := range []string{"", "5", "/s", "-1/s", "NaN/s", "+Inf/s", "0"} {
		_, err := ParseRate(text)
		require.Error(t, err, text)
		_, err = ParseDuration(text)
		require.Error(t, err, text)
	}
}

func TestParseRejectsInvalidText(t *testing.T) {
	for _, text := range []string{"\xff", "\uFEFF[a]\n", "[a]\nb = \x00\n", "[]\n", "[a] b\n", "= 1"} {
		report := &Report{}
		Parse("f", []byte(text), report)
		require.Error(t, report.Err(), "%q", text)
	}
}

// FuzzParse checks that every value that the INI library reads equals the text after the equals sign in
// the line that the line scanner has recorded for the key.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[a]\nb = c\n[a]\nb = \\\nd = 'x'\n"))
	f.Add([]byte("[x\n[y]\n\"\"\"k\"\"\" = v\nk = %(k)s # no\n[DEFAULT]\na=1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		lines := strings.Split(string(data), "\n")
		for _, section := range Parse("f", data, &Report{}).Sections {
			for _, e := range section.entries {
				_, value, _ := strings.Cut(lines[e.line-1], "=")
				require.Equal(t, strings.TrimSpace(value), e.value)
			}
		}
	})
}

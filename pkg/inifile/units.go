package inifile

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// ParseDuration parses a duration with its unit, such as 500ms, 30s or 1h30m.
func ParseDuration(v string) (time.Duration, error) {
	d, err := time.ParseDuration(v)
	if err != nil || !strings.ContainsAny(v, "smh") {
		return 0, errors.Errorf("%q is not a duration with unit, such as 500ms, 30s or 10m", v)
	}
	return d, nil
}

// byteUnit is a unit of size; factor is its number of bytes.
type byteUnit struct {
	suffix string
	factor int64
}

// byteUnits is ordered from the largest to the smallest unit, because FormatBytes uses the first unit
// that fits and ParseBytes must try "B", the suffix of all others, last.
var byteUnits = []byteUnit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// ParseBytes parses a size with its unit, one of B, KiB, MiB and GiB.
func ParseBytes(v string) (int64, error) {
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(v, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err == nil && n >= 0 && n <= (1<<62)/u.factor {
			return n * u.factor, nil
		}
		break
	}
	return 0, errors.Errorf("%q is not a size with unit, such as 512B, 64KiB or 8MiB", v)
}

// FormatBytes formats a size in the largest unit of which it is a whole multiple.
func FormatBytes(n int64) string {
	for _, u := range byteUnits {
		if n >= u.factor && n%u.factor == 0 {
			return strconv.FormatInt(n/u.factor, 10) + u.suffix
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}

const (
	perSecond = "/s"
	perMinute = "/min"

	secondsPerMinute = 60
)

// ParseRate parses a rate with its unit, /s or /min, and returns it per second.
func ParseRate(v string) (float64, error) {
	divisor := 1.0
	digits, ok := strings.CutSuffix(v, perSecond)
	if !ok {
		divisor = secondsPerMinute
		digits, ok = strings.CutSuffix(v, perMinute)
	}
	n, err := parseFinite(strings.TrimSpace(digits))
	if !ok || err != nil || n < 0 {
		return 0, errors.Errorf("%q is not a rate with unit, such as 5/s or 300/min", v)
	}
	return n / divisor, nil
}

// FormatRate formats a rate per second so that ParseRate returns the same number.
func FormatRate(n float64) string { return FormatFloat(n) + perSecond }

// FormatFloat formats a number in the shortest decimal form, without exponent, that parses to the same
// number.
func FormatFloat(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

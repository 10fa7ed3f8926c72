package admin

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// namePrefix is prepended to the name of every metric in the Prometheus text format.
const namePrefix = "mallowlink_"

// nanosecondsPerSecond converts timers, which go-metrics keeps in nanoseconds.
const nanosecondsPerSecond = 1e9

// quantiles are the quantiles reported for histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99}

// WritePrometheus writes every metric of the registry in the Prometheus text format, sorted by name.
// Timers are written in seconds.
func WritePrometheus(w io.Writer, registry metrics.Registry) error {
	lines := map[string][]byte{}
	var names []string
	registry.Each(func(name string, metric any) {
		exportedName := prometheusName(name)
		names = append(names, exportedName)
		lines[exportedName] = formatMetric(exportedName, metric)
	})
	sort.Strings(names)
	for _, name := range names {
		if _, err := w.Write(lines[name]); err != nil {
			return err
		}
	}
	return nil
}

// prometheusName adds namePrefix to a metric name and replaces each character that Prometheus does not
// allow, such as a dot, by an underscore.
func prometheusName(name string) string {
	replaceInvalid := func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_':
			return r
		}
		return '_'
	}
	return namePrefix + strings.Map(replaceInvalid, name)
}

func formatMetric(name string, metric any) []byte {
	var b bytes.Buffer
	switch m := metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(&b, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(&b, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(&b, "# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case metrics.Meter:
		fmt.Fprintf(&b, "# TYPE %s counter\n%s %d\n", name, name, m.Snapshot().Count())
	case metrics.Timer:
		s := m.Snapshot()
		seconds := divideAll(s.Percentiles(quantiles), nanosecondsPerSecond)
		formatSummary(&b, name+"_seconds", seconds, float64(s.Sum())/nanosecondsPerSecond, s.Count())
	case metrics.Histogram:
		s := m.Snapshot()
		formatSummary(&b, name, s.Percentiles(quantiles), float64(s.Sum()), s.Count())
	}
	return b.Bytes()
}

// divideAll divides every value in place and returns the slice.
func divideAll(values []float64, divisor float64) []float64 {
	for i := range values {
		values[i] /= divisor
	}
	return values
}

func formatSummary(b *bytes.Buffer, name string, values []float64, sum float64, count int64) {
	fmt.Fprintf(b, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(b, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(b, "%s_sum %g\n%s_count %d\n", name, sum, name, count)
}

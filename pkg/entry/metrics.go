package entry

import (
	"github.com/rcrowley/go-metrics"

	"github.com/mallowlink/mallowlink/pkg/result"
)

// Names of the metrics that a Handler registers.
const (
	MetricRefused    = "entry.refused"
	MetricKeyRefused = "entry.key_refused"
	MetricMemoryUsed = "entry.memory_used"
	// MetricResult is the prefix of the counters per result code; the name of the code follows it.
	MetricResult = "entry.results."
)

type counters struct {
	refused    metrics.Counter
	keyRefused metrics.Counter
	registry   metrics.Registry
}

// result returns the counter of requests that ended with the given result code.
func (c counters) result(code result.Code) metrics.Counter {
	return metrics.GetOrRegisterCounter(MetricResult+code.Name(), c.registry)
}

func newCounters(r metrics.Registry) counters {
	return counters{
		refused:    metrics.GetOrRegisterCounter(MetricRefused, r),
		keyRefused: metrics.GetOrRegisterCounter(MetricKeyRefused, r),
		registry:   r,
	}
}

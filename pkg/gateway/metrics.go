package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Names of the metrics.
const (
	metricRequests = "gateway.requests"
	metricAnswered = "gateway.answered"
	metricRefused  = "gateway.refused"
	metricFailed   = "gateway.failed"
	metricRepeats  = "gateway.repeats"
	metricResumed  = "gateway.resumed"
	metricFirst    = "gateway.first"
	metricWait     = "gateway.wait"
	// metricConnectionsEnded counts the requests whose connection the endpoint closed or reset before the
	// response was complete.
	metricConnectionsEnded = "gateway.connections_ended"
	// metricReadAhead counts the responses of which a part was read ahead, because their callers read slowly.
	metricReadAhead = "gateway.read_ahead"
	// metricReadAheadMemory is the gauge of the memory for parts read ahead, in bytes.
	metricReadAheadMemory = "gateway.read_ahead_memory"
	// metricCallersStalled counts the connections closed because their callers did not read.
	metricCallersStalled = "gateway.callers_stalled"
)

// sampleSize is the number of samples of a histogram, sampleAlpha its bias to recent values. Both are the
// values that go-metrics recommends.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// meters are the gateway's counters and latency histograms, in nanoseconds.
type meters struct {
	requests, answered, refused, failed, repeats, resumed, connectionsEnded, readAhead, callersStalled metrics.Counter
	// first is the time from a request's arrival to the first part of its response, wait the time that it
	// waited for placements.
	first, wait metrics.Histogram
}

func newMeters(r metrics.Registry) meters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return meters{
		requests: counter(metricRequests), answered: counter(metricAnswered),
		refused: counter(metricRefused), failed: counter(metricFailed),
		repeats: counter(metricRepeats), resumed: counter(metricResumed),
		connectionsEnded: counter(metricConnectionsEnded),
		readAhead:        counter(metricReadAhead),
		callersStalled:   counter(metricCallersStalled),
		first:            histogram(metricFirst), wait: histogram(metricWait),
	}
}

func observe(h metrics.Histogram, d time.Duration) { h.Update(int64(d)) }

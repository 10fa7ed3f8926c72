package request

import "github.com/rcrowley/go-metrics"

// Names of the metrics of this package.
const (
	MetricRequests      = "request.received"
	MetricAnswered      = "request.answered"
	MetricReplayed      = "request.replayed"
	MetricRefused       = "request.refused"
	MetricFailed        = "request.failed"
	MetricAttempts      = "request.attempts"
	MetricReruns        = "request.reruns"
	MetricResumes       = "request.resumes"
	MetricNotRunRetries = "request.not_run_retries"
	MetricBudgetSpent   = "request.retry_budget_spent"
	MetricOwnerLost     = "request.owner_lost"
	MetricStaleEvents   = "request.stale_events"
	MetricCallerGone    = "request.caller_gone"
	MetricFollowed      = "request.followed"
	MetricKeyWithdrawn  = "request.key_withdrawn"
	MetricDuration      = "request.duration_us"
	MetricOpen          = "request.open"
)

// Parameters of the exponentially decaying sample of request durations. With this alpha the sample
// is weighted towards the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// counters holds the metrics of a Service.
type counters struct {
	requests, answered, replayed, refused, failed metrics.Counter
	attempts, reruns, resumes, notRunRetries      metrics.Counter
	budgetSpent, ownerLost, staleEvents           metrics.Counter
	callerGone, followed, keyWithdrawn            metrics.Counter
	open                                          metrics.Counter
	duration                                      metrics.Histogram
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return counters{
		requests:      counter(MetricRequests),
		answered:      counter(MetricAnswered),
		replayed:      counter(MetricReplayed),
		refused:       counter(MetricRefused),
		failed:        counter(MetricFailed),
		attempts:      counter(MetricAttempts),
		reruns:        counter(MetricReruns),
		resumes:       counter(MetricResumes),
		notRunRetries: counter(MetricNotRunRetries),
		budgetSpent:   counter(MetricBudgetSpent),
		ownerLost:     counter(MetricOwnerLost),
		staleEvents:   counter(MetricStaleEvents),
		callerGone:    counter(MetricCallerGone),
		followed:      counter(MetricFollowed),
		keyWithdrawn:  counter(MetricKeyWithdrawn),
		open:          counter(MetricOpen),
		duration:      metrics.GetOrRegisterHistogram(MetricDuration, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}

package owner

import "github.com/rcrowley/go-metrics"

// Names of this package's metrics.
const (
	metricSubmitted  = "owner.attempts.submitted"
	metricAnswered   = "owner.attempts.answered"
	metricFailed     = "owner.attempts.failed"
	metricReturned   = "owner.attempts.returned"
	metricResumed    = "owner.streams.resumed"
	metricMismatch   = "owner.answers.mismatched"
	metricLoads      = "owner.loads.done"
	metricLoadErrors = "owner.loads.failed"
	metricUnloads    = "owner.unloads.done"
	metricRestarts   = "owner.endpoints.restarted"
	metricCrashes    = "owner.endpoints.crashed"
	metricDecide     = "owner.decide"
	metricLoadTime   = "owner.loads.time"
	// metricStalls counts attempts that waited for their adapter to be loaded. metricStallTime is the time
	// from their arrival to their start.
	metricStalls    = "owner.stalls"
	metricStallTime = "owner.stalls.time"
	// metricAccountWait is the name's prefix, followed by the client account: the time from an attempt's
	// arrival to its start.
	metricAccountWait = "owner.wait.account."
)

type meters struct {
	submitted, answered, failed, returned metrics.Counter
	resumed, mismatched                   metrics.Counter
	loads, loadErrors, unloads            metrics.Counter
	restarts, crashes                     metrics.Counter
	stalls                                metrics.Counter
	decide, loadTime, stallTime           metrics.Timer

	registry metrics.Registry
}

// accountWait returns the timer of the time that the account's attempts wait to be started.
func (m meters) accountWait(account string) metrics.Timer {
	return metrics.GetOrRegisterTimer(metricAccountWait+account, m.registry)
}

func newMeters(r metrics.Registry) meters {
	return meters{
		submitted:  metrics.GetOrRegisterCounter(metricSubmitted, r),
		answered:   metrics.GetOrRegisterCounter(metricAnswered, r),
		failed:     metrics.GetOrRegisterCounter(metricFailed, r),
		returned:   metrics.GetOrRegisterCounter(metricReturned, r),
		resumed:    metrics.GetOrRegisterCounter(metricResumed, r),
		mismatched: metrics.GetOrRegisterCounter(metricMismatch, r),
		loads:      metrics.GetOrRegisterCounter(metricLoads, r),
		loadErrors: metrics.GetOrRegisterCounter(metricLoadErrors, r),
		unloads:    metrics.GetOrRegisterCounter(metricUnloads, r),
		restarts:   metrics.GetOrRegisterCounter(metricRestarts, r),
		crashes:    metrics.GetOrRegisterCounter(metricCrashes, r),
		stalls:     metrics.GetOrRegisterCounter(metricStalls, r),
		stallTime:  metrics.GetOrRegisterTimer(metricStallTime, r),
		registry:   r,
		decide:     metrics.GetOrRegisterTimer(metricDecide, r),
		loadTime:   metrics.GetOrRegisterTimer(metricLoadTime, r),
	}
}

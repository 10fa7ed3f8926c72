package dispatch

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/placement"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// failureHalfLife is the time in which the failure share of an endpoint halves without new outcomes.
	failureHalfLife = 2 * time.Second
	// failureWeight is the weight of one outcome in the failure share.
	failureWeight = 0.25
	// maxFailureShare is the failure share from which on an endpoint is avoided.
	maxFailureShare = 0.35
	// initialBackoff is how long an endpoint that cannot be connected to is avoided. It doubles with each
	// further failure up to maxBackoff, which is about the time of a restart.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// unresponsiveAfter is how long an endpoint with outstanding requests may send nothing before it is
	// avoided.
	unresponsiveAfter = 600 * time.Millisecond
	// maxPauseJitter bounds the time over which VMs spread their first requests after a pause that an endpoint
	// has asked for. A quarter of the pause applies if that is less.
	maxPauseJitter = time.Second
	// trialRetryDelay is when to retry an endpoint that takes one request at a time after a pause.
	trialRetryDelay = 50 * time.Millisecond
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.2
)

// endpointHealth is what this VM knows of one incarnation of an endpoint from its own requests.
type endpointHealth struct {
	// outstanding is the number of requests at the endpoint.
	outstanding int
	// lastActivity is when the endpoint last sent something. For requests sent to an idle endpoint it is when
	// the first response was due, which may be in the future.
	lastActivity time.Time
	// failures is the share of failed requests at failedAt, an exponential moving average; see failureShare.
	failures float64
	failedAt time.Time
	// backoff is the current backoff of an endpoint that cannot be connected to, which ends at avoidUntil.
	backoff    time.Duration
	avoidUntil time.Time
	// latency is the moving average of the time to the first part of a response; 0 if none has been measured.
	latency time.Duration
	// lastUsed is when a request was last sent to the endpoint or ended there.
	lastUsed time.Time
	// pausedUntil is until when the endpoint wants no requests from this VM. After that, halfOpen says that it
	// gets one request at a time until it has accepted one, because all VMs return at about the same moment.
	pausedUntil time.Time
	halfOpen    bool
	// trialInFlight says that the single request of a half-open endpoint is in flight.
	trialInFlight bool
	// avoided says that the endpoint was avoided when this was last checked.
	avoided bool
}

// blockedUntil returns until when the endpoint must not get requests; zero if it may get one now.
func (h *endpointHealth) blockedUntil(now time.Time) time.Time {
	switch {
	case now.Before(h.pausedUntil):
		return h.pausedUntil
	case h.trialInFlight:
		return now.Add(trialRetryDelay)
	}
	return time.Time{}
}

// pause records that the endpoint wants no requests for d. jitter, from 0 to 1, spreads the VMs' first requests
// after the pause.
func (h *endpointHealth) pause(d time.Duration, jitter float64, now time.Time) {
	spread := time.Duration(jitter * float64(min(d/4, maxPauseJitter)))
	if until := now.Add(d + spread); until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
	h.halfOpen, h.trialInFlight = true, false
}

// failureShare returns the share of failed requests, decayed to now.
func (h *endpointHealth) failureShare(now time.Time) float64 {
	if h.failures == 0 {
		return 0
	}
	return h.failures * math.Exp2(-now.Sub(h.failedAt).Seconds()/failureHalfLife.Seconds())
}

// Reasons to avoid an endpoint.
const (
	reasonUnreachable  = "unreachable"
	reasonUnresponsive = "silent"
	reasonFailing      = "failing"
)

// avoidReason returns why requests should not go to the endpoint; empty if they may.
func (h *endpointHealth) avoidReason(now time.Time) string {
	switch {
	case now.Before(h.avoidUntil):
		return reasonUnreachable
	case h.outstanding > 0 && now.Sub(h.lastActivity) > unresponsiveAfter:
		return reasonUnresponsive
	case h.failureShare(now) >= maxFailureShare:
		return reasonFailing
	}
	return ""
}

// usable reports whether requests should go to the endpoint, and logs when that has changed. s.mu is held.
func (s *healthTracker) usable(id roster.Incarnation, now time.Time) bool {
	h := s.get(id)
	why := h.avoidReason(now)
	if (why != "") == h.avoided {
		return why == ""
	}
	h.avoided = why != ""
	entry := s.log.WithFields(logrus.Fields{
		"endpoint": id.ID, "started": id.Started, "failures": h.failureShare(now), "outstanding": h.outstanding,
		"quiet": now.Sub(h.lastActivity).Round(time.Millisecond),
	})
	if h.avoided {
		entry.WithFields(logrus.Fields{"event": "endpoint_avoided", "why": why}).Warn("endpoint is avoided")
	} else {
		entry.WithField("event", "endpoint_fit").Info("endpoint is used again")
	}
	return !h.avoided
}

// requestSent records a request that goes to the endpoint. It reports whether this is the single trial request
// after a pause.
func (s *healthTracker) requestSent(id roster.Incarnation, now time.Time, expected time.Duration) (trial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.get(id)
	h.requestSent(now, expected)
	h.trialInFlight = h.trialInFlight || h.halfOpen
	return h.halfOpen
}

// requestDone records the outcome of a request. trial says that it was the single trial request after a pause.
func (s *healthTracker) requestDone(id roster.Incarnation, o gateway.Outcome, trial bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.get(id)
	if h.requestEnded(o, now); trial {
		h.trialInFlight = false
		h.halfOpen = o.Canceled || o.Unreachable || o.Rejected || o.Failed
	}
	if o.Pause == 0 {
		return
	}
	h.pause(o.Pause, s.jitter(), now)
	s.pauses.Inc(1)
	s.log.WithFields(logrus.Fields{
		"event": "endpoint_paused", "endpoint": id.ID, "started": id.Started, "asked": o.Pause,
		"until": h.pausedUntil.Sub(now).Round(time.Millisecond), "outstanding": h.outstanding,
	}).Info("endpoint asked for a pause")
}

// requestSent records a request that goes to the endpoint. expected is the expected time to its first response
// part.
func (h *endpointHealth) requestSent(now time.Time, expected time.Duration) {
	if h.outstanding == 0 {
		h.lastActivity = now.Add(expected)
	}
	h.outstanding++
	h.lastUsed = now
}

// recordActivity records that the endpoint has sent something.
func (h *endpointHealth) recordActivity(now time.Time) {
	h.lastActivity = now
	h.backoff = 0
	h.avoidUntil = time.Time{}
}

// requestEnded records the outcome of a request.
func (h *endpointHealth) requestEnded(o gateway.Outcome, now time.Time) {
	h.outstanding--
	h.lastUsed = now
	switch {
	case o.Unreachable:
		h.backoff = min(max(2*h.backoff, initialBackoff), maxBackoff)
		h.avoidUntil = now.Add(h.backoff)
	case o.Canceled, o.Pause > 0:
	case o.Failed:
		h.recordOutcome(1, now)
		h.lastActivity = now
	default:
		h.recordOutcome(0, now)
		h.recordActivity(now)
	}
	if o.FirstByte > 0 {
		h.recordLatency(o.FirstByte)
	}
}

// recordOutcome adds an outcome to the failure share: 1 for a failure, 0 for a success.
func (h *endpointHealth) recordOutcome(failed float64, now time.Time) {
	share := h.failureShare(now)
	h.failures = share + failureWeight*(failed-share)
	h.failedAt = now
}

// recordLatency adds a time to the first response part to the moving average. A longer one replaces the average
// at once.
func (h *endpointHealth) recordLatency(d time.Duration) {
	if h.latency == 0 || d > h.latency {
		h.latency = d
		return
	}
	h.latency += time.Duration(latencyWeight * float64(d-h.latency))
}

// cost returns the expected latency of one more request.
func (h *endpointHealth) cost() time.Duration { return placement.ServiceCost(h.latency, h.outstanding) }

// healthTracker tracks the health of all endpoints. It is safe for concurrent use.
type healthTracker struct {
	log logrus.FieldLogger
	// pauses counts the pauses that endpoints have asked for. jitter returns a random number from 0 to 1.
	pauses metrics.Counter
	jitter func() float64

	mu        sync.Mutex
	endpoints map[roster.Incarnation]*endpointHealth // guarded by mu
}

// metricPauses counts the pauses that endpoints have asked for.
const metricPauses = "dispatch.pauses"

func newHealthTracker(registry metrics.Registry, log logrus.FieldLogger) *healthTracker {
	return &healthTracker{
		log: log, pauses: metrics.GetOrRegisterCounter(metricPauses, registry), jitter: rand.Float64,
		endpoints: map[roster.Incarnation]*endpointHealth{},
	}
}

// get returns the health of an endpoint, which it creates if necessary. s.mu is held.
func (s *healthTracker) get(id roster.Incarnation) *endpointHealth {
	h := s.endpoints[id]
	if h == nil {
		h = &endpointHealth{}
		s.endpoints[id] = h
	}
	return h
}

// HealthStatus is the health of an endpoint as seen by this VM's own requests.
type HealthStatus struct {
	// Avoided says why requests do not go to the endpoint; empty if they do.
	Avoided string `json:"avoided"`
	// Outstanding is the number of this VM's requests at the endpoint.
	Outstanding int `json:"outstanding"`
	// Failures is the decayed share of failed requests, from 0 to 1.
	Failures float64 `json:"failures"`
	// Paused is for how much longer the endpoint wants no requests from this VM.
	Paused string `json:"paused"`
	// Latency is the moving average of the time to the first part of a response.
	Latency string `json:"latency"`
}

// HealthStatus returns the health of an endpoint as seen by this VM's own requests.
func (d *Dispatcher) HealthStatus(id roster.Incarnation) HealthStatus {
	s, now := d.health, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.endpoints[id]
	if h == nil {
		return HealthStatus{}
	}
	return HealthStatus{
		Avoided: h.avoidReason(now), Outstanding: h.outstanding, Failures: h.failureShare(now),
		Latency: h.latency.Round(time.Millisecond).String(), Paused: max(0, h.pausedUntil.Sub(now)).Round(time.Millisecond).String(),
	}
}

// healthRetention is how long the health of an unused endpoint is kept.
const healthRetention = time.Minute

// sweep discards the health of endpoints that have not been used for healthRetention.
func (s *healthTracker) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, h := range s.endpoints {
		if h.outstanding == 0 && now.Sub(h.lastUsed) > healthRetention && now.After(h.pausedUntil) {
			delete(s.endpoints, id)
		}
	}
}

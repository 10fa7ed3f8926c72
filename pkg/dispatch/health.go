package dispatch

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// failureHalfLife is the time in which past failures lose half their weight.
	failureHalfLife = 2 * time.Second
	// failureRate is the weight of one outcome in the share of failures.
	failureRate = 0.25
	// sickShare is the share of failures from which an endpoint is avoided.
	sickShare = 0.35
	// firstBackoff is how long an endpoint that cannot be connected to is avoided; it doubles with each
	// further failure up to maxBackoff, which is about the time of a restart.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// silence is how long an endpoint with requests may send nothing before it is avoided.
	silence = 600 * time.Millisecond
	// maxPauseSpread bounds the time over which VMs spread their first requests after a pause that an endpoint has asked
	// for; it is a quarter of the pause if that is less.
	maxPauseSpread = time.Second
	// trialStep is when to come back for an endpoint that takes one request at a time after a pause.
	trialStep = 50 * time.Millisecond
	// latencyRate is the weight of a new time in the average.
	latencyRate = 0.2
	// firstLatency is assumed before a time was measured.
	firstLatency = 20 * time.Millisecond
)

// condition is what this VM knows of one run of an endpoint from its own requests.
type condition struct {
	outstanding int
	// quietSince is when the endpoint last gave a sign of life, or when the first answer was due of the
	// requests that it got after that.
	quietSince time.Time
	failures   float64
	failedAt   time.Time
	backoff    time.Duration
	avoidUntil time.Time
	latency    time.Duration
	seen       time.Time
	// pausedUntil is until when the endpoint wants no requests from this VM. After that, trial says that it gets one at a
	// time until it takes one: all VMs come back at about the same moment.
	pausedUntil time.Time
	trial       bool
	// trying says that such a request is under way.
	trying bool
	// avoided says that the endpoint was unfit when it was last looked at.
	avoided bool
}

// paused returns until when the endpoint must get no request, zero if it may get one now.
func (c *condition) paused(now time.Time) time.Time {
	switch {
	case now.Before(c.pausedUntil):
		return c.pausedUntil
	case c.trying:
		return now.Add(trialStep)
	}
	return time.Time{}
}

// pause notes that the endpoint wants no requests for d. luck, from 0 to 1, spreads the VMs' first requests after it.
func (c *condition) pause(d time.Duration, luck float64, now time.Time) {
	spread := time.Duration(luck * float64(min(d/4, maxPauseSpread)))
	if until := now.Add(d + spread); until.After(c.pausedUntil) {
		c.pausedUntil = until
	}
	c.trial, c.trying = true, false
}

// share returns the decayed share of failures.
func (c *condition) share(now time.Time) float64 {
	if c.failures == 0 {
		return 0
	}
	return c.failures * math.Exp2(-now.Sub(c.failedAt).Seconds()/failureHalfLife.Seconds())
}

// Reasons to avoid an endpoint.
const (
	unreachable = "unreachable"
	silent      = "silent"
	failing     = "failing"
)

// unfit returns why requests should not go to the endpoint, empty if they may.
func (c *condition) unfit(now time.Time) string {
	switch {
	case now.Before(c.avoidUntil):
		return unreachable
	case c.outstanding > 0 && now.Sub(c.quietSince) > silence:
		return silent
	case c.share(now) >= sickShare:
		return failing
	}
	return ""
}

// fit reports whether requests should go to the endpoint. It logs when that has changed. s.mu is held.
func (s *conditions) fit(id roster.Incarnation, now time.Time) bool {
	c := s.get(id)
	why := c.unfit(now)
	if (why != "") == c.avoided {
		return why == ""
	}
	c.avoided = why != ""
	entry := s.log.WithFields(logrus.Fields{
		"endpoint": id.ID, "started": id.Started, "failures": c.share(now), "outstanding": c.outstanding,
		"quiet": now.Sub(c.quietSince).Round(time.Millisecond),
	})
	if c.avoided {
		entry.WithFields(logrus.Fields{"event": "endpoint_avoided", "why": why}).Warn()
	} else {
		entry.WithField("event", "endpoint_fit").Info()
	}
	return !c.avoided
}

// sent notes a request that goes to the endpoint. It reports whether that is the only one after a pause.
func (s *conditions) sent(id roster.Incarnation, now time.Time, expected time.Duration) (trial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.get(id)
	c.sent(now, expected)
	c.trying = c.trying || c.trial
	return c.trial
}

// done notes how the endpoint fared with a request, which was the only one after a pause if trial.
func (s *conditions) done(id roster.Incarnation, o gateway.Outcome, trial bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.get(id)
	if c.ended(o, now); trial {
		c.trying = false
		c.trial = o.Cut || o.Unreachable || o.Rejected || o.Failed
	}
	if o.Pause == 0 {
		return
	}
	c.pause(o.Pause, s.luck(), now)
	s.pauses.Inc(1)
	s.log.WithFields(logrus.Fields{
		"event": "endpoint_paused", "endpoint": id.ID, "started": id.Started, "asked": o.Pause,
		"until": c.pausedUntil.Sub(now).Round(time.Millisecond), "outstanding": c.outstanding,
	}).Info()
}

// sent notes a request that goes to the endpoint, and the time that its answer is expected to take to begin.
func (c *condition) sent(now time.Time, expected time.Duration) {
	if c.outstanding == 0 {
		c.quietSince = now.Add(expected)
	}
	c.outstanding++
	c.seen = now
}

// alive notes a sign of life.
func (c *condition) alive(now time.Time) {
	c.quietSince = now
	c.backoff = 0
	c.avoidUntil = time.Time{}
}

// ended notes how the endpoint fared with a request.
func (c *condition) ended(o gateway.Outcome, now time.Time) {
	c.outstanding--
	c.seen = now
	switch {
	case o.Unreachable:
		c.backoff = min(max(2*c.backoff, firstBackoff), maxBackoff)
		c.avoidUntil = now.Add(c.backoff)
	case o.Cut, o.Pause > 0:
	case o.Failed:
		c.note(1, now)
		c.quietSince = now
	default:
		c.note(0, now)
		c.alive(now)
	}
	if o.First > 0 {
		c.measure(o.First)
	}
}

// note takes one outcome into the share of failures.
func (c *condition) note(failed float64, now time.Time) {
	share := c.share(now)
	c.failures = share + failureRate*(failed-share)
	c.failedAt = now
}

// measure takes a time to the first part of an answer into the average. A longer one counts at once.
func (c *condition) measure(d time.Duration) {
	if c.latency == 0 || d > c.latency {
		c.latency = d
		return
	}
	c.latency += time.Duration(latencyRate * float64(d-c.latency))
}

// cost is the expected time for one more request.
func (c *condition) cost() time.Duration {
	latency := c.latency
	if latency == 0 {
		latency = firstLatency
	}
	return latency * time.Duration(c.outstanding+1)
}

// conditions are those of all endpoints. They are safe for concurrent use.
type conditions struct {
	log logrus.FieldLogger
	// pauses counts the pauses that endpoints have asked for; luck returns a random number from 0 to 1.
	pauses metrics.Counter
	luck   func() float64

	mu   sync.Mutex
	list map[roster.Incarnation]*condition // guarded by mu
}

// metricPauses counts the pauses that endpoints have asked for.
const metricPauses = "dispatch.pauses"

func newConditions(registry metrics.Registry, log logrus.FieldLogger) *conditions {
	return &conditions{
		log: log, pauses: metrics.GetOrRegisterCounter(metricPauses, registry), luck: rand.Float64,
		list: map[roster.Incarnation]*condition{},
	}
}

// get returns the condition of an endpoint. s.mu is held.
func (s *conditions) get(id roster.Incarnation) *condition {
	c := s.list[id]
	if c == nil {
		c = &condition{}
		s.list[id] = c
	}
	return c
}

// Condition is what a VM knows of an endpoint from its own requests.
type Condition struct {
	// Avoided says why requests do not go to the endpoint, empty if they do.
	Avoided     string  `json:"avoided"`
	Outstanding int     `json:"outstanding"`
	Failures    float64 `json:"failures"`
	// Paused is for how much longer the endpoint wants no requests from this VM.
	Paused string `json:"paused"`
	// Latency is the time to the first part of an answer.
	Latency string `json:"latency"`
}

// Condition returns what this VM knows of an endpoint.
func (d *Dispatcher) Condition(id roster.Incarnation) Condition {
	s, now := d.conditions, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.list[id]
	if c == nil {
		return Condition{}
	}
	return Condition{
		Avoided: c.unfit(now), Outstanding: c.outstanding, Failures: c.share(now),
		Latency: c.latency.Round(time.Millisecond).String(), Paused: max(0, c.pausedUntil.Sub(now)).Round(time.Millisecond).String(),
	}
}

// forgetAfter is how long the condition of an unused endpoint is kept.
const forgetAfter = time.Minute

// sweep forgets endpoints that have not been used for long.
func (s *conditions) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, c := range s.list {
		if c.outstanding == 0 && now.Sub(c.seen) > forgetAfter && now.After(c.pausedUntil) {
			delete(s.list, id)
		}
	}
}

// Package ratelimit tracks the rate limits that endpoints state in their responses: the number of requests per second
// that an endpoint accepts from all VMs together.
package ratelimit

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// metricStatements counts the changes of limits that this VM has learned of.
const metricStatements = "ratelimit.changes"

// Config holds the dependencies of a Limiter.
type Config struct {
	Metrics metrics.Registry
	Log     logrus.FieldLogger
}

// Limiter tracks the limits of all endpoints. It is safe for concurrent use.
type Limiter struct {
	cfg     Config
	changes metrics.Counter

	mu        sync.Mutex
	endpoints map[string]*endpoint // by ID, guarded by mu
}

// endpoint is what this VM knows about the limit of one endpoint.
type endpoint struct {
	stated statement
}

// New returns a Limiter that knows of no limits.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg: cfg, changes: metrics.GetOrRegisterCounter(metricStatements, cfg.Metrics), endpoints: map[string]*endpoint{},
	}
}

// sourceResponse is the source, in logs, of statements in responses to this VM. Other sources are VMs.
const sourceResponse = "response"

// Observe records what a response states about the limit of an endpoint. sent is when the request was sent.
func (l *Limiter) Observe(id roster.Incarnation, info dialect.ResponseInfo, sent time.Time) {
	s := statement{started: id.Started, rate: unlimited, sent: sent, received: time.Now()}
	switch {
	case info.RateLimitText != "":
		l.cfg.Log.WithFields(logrus.Fields{
			"event": "endpoint_limit_malformed", "endpoint": id.ID, "started": id.Started, "limit": info.RateLimitText,
		}).Warn("rate limit stated by endpoint cannot be parsed")
		return
	case info.HasRateLimit:
		s.rate = info.RateLimit
	case !info.Signed:
		// Only the responses of a request that has run show that there is no limit.
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learn(id.ID, s, sourceResponse)
}

// learn records a statement unless the known one counts. It reports whether the limit has changed. l.mu is held.
func (l *Limiter) learn(id string, s statement, source string) bool {
	e := l.endpoints[id]
	if e == nil {
		if !s.limited() {
			return false
		}
		e = &endpoint{stated: statement{rate: unlimited}}
		l.endpoints[id] = e
	}
	before := e.stated
	if !s.supersedes(before) {
		return false
	}
	e.stated = s
	if s.rate == before.rate {
		return false
	}
	l.changes.Inc(1)
	l.cfg.Log.WithFields(logrus.Fields{
		"event": "endpoint_limit", "endpoint": id, "started": s.started, "limit": s.rate, "before": before.rate, "source": source,
		"age": time.Since(s.received).Round(time.Millisecond),
	}).Info("rate limit of endpoint has changed")
	return true
}

// State is the limit of an endpoint as this VM knows it.
type State struct {
	// Limit is the number of requests per second for all VMs together; nil if there is no limit.
	Limit *float64 `json:"limit"`
	// Age is the time since the limit was last stated; empty if there is none.
	Age string `json:"limit_age"`
}

// State returns the limit of an endpoint.
func (l *Limiter) State(endpoint string) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[endpoint]
	if e == nil || !e.stated.limited() {
		return State{}
	}
	rate := e.stated.rate
	return State{Limit: &rate, Age: time.Since(e.stated.received).Round(time.Millisecond).String()}
}

// retention is how long the limit of an endpoint is remembered that no response has stated since.
const retention = 10 * time.Minute

// Sweep discards what is outdated.
func (l *Limiter) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.endpoints {
		if clock.Elapsed(e.stated.received, now) > retention {
			delete(l.endpoints, id)
		}
	}
}

// LogFields returns the limit of an endpoint, the process of the endpoint that has stated it and when, as fields of a
// log line; none if there is no limit.
func (l *Limiter) LogFields(endpoint string) logrus.Fields {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[endpoint]
	if e == nil || !e.stated.limited() {
		return nil
	}
	return logrus.Fields{
		"limit": e.stated.rate, "limit_started": e.stated.started, "limit_age": time.Since(e.stated.received).Round(time.Millisecond),
	}
}

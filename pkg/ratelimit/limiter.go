// Package ratelimit keeps endpoints within the rate limits that they state in their responses: the number of requests
// per second that an endpoint accepts from all VMs together.
//
// The VM that holds the lease of an endpoint is the home of the endpoint. While a limit is stated, every VM asks the
// home before each request to the endpoint, and the home grants requests at the limit. Requests that were sent before
// the limit was known count as well: VMs report them to the home. A home that has just begun grants no burst, and learns
// of the limit from the VMs that ask. A VM that cannot reach the home may use its share of a small part of the limit, so
// that all VMs together stay near the limit however they are cut off from each other.
package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// callTimeout bounds one call from VM to VM. VMs are about 1 ms apart.
	callTimeout = 150 * time.Millisecond
	// takeTimeout bounds the call that a request waits for. Some requests have objectives of 100 ms.
	takeTimeout = 80 * time.Millisecond
	// homeBackoff is how long the home of an endpoint is not asked after it could not be reached.
	homeBackoff = 500 * time.Millisecond
	// noHomeRetryAfter is the time after which to try again an endpoint without a reachable home, for a VM that does
	// not know the number of VMs. By then the lease should have been taken over.
	noHomeRetryAfter = time.Second
	// retention is how long the limit of an endpoint is remembered after a response has last stated it.
	retention = 10 * time.Minute
)

// Names of counters: changes of limits that this VM has learned of, and requests that were withheld from an endpoint.
const (
	metricChanges  = "ratelimit.changes"
	metricWithheld = "ratelimit.withheld"
)

// Fleet lists the VMs that send requests to endpoints.
type Fleet interface {
	Members() []membership.Member
}

// Config holds the dependencies of a Limiter.
type Config struct {
	// Self identifies this VM.
	Self   string
	Leases lease.View
	// LeaseOf returns the name of the lease whose holder is the home of an endpoint.
	LeaseOf func(endpoint string) string
	Fleet   Fleet
	// FleetSize returns the number of VMs that are known to be in the fleet, 1 if no other VM is known.
	FleetSize func() int
	// Cold returns the limits of cold endpoints by group; groups without one are missing. GroupOf returns the group of a
	// listed endpoint. Without these functions no endpoint is cold.
	Cold    func() map[string]ColdLimit
	GroupOf func(endpoint string) (string, bool)
	// ListAge returns how old the list of endpoints may be; nil if it is always current.
	ListAge func() time.Duration
	// ColdBounds set how many requests a cold endpoint may get within a second.
	ColdBounds ColdBounds
	// FirstStart says that the whole deployment starts for the first time.
	FirstStart bool
	PeerClient peer.Client
	Metrics    metrics.Registry
	Log        logrus.FieldLogger
}

// Limiter withholds requests from endpoints beyond the limits that they state. It is safe for concurrent use.
type Limiter struct {
	cfg               Config
	ctx               context.Context
	changes, withheld metrics.Counter
	// coldGranted, coldWithheld and cold are described at the names of the metrics.
	coldGranted, coldWithheld metrics.Counter
	cold                      metrics.Gauge
	wake                      chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.

	endpoints map[string]*endpoint // by ID
	// maxVMs is the greatest number of VMs that this process has known. VMs that are cut off from each other must
	// not each use the share of a VM in a small fleet.
	maxVMs int
	// listed holds the last entries of the endpoints that may be cold, by ID, lists is the number of lists recorded, and
	// coldGroups are the groups that had a limit for cold endpoints when the last one was.
	listed     map[string]listEntry
	lists      uint64
	coldGroups map[string]bool
}

// endpoint is what this VM knows about the limit of one endpoint.
type endpoint struct {
	stated statement
	cold   coldState
	// blockedUntil is until when no request is sent from this VM to the incarnation blockedStarted of the endpoint.
	blockedUntil   time.Time
	blockedStarted int64
	// homeLost says that the last call to the home failed. The home is not called again before homeBackoffUntil.
	homeLost         bool
	homeBackoffUntil time.Time
	share            share
	// unasked counts the requests that this VM has sent to the endpoint without asking a home.
	unasked counts

	// The fields below are used while this VM is the home.

	bucket bucket
	// granted counts the granted requests, reports those that other VMs have sent without asking, by VM.
	granted   counts
	reports   map[string]counts
	announced map[string]announced // by VM
}

// New returns a Limiter that knows of no limits. Its calls to other VMs end when ctx ends.
func New(ctx context.Context, cfg Config) *Limiter {
	return &Limiter{
		cfg: cfg, ctx: ctx, wake: make(chan struct{}, 1), endpoints: map[string]*endpoint{}, listed: map[string]listEntry{},
		changes:  metrics.GetOrRegisterCounter(metricChanges, cfg.Metrics),
		withheld: metrics.GetOrRegisterCounter(metricWithheld, cfg.Metrics),

		coldGranted:  metrics.GetOrRegisterCounter(metricColdGranted, cfg.Metrics),
		coldWithheld: metrics.GetOrRegisterCounter(metricColdWithheld, cfg.Metrics),
		cold:         metrics.GetOrRegisterGauge(metricCold, cfg.Metrics),
	}
}

// Run announces limits to other VMs and discards what is outdated until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.sweep(time.Now())
		case <-l.wake:
		}
		l.announceAll()
	}
}

// sourceResponse is the source, in logs, of statements in responses to this VM. Other sources are VMs.
const sourceResponse = "response"

// Observe records what a response states about the limit and the cold time of an endpoint. sent is when the request was
// sent.
func (l *Limiter) Observe(id roster.Incarnation, info dialect.ResponseInfo, sent time.Time) {
	l.observeCold(id, info, sent)
	l.observeLimit(id, info, sent)
}

// observeLimit records what a response states about the limit of an endpoint.
func (l *Limiter) observeLimit(id roster.Incarnation, info dialect.ResponseInfo, sent time.Time) {
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
	changed := l.learn(id.ID, s, sourceResponse)
	l.mu.Unlock()
	if changed {
		go l.reportToHome(id.ID)
	}
}

// limited reports whether the endpoint states a limit or is cold.
func (e *endpoint) limited(now time.Time) bool { return e.stated.limited() || e.cold.active(now) }

// limit returns the lowest limit that holds for the endpoint; unlimited if there is none.
func (e *endpoint) limit(now time.Time) float64 {
	if e.cold.active(now) {
		return min(e.stated.rate, e.cold.rate)
	}
	return e.stated.rate
}

// endpoint returns what is known about an endpoint. l.mu is held.
func (l *Limiter) endpoint(id string) *endpoint {
	e := l.endpoints[id]
	if e == nil {
		e = &endpoint{stated: statement{rate: unlimited}}
		l.endpoints[id] = e
	}
	return e
}

// learn records a statement unless the known one counts. It reports whether the limit has changed. l.mu is held.
func (l *Limiter) learn(id string, s statement, source string) bool {
	e := l.endpoint(id)
	before := e.stated
	if !before.known() && !s.limited() || !s.supersedes(before) {
		return false
	}
	e.stated = s
	if s.rate == before.rate {
		return false
	}
	if s.rate > before.rate {
		e.blockedUntil = time.Time{}
	}
	if !s.limited() {
		clear(e.announced)
	}
	l.changes.Inc(1)
	l.cfg.Log.WithFields(logrus.Fields{
		"event": "endpoint_limit", "endpoint": id, "started": s.started, "limit": s.rate, "before": before.rate, "source": source,
		"age": time.Since(s.received).Round(time.Millisecond),
	}).Info("rate limit of endpoint has changed")
	l.signal()
	return true
}

// signal makes Run check at once to which VMs limits have to be announced.
func (l *Limiter) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// reportToHome reports to the home of an endpoint what this VM has learned about the endpoint.
func (l *Limiter) reportToHome(id string) {
	holder, known := l.cfg.Leases.HolderOf(l.cfg.LeaseOf(id))
	if !known || holder.VM == l.cfg.Self {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	now := time.Now()
	l.mu.Lock()
	e := l.endpoint(id)
	args := &AnnounceArgs{VM: l.cfg.Self, Stated: e.stated.message(id, now), Cold: e.cold.message(now), Recent: e.unasked.recent(now)}
	l.mu.Unlock()
	if err := l.cfg.PeerClient.Call(ctx, holder.Address, announceMethod, args, &AnnounceReply{}); err != nil {
		// The home learns of a limit when it is next asked, and of its end from a response to another VM.
		l.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "endpoint_limit_not_announced", "endpoint": id, "home": holder.VM}).
			Info("a change of the rate limit of an endpoint could not be reported to its home")
	}
}

// sweep discards the endpoints that have stated no limit for retention and got no request from this VM for a window, and
// updates the number of VMs.
func (l *Limiter) sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countVMs()
	l.sweepCold(now)
	for id, e := range l.endpoints {
		if e.unasked.sum(now) == 0 && e.cold.outdated(now) && (!e.stated.known() || clock.Elapsed(e.stated.received, now) > retention) {
			delete(l.endpoints, id)
		}
	}
}

// Package dispatch chooses the endpoint for each request. A request to a plain service goes to the endpoint
// with the lowest expected latency. A request to an engine goes to one of its homes: the engines to which
// rendezvous hashing maps its adapter or the start of its prompt.
//
// Each engine has an owner, the VM whose lease lets it send orders (load or evict an adapter) to the engine.
// The dispatcher asks the owner for a permit before it sends a request to an engine. While no owner can be
// reached, it falls back on engines that are known to hold the adapter.
package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/ratelimit"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// Config holds the dependencies and settings of a Dispatcher.
type Config struct {
	// Self identifies this VM, Incarnation its process.
	Self          string
	Incarnation   string
	FailureDomain string
	Roster        *roster.Roster
	Orders        *orders.Service
	Leases        lease.View
	PeerClient    peer.Client
	// Engines fetches status reports directly from engines whose owners cannot be reached.
	Engines ReportReader
	// RosterAge returns how old the list of endpoints may be.
	RosterAge func() time.Duration
	// Limits tracks the rate limits that endpoints state.
	Limits *ratelimit.Limiter
	// Newest returns the newest version of an adapter that the operator has declared; 0 if none.
	Newest  func(residency.Key) int
	Metrics metrics.Registry
	Log     logrus.FieldLogger
}

// Dispatcher implements gateway.Dispatcher. It is safe for concurrent use.
type Dispatcher struct {
	cfg       Config
	health    *healthTracker
	owners    *ownerClient
	locations *adapterLocations
	hotKeys   *hotKeys
	reports   *reportCache
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:       cfg,
		health:    newHealthTracker(cfg.Metrics, cfg.Log),
		locations: newAdapterLocations(),
		hotKeys:   newHotKeys(),
		reports:   newReportCache(cfg.Engines, cfg.Log),
		owners:    newOwnerClient(cfg.Self, cfg.Incarnation, cfg.Orders, cfg.Leases, cfg.PeerClient, cfg.Log),
	}
}

// sweepInterval is the time between two passes that discard outdated entries of the dispatcher's tables.
const sweepInterval = 10 * time.Second

// Run sends permit updates to the owners of engines and discards outdated state until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	go clock.Every(ctx, sweepInterval, func(now time.Time) {
		d.health.sweep(now)
		d.locations.sweep(now)
		d.hotKeys.sweep(now)
		d.reports.sweep(now)
		d.cfg.Limits.Sweep(now)
	})
	d.owners.run(ctx)
}

// RecordLoaded records the adapters that an engine reports as loaded.
func (d *Dispatcher) RecordLoaded(e roster.Endpoint) {
	now := time.Now()
	for _, a := range e.Loaded {
		d.locations.record(residency.KeyOf(a), e.Incarnation, a.Version, now)
	}
}

// Place implements gateway.Dispatcher.
func (d *Dispatcher) Place(ctx context.Context, req gateway.Request) (gateway.Placement, error) {
	group, now := d.cfg.Roster.View().Group(req.Group.Name), time.Now()
	candidates := d.health.candidates(group, req.Exclude, now)
	if len(candidates) == 0 {
		return gateway.Placement{}, d.noEndpointError(group, now)
	}
	if req.Group.Engine == nil {
		e, cost := d.health.pickService(candidates, d.cfg.FailureDomain, rand.IntN)
		d.logPlaced(req, e, logrus.Fields{"by": "least_cost", "cost": cost.Round(time.Microsecond), "candidates": len(candidates)})
		return d.newPlacement(e, 0, 0, func(orders.PermitUpdate) {}), nil
	}
	return d.placeOnEngine(ctx, req, candidates)
}

// noEndpointError returns the error for a request that no endpoint of the group accepts.
func (d *Dispatcher) noEndpointError(group []roster.Endpoint, now time.Time) error {
	until := d.health.earliestPauseEnd(group, now)
	if until.IsZero() {
		return result.New(result.NoEndpoint, "no endpoint takes requests for the route")
	}
	e := result.New(result.QueueFull, "the endpoints that are left have asked for a pause")
	e.RetryAfter = max(until.Sub(now), minRetryAfter)
	return e
}

// logPlaced logs that a request goes to an endpoint, together with the reasons for the choice.
func (d *Dispatcher) logPlaced(req gateway.Request, e roster.Endpoint, reasons logrus.Fields) {
	d.cfg.Log.WithFields(reasons).WithFields(d.cfg.Limits.LogFields(e.ID)).WithFields(logrus.Fields{
		"event": "placed", "id": req.ID, "endpoint": e.ID, "started": e.Started,
		"list_age": d.cfg.RosterAge().Round(time.Millisecond),
	}).Info("request placed on endpoint")
}

// newPlacement records that a request is about to be sent to an endpoint and returns its placement. expected is
// the expected time to the first part of the response. notify receives what becomes of the request's permit.
func (d *Dispatcher) newPlacement(e roster.Endpoint, version int, expected time.Duration, notify func(orders.PermitUpdate)) gateway.Placement {
	trial := d.health.requestSent(e.Incarnation, time.Now(), expected)
	recordActivity := func() {
		d.health.mu.Lock()
		defer d.health.mu.Unlock()
		d.health.get(e.Incarnation).recordActivity(time.Now())
	}
	return gateway.Placement{
		Endpoint:       e,
		AdapterVersion: version,
		Started: func(after time.Duration) {
			recordActivity()
			notify(orders.PermitUpdate{Started: true, First: after})
		},
		Progress: recordActivity,
		Done: func(o gateway.Outcome) {
			d.health.requestDone(e.Incarnation, o, trial, time.Now())
			notify(orders.PermitUpdate{Ended: true, Missing: o.AdapterMissing})
		},
	}
}

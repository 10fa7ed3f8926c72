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
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/placement"
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
	// Limits keeps endpoints within the rate limits that they state.
	Limits *ratelimit.Limiter
	// Newest returns the newest version of an adapter that the operator has declared; 0 if none.
	Newest func(residency.Key) int
	// Placement selects the logic that chooses engines.
	Placement placement.Mode
	Metrics   metrics.Registry
	Log       logrus.FieldLogger
}

// Dispatcher implements gateway.Dispatcher. It is safe for concurrent use.
type Dispatcher struct {
	cfg       Config
	health    *healthTracker
	owners    *ownerClient
	locations *adapterLocations
	hotKeys   *placement.HotKeys
	reports   *reportCache
	returns   placement.ReturnSchedule
	costs     placement.CostContext
	services  *placement.Services
	admission *placement.ServiceAdmission
	lengths   *placement.Lengths
	// refused counts, by urgency, the requests that no engine could take in time, beyondHomes those sent to other
	// engines than their homes.
	refused     [refusedRanks]metrics.Counter
	beyondHomes metrics.Counter
	// withheld counts the requests that were kept from endpoints because their failure domain is evacuated.
	withheld metrics.Counter
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	d := &Dispatcher{
		cfg:       cfg,
		health:    newHealthTracker(cfg.Metrics, cfg.Log),
		locations: newAdapterLocations(),
		hotKeys:   placement.NewHotKeys(),
		costs:     placement.NewCostContext(cfg.FailureDomain),
		services:  placement.NewServices(),
		admission: placement.NewServiceAdmission(rand.Float64),
		lengths:   placement.NewLengths(),
		reports:   newReportCache(cfg.Engines, cfg.Log),
		withheld:  metrics.GetOrRegisterCounter(metricWithheld, cfg.Metrics),
		owners:    newOwnerClient(cfg.Self, cfg.Incarnation, cfg.Orders, cfg.Leases, cfg.PeerClient, cfg.Log),
	}
	metrics.NewRegisteredFunctionalGauge(metricHeld, cfg.Metrics, d.costs.Admission.Held)
	d.beyondHomes = metrics.GetOrRegisterCounter(metricBeyondHomes, cfg.Metrics)
	for rank := range d.refused {
		d.refused[rank] = metrics.GetOrRegisterCounter(metricRefused+strconv.Itoa(rank), cfg.Metrics)
	}
	return d
}

const (
	// metricHeld is the name of the gauge of requests that wait for an engine to become less busy.
	metricHeld = "dispatch.held"
	// metricRefused is the beginning of the names of the counters of requests that no engine could take in time. The
	// urgency follows; the last one stands for all that are less urgent.
	metricRefused = "dispatch.refused.rank_"
	refusedRanks  = 4
	// metricBeyondHomes counts the requests sent to engines that are none of their homes.
	metricBeyondHomes = "dispatch.beyond_homes"
)

// sweepInterval is the time between two passes that discard outdated entries of the dispatcher's tables.
const sweepInterval = 10 * time.Second

// Run sends permit updates to the owners of engines and discards outdated state until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	go clock.Every(ctx, sweepInterval, func(now time.Time) {
		d.health.sweep(now)
		d.locations.sweep(now)
		d.hotKeys.Sweep(now)
		d.costs.Sweep(now)
		d.services.Sweep(now)
		d.lengths.Sweep(now)
		d.reports.sweep(now)
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

// maxPlaceTries is the number of endpoints that may turn out to have no room within their stated limits before a
// request is refused.
const maxPlaceTries = 8

// errOverLimit says that an endpoint that a request was to go to has no room within its stated limit. The endpoint is
// no candidate until it has.
var errOverLimit = errors.New("the endpoint has no room within the rate limit that it states")

// Place implements gateway.Dispatcher.
func (d *Dispatcher) Place(ctx context.Context, req gateway.Request) (gateway.Placement, error) {
	for range maxPlaceTries {
		chosen, err := d.tryPlace(ctx, req)
		if errors.Is(err, errEvacuated) {
			d.withheld.Inc(1)
			continue
		}
		if !errors.Is(err, errOverLimit) {
			return chosen, err
		}
	}
	return gateway.Placement{}, d.noRoomError(req, time.Now())
}

// tryPlace returns a placement for the request, or errOverLimit if the chosen endpoint has no room.
func (d *Dispatcher) tryPlace(ctx context.Context, req gateway.Request) (gateway.Placement, error) {
	now := time.Now()
	outside, leaving := splitEvacuating(d.cfg.Roster.View(), req.Group.Name, now)
	if req.Continues {
		outside, leaving = ofSoftware(outside, req), ofSoftware(leaving, req)
		if len(outside)+len(leaving) == 0 {
			return gateway.Placement{}, result.New(result.NoEndpoint, "no endpoint of the software version of the stream is listed")
		}
	}
	candidates := d.cfg.Limits.Unblocked(d.health.candidates(outside, req.Exclude, now), now)
	if len(candidates) == 0 {
		if len(outside) == 0 && len(d.group(req)) > 0 {
			d.withheld.Inc(1)
			return gateway.Placement{}, result.New(result.NoEndpoint, "all endpoints for the route are in evacuated failure domains")
		}
		return gateway.Placement{}, d.noEndpointError(req, outside)
	}
	if req.Group.Engine != nil {
		leaving = d.cfg.Limits.Unblocked(d.health.candidates(leaving, req.Exclude, now), now)
		return d.placeOnEngine(ctx, req, candidates, leaving)
	}
	return d.placeOnService(req, candidates, now)
}

// ofSoftware returns the endpoints whose software version may serve the request.
func ofSoftware(list []roster.Endpoint, req gateway.Request) []roster.Endpoint {
	if !slices.ContainsFunc(list, func(e roster.Endpoint) bool { return !req.MayGoTo(e.Software) }) {
		return list
	}
	var matching []roster.Endpoint
	for _, e := range list {
		if req.MayGoTo(e.Software) {
			matching = append(matching, e)
		}
	}
	return matching
}

// group returns the endpoints that may serve the request.
func (d *Dispatcher) group(req gateway.Request) []roster.Endpoint {
	return d.cfg.Roster.View().Group(req.Group.Name)
}

// takeLimit asks whether the request may go to an endpoint within the limit that the endpoint states, and logs if it
// may not.
func (d *Dispatcher) takeLimit(req gateway.Request, e roster.Endpoint) ratelimit.Decision {
	decision := d.cfg.Limits.Take(e.Incarnation)
	if !decision.Granted {
		d.cfg.Log.WithFields(decision.LogFields()).WithFields(logrus.Fields{
			"event": "endpoint_over_limit", "id": req.ID, "endpoint": e.ID, "started": e.Started,
			"retry_after": decision.RetryAfter.Round(time.Millisecond),
		}).Info("request withheld from endpoint within its stated limit")
	}
	return decision
}

// noEndpointError returns the error for a request that no endpoint of a group accepts now. If endpoints have asked
// for a pause or have no room within their stated limits, it says when the first of them accepts requests again.
func (d *Dispatcher) noEndpointError(req gateway.Request, group []roster.Endpoint) error {
	if until := d.earliestRoom(group, time.Now()); !until.IsZero() {
		return d.noRoomError(req, until)
	}
	return result.New(result.NoEndpoint, "no endpoint takes requests for the route")
}

// noRoomError returns the error for a request that may find room at an endpoint from a time on.
func (d *Dispatcher) noRoomError(req gateway.Request, until time.Time) error {
	now := time.Now()
	e := result.New(result.QueueFull, "the endpoints that are left have asked for a pause or are at the rate limits that they state")
	e.RetryAfter = max(d.returns.Schedule(req.Group.Name, until, d.returnInterval(d.group(req), now), now).Sub(now), placement.MinRetryAfter)
	return e
}

// logPlaced logs that a request goes to an endpoint, together with the reasons for the choice.
func (d *Dispatcher) logPlaced(req gateway.Request, e roster.Endpoint, limit ratelimit.Decision, reasons logrus.Fields) {
	d.cfg.Log.WithFields(reasons).WithFields(limit.LogFields()).WithFields(logrus.Fields{
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
			notify(orders.PermitUpdate{Ended: true, Missing: o.AdapterMissing, Ran: o.Ran, Events: o.Events})
		},
	}
}

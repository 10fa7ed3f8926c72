// Package dispatch chooses the endpoint of each request: of plain services the one with the least
// expected time, of engines the one where the request's adapter and prompt are at home.
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
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// Config holds what the dispatcher works with.
type Config struct {
	// Self identifies this VM, Incarnation its process.
	Self          string
	Incarnation   string
	FailureDomain string
	Roster        *roster.Roster
	Orders        *orders.Service
	Leases        lease.Lessor
	Caller        peer.Caller
	// Engines reads the reports of engines whose owners cannot be reached.
	Engines Reporter
	// RosterAge returns how old the list of endpoints may be.
	RosterAge func() time.Duration
	// Newest returns the newest version of an adapter that the operator has declared; 0 if none.
	Newest  func(residency.Key) int
	Metrics metrics.Registry
	Log     logrus.FieldLogger
}

// Dispatcher implements gateway.Dispatcher.
type Dispatcher struct {
	cfg        Config
	conditions *conditions
	owners     *owners
	memory     *memory
	spreads    *spreads
	reports    *reports
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:        cfg,
		conditions: newConditions(cfg.Metrics, cfg.Log),
		memory:     newMemory(),
		spreads:    newSpreads(),
		reports:    newReports(cfg.Engines, cfg.Log),
		owners:     newOwners(cfg.Self, cfg.Incarnation, cfg.Orders, cfg.Leases, cfg.Caller, cfg.Log),
	}
}

// sweepPause is the time between two passes over the conditions of endpoints.
const sweepPause = 10 * time.Second

// Run passes notices on to the owners of engines until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	go clock.Every(ctx, sweepPause, func(now time.Time) {
		d.conditions.sweep(now)
		d.memory.sweep(now)
		d.spreads.sweep(now)
		d.reports.sweep(now)
	})
	d.owners.run(ctx)
}

// Seen takes in the adapters that an engine has reported to hold.
func (d *Dispatcher) Seen(e roster.Endpoint) {
	now := time.Now()
	for _, a := range e.Loaded {
		d.memory.note(residency.KeyOf(a), e.Incarnation, a.Version, now)
	}
}

// Place implements gateway.Dispatcher.
func (d *Dispatcher) Place(ctx context.Context, w gateway.Work) (gateway.Place, error) {
	group, now := d.cfg.Roster.View().Group(w.Group.Name), time.Now()
	candidates := d.conditions.candidates(group, w.Exclude, now)
	if len(candidates) == 0 {
		return gateway.Place{}, d.none(group, now)
	}
	if w.Group.Engine == nil {
		e, cost := d.conditions.pickService(candidates, d.cfg.FailureDomain, rand.IntN)
		d.logPlaced(w, e, logrus.Fields{"by": "least_cost", "cost": cost.Round(time.Microsecond), "candidates": len(candidates)})
		return d.place(e, 0, 0, func(orders.Notice) {}), nil
	}
	return d.placeAtEngine(ctx, w, candidates)
}

// none is the refusal of a request that no endpoint takes.
func (d *Dispatcher) none(group []roster.Endpoint, now time.Time) error {
	until := d.conditions.pausedUntil(group, now)
	if until.IsZero() {
		return result.New(result.NoEndpoint, "no endpoint takes requests for the route")
	}
	e := result.New(result.QueueFull, "the endpoints that are left have asked for a pause")
	e.RetryAfter = max(until.Sub(now), soonest)
	return e
}

// logPlaced writes the line of a request that goes to an endpoint, with what has decided it.
func (d *Dispatcher) logPlaced(w gateway.Work, e roster.Endpoint, why logrus.Fields) {
	d.cfg.Log.WithFields(why).WithFields(logrus.Fields{
		"event": "placed", "id": w.ID, "endpoint": e.ID, "started": e.Started,
		"list_age": d.cfg.RosterAge().Round(time.Millisecond),
	}).Info()
}

// place returns a place and notes the request that goes there. expected is the time to the first part of
// its answer.
func (d *Dispatcher) place(e roster.Endpoint, version int, expected time.Duration, notify func(orders.Notice)) gateway.Place {
	trial := d.conditions.sent(e.Incarnation, time.Now(), expected)
	alive := func() {
		d.conditions.mu.Lock()
		defer d.conditions.mu.Unlock()
		d.conditions.get(e.Incarnation).alive(time.Now())
	}
	return gateway.Place{
		Endpoint:       e,
		AdapterVersion: version,
		Started: func(after time.Duration) {
			alive()
			notify(orders.Notice{Started: true, First: after})
		},
		Progress: alive,
		Done: func(o gateway.Outcome) {
			d.conditions.done(e.Incarnation, o, trial, time.Now())
			notify(orders.Notice{Ended: true, Missing: o.NotLoaded})
		},
	}
}

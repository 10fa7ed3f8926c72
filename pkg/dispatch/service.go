package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/placement"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// placeOnService returns a placement at one of the plain services, or errOverLimit if the chosen one has no room.
func (d *Dispatcher) placeOnService(req gateway.Request, candidates []roster.Endpoint, now time.Time) (gateway.Placement, error) {
	var e roster.Endpoint
	var cost time.Duration
	by := "least_cost"
	if d.cfg.Placement == placement.Cost {
		by = "soonest"
		e, cost = d.services.Pick(candidates, d.health.outstanding, d.cfg.FailureDomain, req.Route.Objective, rand.IntN, now)
	} else {
		e, cost = d.health.pickService(candidates, d.cfg.FailureDomain, rand.IntN)
	}
	limit := d.takeLimit(req, e)
	if !limit.Granted {
		return gateway.Placement{}, errOverLimit
	}
	d.logPlaced(req, e, limit, logrus.Fields{"by": by, "cost": cost.Round(time.Microsecond), "candidates": len(candidates)})
	if d.cfg.Placement != placement.Cost {
		return d.newPlacement(e, 0, 0, func(orders.PermitUpdate) {}), nil
	}
	return d.newServicePlacement(e), nil
}

// newServicePlacement returns a placement from whose outcome the speed of the service is learned.
func (d *Dispatcher) newServicePlacement(e roster.Endpoint) gateway.Placement {
	p := d.newPlacement(e, 0, 0, func(u orders.PermitUpdate) {
		if u.Started {
			d.services.Served(e, u.First, time.Now())
		}
	})
	done := p.Done
	p.Done = func(o gateway.Outcome) {
		// A service that fails requests quickly must not count as a fast one.
		if o.Rejected || o.Failed {
			d.services.Full(e, time.Now())
		}
		done(o)
	}
	return p
}

// outstanding returns the number of this VM's requests at an endpoint.
func (s *healthTracker) outstanding(e roster.Endpoint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(e.Incarnation).outstanding
}

// pickService returns the candidate with the lowest expected latency, and that latency. Ties are broken at
// random; random returns a number below n.
func (s *healthTracker) pickService(candidates []roster.Endpoint, domain string, random func(n int) int) (roster.Endpoint, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return placement.PickService(candidates, func(e roster.Endpoint) time.Duration { return s.get(e.Incarnation).cost() }, domain, random)
}

package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/placement"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// placeOnService returns a placement at one of the plain services, or errOverLimit if the chosen one has no room.
func (d *Dispatcher) placeOnService(req gateway.Request, candidates []roster.Endpoint, now time.Time) (gateway.Placement, error) {
	var e roster.Endpoint
	var cost time.Duration
	by := "least_cost"
	if d.cfg.Placement == placement.Cost {
		if err := d.admitToService(req, now); err != nil {
			return gateway.Placement{}, err
		}
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
	return d.newServicePlacement(req, e), nil
}

// admitToService refuses a request to a plain service whose queues are too long, unless the request has been sent before.
func (d *Dispatcher) admitToService(req gateway.Request, now time.Time) error {
	if len(req.Exclude) > 0 {
		return nil
	}
	retryAfter, ok := d.admission.Admit(placement.ServiceRequest{
		Group: req.Group.Name, Route: req.Route.Name, Account: req.Account, OverLimit: req.OverLimit, TimeLimit: req.Terms.Timeout,
	}, now)
	if ok {
		return nil
	}
	e := result.New(result.QueueFull, "the queues of the service are too long for most requests to be in time")
	e.RetryAfter = retryAfter
	return e
}

// newServicePlacement returns a placement from whose outcome the speed and the overload of the service are learned.
func (d *Dispatcher) newServicePlacement(req gateway.Request, e roster.Endpoint) gateway.Placement {
	p := d.newPlacement(e, 0, 0, func(u orders.PermitUpdate) {
		if u.Started {
			d.services.Served(e, u.First, time.Now())
			d.admission.Responded(req.Group.Name, u.First, req.Route.Objective, time.Now())
		}
	})
	done := p.Done
	p.Done = func(o gateway.Outcome) {
		// A service that fails requests quickly must not count as a fast one.
		if o.Rejected || o.Failed {
			d.services.Full(e, time.Now())
		}
		if o.Rejected && !o.AdapterMissing {
			d.admission.Rejected(req.Group.Name, time.Now())
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

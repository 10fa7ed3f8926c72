package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/placement"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// metricWithheld is the name of the counter of requests that were kept from endpoints in evacuated failure domains.
const metricWithheld = "gateway.requests_withheld"

// errEvacuated says that a failure domain was evacuated while a request waited for one of its engines. Other engines may have room.
var errEvacuated = errors.New("the failure domain of an engine was evacuated")

// splitEvacuating divides the endpoints of a group into those outside evacuated failure domains, and those inside that may still
// get requests for adapters that are not held outside.
func splitEvacuating(view *roster.View, group string, now time.Time) (outside, leaving []roster.Endpoint) {
	if !view.Evacuating(group) {
		return view.Group(group), nil
	}
	for _, e := range view.Group(group) {
		switch {
		case !e.Evacuating():
			outside = append(outside, e)
		case !e.Evacuated(now):
			leaving = append(leaving, e)
		}
	}
	return outside, leaving
}

// placeWhileMoving places a request while work is moved out of evacuated failure domains. If none of its homes outside holds the
// adapter, it is ordered there and the request goes to an engine inside that holds it. It reports false if the request is to be
// placed outside like any other.
func (s *search) placeWhileMoving(ctx context.Context, homes, leaving []roster.Endpoint) (gateway.Placement, bool) {
	unheld := false
	for _, e := range homes {
		chosen, reply, ok := s.acquire(ctx, s.plan.AskHeld(e))
		if ok {
			return chosen, true
		}
		if held := reply.Status == orders.Offered && reply.Delay == 0; held || s.overLimit {
			return gateway.Placement{}, false
		}
		s.replies = append(s.replies, describeReply(e, reply))
		unheld = unheld || reply.Status == orders.Offered
	}
	if !unheld {
		// No owner can be reached that would load the adapter.
		return gateway.Placement{}, false
	}
	go s.d.moveAdapter(context.WithoutCancel(ctx), s.req, homes[0])
	for _, e := range leaving[:min(len(leaving), placement.DefaultHomeCount)] {
		if chosen, _, ok := s.acquire(ctx, s.plan.SendHeld(e)); ok {
			return chosen, true
		}
	}
	return gateway.Placement{}, false
}

// moveAdapter asks the owner of an engine to load a request's adapter, because the engines that hold it are evacuated.
func (d *Dispatcher) moveAdapter(ctx context.Context, req gateway.Request, e roster.Endpoint) {
	address, known := d.owners.ownerAddress(e.ID)
	if !known || !d.owners.available(address, time.Now()) {
		return
	}
	d.cfg.Log.WithFields(logrus.Fields{"event": "adapter_moving", "id": req.ID, "adapter": req.Terms.Adapter, "endpoint": e.ID}).
		Debug("adapter ordered outside the evacuated failure domain")
	args := d.acquireArgs(req, e)
	args.Prefetch, args.Moving = true, true
	d.owners.acquire(ctx, address, args)
}

// evacuatedMeanwhile reports whether the failure domain of one of the engines has been evacuated since the search began.
func (s *search) evacuatedMeanwhile(engines []roster.Endpoint) bool {
	view := s.d.cfg.Roster.View()
	return slices.ContainsFunc(engines, func(e roster.Endpoint) bool {
		current, ok := view.Endpoint(e.ID)
		return ok && current.Evacuating()
	})
}

package gatewayd

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
)

// balancerDelay is how long a stopping process still accepts new connections. The balancer notices within two
// of its readiness checks that the process is not ready.
const balancerDelay = 2500 * time.Millisecond

// drainer ends the work of a process on behalf of other VMs and callers. Its functions return when they are
// done or their context ends.
type drainer struct {
	// handOver hands the leases over. shutDown accepts no more connections and waits for the requests in flight.
	handOver, shutDown func(ctx context.Context) error
	// refuse makes requests that have not been sent to an endpoint be refused from then on. interrupt ends all requests, with
	// an error for those whose callers have got no part of a response.
	refuse, interrupt func()
	log               logrus.FieldLogger
}

// run returns when both functions are done or ctx ends. Requests are admitted no longer than the balancer needs
// to notice, even if leases cannot be handed over by then, because requests that are sent to endpoints later could be
// interrupted. A connection may carry its first request long after it was accepted.
func (d drainer) run(ctx context.Context) {
	handedOver := make(chan error, 1)
	go func() { handedOver <- d.handOver(ctx) }()
	clock.Sleep(ctx, balancerDelay)
	// Before shutDown, which closes idle connections: a request that has just been read on one must not be sent.
	d.refuse()
	if err := d.shutDown(ctx); err != nil {
		d.interrupt()
		d.log.WithFields(logrus.Fields{"event": "drain_cut", "error": err.Error()}).Warn("requests were not completed before the end of the drain")
	}
	if err := <-handedOver; err != nil {
		d.log.WithFields(logrus.Fields{"event": "handover_incomplete", "error": err.Error()}).Warn("not all leases were handed over")
	}
}

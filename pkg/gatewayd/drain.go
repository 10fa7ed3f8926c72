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
	// handOver hands the leases over. shutDown accepts no more requests and waits for those in flight.
	handOver, shutDown func(ctx context.Context) error
	log                logrus.FieldLogger
}

// run returns when both functions are done or ctx ends. Requests are accepted no longer than the balancer needs
// to notice, even if leases cannot be handed over by then, because requests that arrive later could be
// interrupted.
func (d drainer) run(ctx context.Context) {
	handedOver := make(chan error, 1)
	go func() { handedOver <- d.handOver(ctx) }()
	clock.Sleep(ctx, balancerDelay)
	if err := d.shutDown(ctx); err != nil {
		d.log.WithFields(logrus.Fields{"event": "drain_cut", "error": err.Error()}).Warn("requests were not completed before the end of the drain")
	}
	if err := <-handedOver; err != nil {
		d.log.WithFields(logrus.Fields{"event": "handover_incomplete", "error": err.Error()}).Warn("not all leases were handed over")
	}
}

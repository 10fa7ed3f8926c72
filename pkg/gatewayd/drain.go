package gatewayd

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
)

// balancerDelay is how long a stopping process still takes new connections: the balancer notices within two
// of its questions.
const balancerDelay = 2500 * time.Millisecond

// drainer ends the work of a process for others. Its functions return once they are done, or when their
// context ends.
type drainer struct {
	// handOver hands the leases over; shutDown takes no more requests and waits for those under way.
	handOver, shutDown func(ctx context.Context) error
	log                logrus.FieldLogger
}

// run drains until both are done or ctx ends. Requests are taken no longer than the balancer needs to
// notice, also while leases cannot be handed over: one that came later could be cut.
func (d drainer) run(ctx context.Context) {
	handedOver := make(chan error, 1)
	go func() { handedOver <- d.handOver(ctx) }()
	clock.Sleep(ctx, balancerDelay)
	if err := d.shutDown(ctx); err != nil {
		d.log.WithFields(logrus.Fields{"event": "drain_cut", "error": err.Error()}).Warn()
	}
	if err := <-handedOver; err != nil {
		d.log.WithFields(logrus.Fields{"event": "handover_incomplete", "error": err.Error()}).Warn()
	}
}

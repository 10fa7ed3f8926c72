package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/peer"
)

const (
	// callTimeout is the time that a VM has to respond, on top of the time that it may wait for an adapter. VMs
	// are about 1 ms apart.
	callTimeout = 120 * time.Millisecond
	// ownerBackoff is how long a VM that did not respond is not called again.
	ownerBackoff = 500 * time.Millisecond
	// updateInterval is the time between two passes in which queued permit updates are sent to owners. An adapter
	// keeps its slot until its owner knows that it is no longer in use.
	updateInterval = 25 * time.Millisecond
	// maxUpdates bounds the permit updates queued for one owner. Further ones are dropped; the owner then frees these
	// permits when they expire.
	maxUpdates = 512
)

// ownerClient calls the engine owners: the VMs whose leases let them send orders to engines. The owner may be
// this VM itself. It is safe for concurrent use.
type ownerClient struct {
	self        string
	incarnation string
	local       *orders.Service
	leases      lease.View
	peerClient  peer.Client
	log         logrus.FieldLogger
	// lastPermit is the number of the permit requested last.
	lastPermit atomic.Uint64

	mu sync.Mutex
	// The fields below are guarded by mu.

	updates      map[string][]orders.PermitUpdate // by address, "" for this VM
	backoffUntil map[string]time.Time             // by address
}

func newOwnerClient(self, incarnation string, local *orders.Service, leases lease.View, peers peer.Client, log logrus.FieldLogger) *ownerClient {
	return &ownerClient{
		self: self, incarnation: incarnation, local: local, leases: leases, peerClient: peers, log: log,
		updates: map[string][]orders.PermitUpdate{}, backoffUntil: map[string]time.Time{},
	}
}

// ownerAddress returns the peer address of an engine's owner; empty for this VM. It reports false if no owner
// is known.
func (o *ownerClient) ownerAddress(endpoint string) (string, bool) {
	holder, ok := o.leases.HolderOf(orders.LeaseOf(endpoint))
	if !ok {
		return "", false
	}
	if holder.VM == o.self {
		return "", true
	}
	return holder.Address, true
}

// available reports whether the VM at the address is not in backoff after an unanswered call.
func (o *ownerClient) available(address string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !now.Before(o.backoffUntil[address])
}

// acquire asks an owner for a permit. It reports false if the owner did not respond.
func (o *ownerClient) acquire(ctx context.Context, address string, args *orders.AcquireArgs) (orders.AcquireReply, bool) {
	var reply orders.AcquireReply
	args.Caller, args.Incarnation = o.self, o.incarnation
	args.Ended = o.takeUpdates(address)
	if address == "" {
		return reply, o.local.Acquire(args, &reply) == nil
	}
	ctx, cancel := context.WithTimeout(ctx, orders.MaxWait+callTimeout)
	defer cancel()
	if err := o.peerClient.Call(ctx, address, orders.AcquireMethod, args, &reply); err != nil {
		// The owner may have granted the permit or may still grant it, so it has to be ended.
		o.queueUpdate(address, orders.PermitUpdate{Permit: args.Permit, Ended: true})
		o.callFailed(address, err)
		return reply, false
	}
	o.callSucceeded(address)
	return reply, true
}

// callFailed puts a VM that did not respond into backoff.
func (o *ownerClient) callFailed(address string, err error) {
	o.mu.Lock()
	_, known := o.backoffUntil[address]
	o.backoffUntil[address] = time.Now().Add(ownerBackoff)
	o.mu.Unlock()
	if !known {
		o.log.WithError(err).WithFields(logrus.Fields{"event": "owner_lost", "address": address}).Warn("engine owner did not respond")
	}
}

// callSucceeded ends the backoff of a VM that has responded.
func (o *ownerClient) callSucceeded(address string) {
	o.mu.Lock()
	_, inBackoff := o.backoffUntil[address]
	delete(o.backoffUntil, address)
	o.mu.Unlock()
	if inBackoff {
		o.log.WithFields(logrus.Fields{"event": "owner_back", "address": address}).Info("engine owner responds again")
	}
}

// queueUpdate queues a permit update for the next call to an owner.
func (o *ownerClient) queueUpdate(address string, update orders.PermitUpdate) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if list := o.updates[address]; len(list) < maxUpdates {
		o.updates[address] = append(list, update)
	}
}

// takeUpdates removes and returns the permit updates queued for an owner.
func (o *ownerClient) takeUpdates(address string) []orders.PermitUpdate {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.updates[address]
	if len(list) > 0 {
		delete(o.updates, address)
	}
	return list
}

// flush sends the queued permit updates that no call to acquire has carried along.
func (o *ownerClient) flush(ctx context.Context) {
	o.mu.Lock()
	all := o.updates
	o.updates = map[string][]orders.PermitUpdate{}
	o.mu.Unlock()
	for address, list := range all {
		args := &orders.ReportArgs{Caller: o.self, Incarnation: o.incarnation, Notices: list}
		var reply orders.ReportReply
		if address == "" {
			_ = o.local.Report(args, &reply)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// An owner that misses an update frees the permit when it expires.
			_ = o.peerClient.Call(ctx, address, orders.ReportMethod, args, &reply)
		}()
	}
}

// run sends queued permit updates until ctx ends.
func (o *ownerClient) run(ctx context.Context) {
	clock.Every(ctx, updateInterval, func(time.Time) { o.flush(ctx) })
}

package orders

import (
	"sync"
	"time"
)

// settlement is what shows that an order can no longer arrive at its engine, or has arrived.
type settlement string

const (
	// byResponse says that the engine has responded, byNotSent that the order was never written to a connection, and byTime that
	// the order was begun so long ago that it cannot be under way any more.
	byResponse settlement = "response"
	byNotSent  settlement = "not_sent"
	byTime     settlement = "time"
)

// sentOrder is an order that is not settled: it may still arrive at its engine.
type sentOrder struct {
	lease, endpoint string
	fencing         uint64
	begunAt         time.Time
}

// unsettledOrders are the orders of this VM that may still arrive at engines, by lease. It is safe for concurrent use.
type unsettledOrders struct {
	// limit is the time after which an order counts as settled without a response.
	limit time.Duration

	mu     sync.Mutex
	leases map[string]*leaseOrders // guarded by mu
}

// leaseOrders are the unsettled orders given under one lease.
type leaseOrders struct {
	orders map[*sentOrder]struct{}
	// arrivedAt is the last time at which an order under the lease was settled that has arrived or may have.
	arrivedAt time.Time
	// settled is closed once there are no unsettled orders; nil if nothing waits for that.
	settled chan struct{}
}

func newUnsettledOrders(limit time.Duration) *unsettledOrders {
	return &unsettledOrders{limit: limit, leases: map[string]*leaseOrders{}}
}

// begin adds an order that is about to be sent. It must be called before the lease is checked: an order that is sent then
// counts as unsettled before the lease can be given up.
func (u *unsettledOrders) begin(lease, endpoint string) *sentOrder {
	o := &sentOrder{lease: lease, endpoint: endpoint, begunAt: time.Now()}
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.leases[lease]
	if l == nil {
		l = &leaseOrders{orders: map[*sentOrder]struct{}{}}
		u.leases[lease] = l
	}
	l.orders[o] = struct{}{}
	return o
}

// settle removes an order.
func (u *unsettledOrders) settle(o *sentOrder, by settlement) {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.leases[o.lease]
	delete(l.orders, o)
	if by != byNotSent {
		l.arrivedAt = time.Now()
	}
	if len(l.orders) == 0 && l.settled != nil {
		close(l.settled)
		l.settled = nil
	}
}

// until returns the time at which the order counts as settled without a response.
func (u *unsettledOrders) until(o *sentOrder) time.Time { return o.begunAt.Add(u.limit) }

// settled returns a channel that is closed once all orders given under the lease so far are settled; nil if they are.
func (u *unsettledOrders) settled(lease string) <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.leases[lease]
	if l == nil || len(l.orders) == 0 {
		return nil
	}
	if l.settled == nil {
		l.settled = make(chan struct{})
	}
	return l.settled
}

// lastArrival returns the latest time at which an order given under the lease so far may arrive, zero if none was given.
func (u *unsettledOrders) lastArrival(lease string) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.leases[lease]
	if l == nil {
		return time.Time{}
	}
	last := l.arrivedAt
	for o := range l.orders {
		if until := u.until(o); until.After(last) {
			last = until
		}
	}
	return last
}

// count returns the number of unsettled orders to an engine.
func (u *unsettledOrders) count(lease, endpoint string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	if l := u.leases[lease]; l != nil {
		for o := range l.orders {
			if o.endpoint == endpoint {
				n++
			}
		}
	}
	return n
}

// left returns how long unsettled orders may still arrive, 0 if there are none.
func (u *unsettledOrders) left(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	var left time.Duration
	for _, l := range u.leases {
		for o := range l.orders {
			left = max(left, u.until(o).Sub(now))
		}
	}
	return left
}

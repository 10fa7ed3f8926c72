package orders

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/fleettest"
)

var (
	modelSeeds = flag.Int64("model-seeds", 2, "number of seeds for which the models of late orders are run")
	modelSeed  = flag.Int64("model-seed", 1, "first seed of the models of late orders")
)

// orderNetwork delays and loses what passes between VMs and engines. What has been sent arrives whatever happens to its connection
// or its sender.
type orderNetwork struct {
	// maxDelay is the longest delay of an order, late the share of orders that are late at all. lost is the share of
	// responses that never arrive, slow the share of those that arrive late.
	maxDelay         time.Duration
	late, lost, slow float64

	mu  sync.Mutex
	rnd *rand.Rand // guarded by mu
}

const (
	usualDelay      = 8 * time.Millisecond
	maxAnswerDelay  = 900 * time.Millisecond
	maxDialTime     = 40 * time.Millisecond
	failedDialShare = 0.02
	slowDialShare   = 0.1
)

// passage is what happens to one order and its response.
type passage struct {
	dial, order, answer time.Duration
	refused, lost       bool
}

func (n *orderNetwork) draw() passage {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := passage{order: usualDelay, answer: usualDelay, refused: n.rnd.Float64() < failedDialShare, lost: n.rnd.Float64() < n.lost}
	if n.rnd.Float64() < slowDialShare {
		p.dial = time.Duration(n.rnd.Int63n(int64(maxDialTime)))
	}
	if n.rnd.Float64() < n.late {
		p.order += time.Duration(n.rnd.Int63n(int64(n.maxDelay)))
	}
	if n.rnd.Float64() < n.slow {
		p.answer += time.Duration(n.rnd.Int63n(int64(maxAnswerDelay)))
	}
	return p
}

// send passes an order on to arrive, and returns the engine's response to it: that it is busy.
func (n *orderNetwork) send(ctx context.Context, o engine.Order, arrive func()) (engine.Reply, error) {
	p := n.draw()
	select {
	case <-time.After(p.dial):
	case <-ctx.Done():
		return 0, engine.ErrNotSent
	}
	if p.refused || o.BeforeSend != nil && o.BeforeSend() != nil {
		return 0, engine.ErrNotSent
	}
	time.AfterFunc(p.order, arrive)
	var answer <-chan time.Time
	if !p.lost {
		answer = time.After(p.order + p.answer)
	}
	select {
	case <-answer:
		return engine.Busy, nil
	case <-ctx.Done():
		return 0, engine.ErrUnknown
	}
}

// outOfOrder returns the orders that arrived at an engine after one with a higher fencing number.
func (r *recordingEngines) outOfOrder() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for id, orders := range r.orders {
		highest := receivedOrder{}
		for _, o := range orders {
			if o.order.Fencing < highest.order.Fencing {
				found = append(found, fmt.Sprintf("%s: %s with number %d arrived %s after %s with %d", id, o.order.Holder, o.order.Fencing,
					o.at.Sub(highest.at), highest.order.Holder, highest.order.Fencing))
			} else {
				highest = o
			}
		}
	}
	return found
}

// count returns the number of orders that have arrived.
func (r *recordingEngines) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, orders := range r.orders {
		n += len(orders)
	}
	return n
}

func runOrderModel(t *testing.T, network func() *orderNetwork, play func(f *orderFleet, rnd *rand.Rand) []string) {
	for seed := *modelSeed; seed < *modelSeed+*modelSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newOrderFleet(t, seed, 8)
				defer f.Stop()
				f.engines.network = network()
				f.engines.network.rnd = rand.New(rand.NewSource(seed))
				f.StartAll(4)
				go f.askForAdapters()
				time.Sleep(20 * time.Second)
				trace := play(f, rand.New(rand.NewSource(seed)))
				require.Empty(t, f.engines.outOfOrder(), trace)
				require.Empty(t, f.engines.turns(), trace)
				require.Greater(t, f.engines.count(), 1000, "orders")
			})
		})
	}
}

// Guards against orders of a VM that arrive after those of the engine's next owner when VMs are stopped in turn and leases move, on a
// network that delays orders by almost the duration of a lease, whatever becomes of their connections.
func TestOrdersOfStoppedVMsArriveBeforeTheNextOwners(t *testing.T) {
	network := func() *orderNetwork {
		return &orderNetwork{maxDelay: minOrderGap - 100*time.Millisecond, late: 0.1, lost: 0.05, slow: 0.1}
	}
	runOrderModel(t, network, func(f *orderFleet, rnd *rand.Rand) []string {
		for range 16 {
			v := f.pickRunning(rnd)
			ctx, cancel := context.WithTimeout(v.Ctx, 7*time.Second)
			_ = v.Manager.Drain(ctx)
			cancel()
			f.End(v)
			time.Sleep(time.Duration(rnd.Int63n(int64(time.Second))))
			f.Start(v.ID)
			time.Sleep(time.Duration(rnd.Int63n(int64(8 * time.Second))))
		}
		return nil
	})
}

// Guards against the same amid all faults of VMs, the table and the network between VMs. The delay of orders stays below the least time
// between the last order of a holder that ends or is cut off and the first one of the next holder.
func TestLateOrdersAmidFaults(t *testing.T) {
	network := func() *orderNetwork {
		return &orderNetwork{maxDelay: 1200 * time.Millisecond, late: 0.2, lost: 0.1, slow: 0.2}
	}
	runOrderModel(t, network, func(f *orderFleet, rnd *rand.Rand) []string {
		chaos := fleettest.NewChaos(f.Fleet, rnd.Int63())
		chaos.Returns = rnd.Intn(2) == 0
		chaos.Run(16)
		return chaos.Trace
	})
}

// Guards against taking the end of a process for the end of its orders: a newer process on the VM proves only the former.
func TestOrdersOfKilledVMsThatComeBackAtOnce(t *testing.T) {
	network := func() *orderNetwork {
		return &orderNetwork{maxDelay: 1200 * time.Millisecond, late: 0.3, lost: 0.1, slow: 0.1}
	}
	runOrderModel(t, network, func(f *orderFleet, rnd *rand.Rand) []string {
		for range 12 {
			v := f.pickRunning(rnd)
			f.Kill(v)
			time.Sleep(time.Duration(rnd.Int63n(int64(100 * time.Millisecond))))
			f.Start(v.ID)
			time.Sleep(time.Duration(rnd.Int63n(int64(8 * time.Second))))
		}
		return nil
	})
}

// Guards against announcing the end of a process whose orders may still arrive: while the table is down, a successor takes its leases
// over as soon as it is proven gone.
func TestOrdersOfVMsThatStopWithoutTheTable(t *testing.T) {
	network := func() *orderNetwork {
		return &orderNetwork{maxDelay: minOrderGap - 100*time.Millisecond, late: 0.2, lost: 0.2, slow: 0.1}
	}
	runOrderModel(t, network, func(f *orderFleet, rnd *rand.Rand) []string {
		for range 8 {
			f.Table.SetDown(true)
			time.Sleep(time.Duration(rnd.Int63n(int64(3 * time.Second))))
			v := f.pickRunning(rnd)
			ctx, cancel := context.WithTimeout(v.Ctx, time.Second)
			_ = v.Manager.Drain(ctx)
			cancel()
			f.End(v)
			time.Sleep(6 * time.Second)
			f.Table.SetDown(false)
			f.Start(v.ID)
			time.Sleep(10 * time.Second)
		}
		return nil
	})
}

// pickRunning returns a random VM whose process is running.
func (f *orderFleet) pickRunning(rnd *rand.Rand) *fleettest.VM {
	var running []*fleettest.VM
	for _, v := range f.VMs() {
		if !v.Dead() {
			running = append(running, v)
		}
	}
	return running[rnd.Intn(len(running))]
}

// A planned stop in calm, under load, must take no longer than one that does not wait for orders, but for the round trip of an order
// under way, and must cost no more calls to the table.
func TestCalmStopCostsNothing(t *testing.T) {
	const (
		stops  = 5
		window = 300 * time.Millisecond
	)
	type cost struct {
		drains        time.Duration
		reads, writes int
	}
	measure := func(waits bool) (sum cost) {
		synctest.Test(t, func(t *testing.T) {
			f := newOrderFleet(t, 1, 12)
			defer f.Stop()
			f.engines.network = &orderNetwork{rnd: rand.New(rand.NewSource(1))}
			attach := f.Attach
			f.Attach = func(v *fleettest.VM) fleettest.Attachment {
				a := attach(v)
				if !waits {
					a.Settled = nil
				}
				return a
			}
			f.StartAll(4)
			go f.askForAdapters()
			for i := range stops {
				time.Sleep(15 * time.Second)
				v := f.pickRunning(rand.New(rand.NewSource(int64(i))))
				reads, writes := f.Table.Counts()
				begun := time.Now()
				require.NoError(t, v.Manager.Drain(t.Context()))
				sum.drains += time.Since(begun)
				time.Sleep(window - time.Since(begun))
				readsAfter, writesAfter := f.Table.Counts()
				sum.reads, sum.writes = sum.reads+readsAfter-reads, sum.writes+writesAfter-writes
				f.End(v)
				f.Start(v.ID)
			}
		})
		return sum
	}
	before, now := measure(false), measure(true)
	t.Logf("%d stops that do not wait: %+v; that wait: %+v", stops, before, now)
	require.LessOrEqual(t, now.drains, before.drains+stops*(2*usualDelay+maxDialTime))
	// Less than one call for each stop: renewals, which have nothing to do with the stops, fall into the window by chance.
	require.Less(t, now.reads, before.reads+stops/2)
	require.Less(t, now.writes, before.writes+stops/2)
}

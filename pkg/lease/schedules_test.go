package lease_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/mallowlink/mallowlink/pkg/fleettest"
	"github.com/mallowlink/mallowlink/pkg/lease"
)

var (
	schedules = flag.Int("schedules", 5, "number of seeded fault schedules to run")
	firstSeed = flag.Int64("first-seed", 1, "seed of the first schedule")
)

const (
	faultsPerSchedule = 12
	sampleInterval    = 25 * time.Millisecond
	orderDelayLimit   = 3 * time.Second
	networkDelay      = 5 * time.Millisecond
)

// engine is an endpoint that receives orders from the holders of a lease, and records violations of the lease's
// guarantees.
type engine struct {
	f *fleet

	mu sync.Mutex
	// highest is the highest fencing number received in an order, cleared the highest of a holder whose grant
	// said that no order of earlier holders can still arrive.
	highest, cleared uint64
	// owners maps fencing numbers to the processes to which they were granted.
	owners     map[uint64]string
	violations []string
	// uses is the history of successful checks of the right, with the fencing number as the input.
	uses []porcupine.Operation
}

// fencingModel requires that the fencing numbers under which a right is used never decrease.
var fencingModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) { return input.(uint64) >= state.(uint64), input },
}

// recordUse records a successful check of the right. e.mu is not held.
func (e *engine) recordUse(fencing uint64, from, to time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.uses = append(e.uses, porcupine.Operation{
		ClientId: len(e.uses), Input: fencing, Call: from.UnixNano(), Return: to.UnixNano() + 1,
	})
}

// history returns a copy of the uses so far, because the owners continue to add to them.
func (e *engine) history() []porcupine.Operation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.uses)
}

// describeUses describes the history of uses: for each fencing number, which process used it, from when to when.
func (e *engine) describeUses() string {
	type span struct{ from, to int64 }
	spans := map[uint64]span{}
	var numbers []uint64
	first := int64(math.MaxInt64)
	for _, op := range e.history() {
		number := op.Input.(uint64)
		s, ok := spans[number]
		if !ok {
			numbers = append(numbers, number)
			s = span{op.Call, op.Return}
		}
		spans[number] = span{min(s.from, op.Call), max(s.to, op.Return)}
		first = min(first, op.Call)
	}
	slices.Sort(numbers)
	var b strings.Builder
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, number := range numbers {
		s := spans[number]
		fmt.Fprintf(&b, "%d by %s: %s to %s\n", number, e.owners[number], time.Duration(s.from-first), time.Duration(s.to-first))
	}
	e.writeOutOfOrderUses(&b, first)
	return b.String()
}

// writeOutOfOrderUses describes the uses that began after a use with a higher number had ended. e.mu is held.
func (e *engine) writeOutOfOrderUses(b *strings.Builder, first int64) {
	for _, low := range e.uses {
		for _, high := range e.uses {
			if low.Input.(uint64) < high.Input.(uint64) && low.Call > high.Return {
				fmt.Fprintf(b, "%d used from %s to %s after %d from %s to %s\n",
					low.Input, time.Duration(low.Call-first), time.Duration(low.Return-first),
					high.Input, time.Duration(high.Call-first), time.Duration(high.Return-first))
			}
		}
	}
}

// reported returns the violations reported so far.
func (e *engine) reported() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.violations)
}

// report records a violation. e.mu is not held.
func (e *engine) report(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportLocked(format, args...)
}

// reportLocked records a violation. e.mu is held.
func (e *engine) reportLocked(format string, args ...any) {
	e.violations = append(e.violations, fmt.Sprintf(format, args...))
}

// recordGrant records that a process has been granted the lease.
func (e *engine) recordGrant(owner string, grant lease.Grant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if other, ok := e.owners[grant.Fencing]; ok && other != owner {
		e.reportLocked("%s and %s both have fencing number %d", other, owner, grant.Fencing)
	}
	e.owners[grant.Fencing] = owner
	if grant.PreviousProvenGone {
		e.cleared = max(e.cleared, grant.Fencing)
	}
}

// receiveOrder handles an order that has arrived. An endpoint that checks fencing numbers would refuse numbers
// below the highest. An endpoint that ignores them must not receive such orders once a later holder has been
// granted the lease with PreviousProvenGone, because that holder relies on it.
func (e *engine) receiveOrder(owner string, fencing uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fencing < e.cleared {
		e.reportLocked("order with fencing number %d of %s arrived after holder %d was told that no earlier orders would", fencing, owner, e.cleared)
	}
	e.highest = max(e.highest, fencing)
}

// engineOwner sends orders to the engine on behalf of one VM while the VM holds the lease.
type engineOwner struct {
	v      *fleettest.VM
	engine *engine
	lease  string
	rnd    *rand.Rand
	// sending is a semaphore of one, held while an order is in flight.
	sending chan struct{}
}

func (o *engineOwner) id() string { return o.v.ID + "/" + o.v.Incarnation }

// LeaseGained records the grant at the engine.
func (o *engineOwner) LeaseGained(grant lease.Grant) {
	if grant.Name == o.lease {
		o.engine.recordGrant(o.id(), grant)
	}
}

// LeaseLost waits for the order in flight.
func (o *engineOwner) LeaseLost(string) {
	o.sending <- struct{}{}
	defer func() { <-o.sending }()
}

// run sends orders until the VM stops. An order may be delayed between the check of the right and the sending.
func (o *engineOwner) run() {
	for o.v.Ctx.Err() == nil {
		time.Sleep(time.Duration(o.rnd.Int63n(int64(200 * time.Millisecond))))
		o.v.Gate.Pass()
		if o.v.Ctx.Err() != nil {
			// The process was killed while this goroutine slept.
			return
		}
		o.send()
	}
}

// send checks the right and sends one order.
func (o *engineOwner) send() {
	o.sending <- struct{}{}
	defer func() { <-o.sending }()
	from := time.Now()
	grant, ok := o.v.Manager.Held(o.lease)
	if !ok {
		return
	}
	o.engine.recordUse(grant.Fencing, from, time.Now())
	if o.rnd.Intn(10) == 0 {
		time.Sleep(time.Duration(o.rnd.Int63n(int64(orderDelayLimit))))
	}
	o.v.Gate.Pass()
	if o.v.Ctx.Err() == nil {
		time.Sleep(networkDelay)
		o.engine.receiveOrder(o.id(), grant.Fencing)
	}
}

// sampleHolders samples the holders of every lease until the fleet stops.
func (e *engine) sampleHolders(names []string) {
	for e.f.Ctx.Err() == nil {
		for _, name := range names {
			if holders := e.f.Holders(name); len(holders) > 1 {
				e.mu.Lock()
				e.reportLocked("%s is held by both %s and %s", name, holders[0].ID, holders[1].ID)
				e.mu.Unlock()
			}
		}
		time.Sleep(sampleInterval)
	}
}

// TestSchedules runs seeded random schedules of faults: at no time may two VMs hold one lease, fencing numbers must
// never decrease, and each lease must have one holder after the faults.
func TestSchedules(t *testing.T) { runSchedules(t, false) }

// The guarantees of TestSchedules also hold if the table returns again and again from copies that are some seconds old, amid other
// faults.
func TestSchedulesWithReturnsOfTheTable(t *testing.T) { runSchedules(t, true) }

func runSchedules(t *testing.T, returns bool) {
	names := []string{"group/a", "account/x", lease.Budget}
	for i := range *schedules {
		seed := *firstSeed + int64(i)
		ok := t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSchedule(t, seed, names, returns) })
		if !ok {
			t.Fatalf("schedule with -first-seed=%d failed", seed)
		}
	}
	t.Logf("%d schedules from seed %d", *schedules, *firstSeed)
}

func runSchedule(t *testing.T, seed int64, names []string, returns bool) {
	rnd := rand.New(rand.NewSource(seed))
	e := &engine{owners: map[uint64]string{}}
	runFleetWith(t, seed, func(f *fleet) {
		e.f = f
		f.Names = names
		f.Attach = func(v *fleettest.VM) fleettest.Attachment {
			owner := &engineOwner{v: v, engine: e, lease: names[0], rnd: v.Rand(seed), sending: make(chan struct{}, 1)}
			go owner.run()
			return fleettest.Attachment{Listener: owner}
		}
		f.StartAll(3 + rnd.Intn(5))
		go e.sampleHolders(names)
		chaos := fleettest.NewChaos(f.Fleet, seed)
		chaos.Returns = returns
		chaos.Run(faultsPerSchedule)
		for _, name := range names {
			if len(f.Holders(name)) != 1 {
				e.report("%s has %d holders after all faults have ended", name, len(f.Holders(name)))
			}
		}
		if !porcupine.CheckOperations(fencingModel, e.history()) {
			e.report("the uses of %s cannot be ordered by fencing number:\n%s", names[0], e.describeUses())
		}
		if violations := e.reported(); len(violations) > 0 {
			f.t.Errorf("seed %d:\n%s\n%s", seed, strings.Join(chaos.Trace, "\n"), strings.Join(violations, "\n"))
			f.t.Logf("log:\n%s", f.logOutput.String())
		}
	})
}

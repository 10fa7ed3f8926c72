package quota_test

import (
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mallowlink/mallowlink/pkg/fleettest"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/quota"
)

var (
	measure      = flag.Bool("measure", false, "measure refusals by limit mechanism")
	measureSeeds = flag.Int("measure-seeds", 10, "seeds of each measurement")
)

// Traffic of a measurement: one client account that stays within its rate.
const (
	measureVMs      = 7
	measureDuration = 60 * time.Second
	faultTime       = 20 * time.Second
	// measureLoad is the mean traffic as a fraction of the account's rate.
	measureLoad = 0.8
	// smallestRequest and largestRequest are in tokens.
	smallestRequest = 10
	largestRequest  = 50
	// nearFaultWindow is the time after a fault whose refusals are also counted separately.
	nearFaultWindow = 5 * time.Second
)

var measureLimit = quota.Limit{Rate: 1000, Burst: 3000}

// arrival is one request of a measurement. It goes to the VM with index vm, or to another if that one is down.
type arrival struct {
	at     time.Duration
	vm     int
	tokens int64
}

// arrivals generates random requests with Poisson arrivals. chooseVM returns the index of each request's VM.
func arrivals(seed int64, chooseVM func(*rand.Rand) int) []arrival {
	rnd := rand.New(rand.NewSource(seed))
	perSecond := measureLoad * measureLimit.Rate / ((smallestRequest + largestRequest) / 2)
	var list []arrival
	for at := 0.0; ; {
		at += rnd.ExpFloat64() / perSecond
		if at > measureDuration.Seconds() {
			return list
		}
		list = append(list, arrival{
			at:     time.Duration(at * float64(time.Second)),
			vm:     chooseVM(rnd),
			tokens: smallestRequest + rnd.Int63n(largestRequest-smallestRequest+1),
		})
	}
}

// plainBucket is a token bucket that a single process uses.
type plainBucket struct {
	limit  quota.Limit
	tokens float64
	at     time.Duration
}

func (l *plainBucket) advance(at time.Duration) {
	l.tokens = min(l.limit.Burst, l.tokens+l.limit.Rate*(at-l.at).Seconds())
	l.at = at
}

func (l *plainBucket) take(at time.Duration, tokens int64) bool {
	l.advance(at)
	if l.tokens < float64(tokens) {
		return false
	}
	l.tokens -= float64(tokens)
	return true
}

// tally counts how often one limiting mechanism refused requests that a single bucket for the whole fleet
// would have admitted.
type tally struct {
	mu                                         sync.Mutex
	requests, wronglyRefused                   int
	requestsNearFault, wronglyRefusedNearFault int
	waits                                      []time.Duration
}

// add counts one request. ideal is whether a single bucket would have admitted it.
func (c *tally) add(at, wait time.Duration, refused, ideal bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	near := at >= faultTime && at < faultTime+nearFaultWindow
	wronglyRefused := refused && ideal
	c.requests++
	c.waits = append(c.waits, wait)
	if near {
		c.requestsNearFault++
	}
	if wronglyRefused {
		c.wronglyRefused++
	}
	if wronglyRefused && near {
		c.wronglyRefusedNearFault++
	}
}

func (c *tally) String() string {
	slices.Sort(c.waits)
	at := func(q float64) time.Duration {
		return c.waits[int(q*float64(len(c.waits)-1))].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%d | %d | %d of %d | %v | %v | %v",
		c.requests, c.wronglyRefused, c.wronglyRefusedNearFault, c.requestsNearFault, at(0.5), at(0.99), at(1))
}

// scenario is a distribution of requests over the VMs together with a fault.
type scenario struct {
	name     string
	chooseVM func(*rand.Rand) int
	fault    func(*fleet)
	// crash is set if the fault makes the share of one VM unusable.
	crash bool
}

func evenly(rnd *rand.Rand) int { return rnd.Intn(measureVMs) }
func allToOne(*rand.Rand) int   { return 3 }

func skewed(rnd *rand.Rand) int {
	if rnd.Intn(10) < 7 {
		return 3
	}
	return evenly(rnd)
}

func noFault(*fleet) {}

func (f *fleet) otherVM(v *fleettest.VM) *fleettest.VM {
	for _, w := range f.VMs() {
		if w != v && !w.Dead() {
			return w
		}
	}
	return nil
}

func scenarios() []scenario {
	home := func(f *fleet) *fleettest.VM { return f.waitHome(0) }
	return []scenario{
		{"even, no fault", evenly, noFault, false},
		{"70 % to one VM, no fault", skewed, noFault, false},
		{"all to one VM, no fault", allToOne, noFault, false},
		{"a VM other than the home killed", evenly, func(f *fleet) { f.Kill(f.otherVM(home(f))) }, true},
		{"home's process killed", evenly, func(f *fleet) { f.Kill(home(f)) }, true},
		{"home's VM vanished", evenly, func(f *fleet) { f.Vanish(home(f)) }, true},
		{"planned stop of the home", evenly, func(f *fleet) {
			v := home(f)
			go func() {
				_ = v.Manager.Drain(v.Ctx)
				f.Kill(v)
			}()
		}, true},
		{"store down to the end", evenly, func(f *fleet) { f.Table.SetDown(true) }, false},
		{"store down, home killed 2 s later", evenly, func(f *fleet) {
			f.Table.SetDown(true)
			time.AfterFunc(2*time.Second, func() { f.Kill(home(f)) })
		}, true},
		{"home killed, store down 100 ms later", evenly, func(f *fleet) {
			f.Kill(home(f))
			time.AfterFunc(100*time.Millisecond, func() { f.Table.SetDown(true) })
		}, true},
	}
}

func TestMeasureRefusals(t *testing.T) {
	if !*measure {
		t.Skip("measurement: run with -measure")
	}
	fmt.Println("| situation | mechanism | requests | wrongly refused | of these within 5 s of the fault | wait p50 | p99 | max |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, s := range scenarios() {
		var split, transfers, grants tally
		for seed := range int64(*measureSeeds) {
			list := arrivals(seed+1, s.chooseVM)
			ideal := runSingleBucket(list)
			runShares(&split, list, ideal, s.crash, false)
			runShares(&transfers, list, ideal, s.crash, true)
			runGrants(t, &grants, list, ideal, seed+1, s)
		}
		fmt.Printf("| %s | static split | %v |\n", s.name, &split)
		fmt.Printf("| %s | transfers | %v |\n", s.name, &transfers)
		fmt.Printf("| %s | grants | %v |\n", s.name, &grants)
	}
}

// runSingleBucket returns for each request whether a single bucket for the whole fleet admits it.
func runSingleBucket(list []arrival) []bool {
	l := &plainBucket{limit: measureLimit, tokens: measureLimit.Burst}
	admitted := make([]bool, len(list))
	for i, a := range list {
		admitted[i] = l.take(a.at, a.tokens)
	}
	return admitted
}

// runShares simulates an equal share of rate and burst for every VM. With transfers, a VM that is short of
// tokens gets the missing ones from the others. The share of a crashed VM is lost: until the platform's list
// of VMs says that the VM is gone, nothing proves that its share is no longer being spent.
func runShares(c *tally, list []arrival, ideal []bool, crash, transfers bool) {
	const dead = 0
	shares := make([]*plainBucket, measureVMs)
	share := quota.Limit{Rate: measureLimit.Rate / measureVMs, Burst: measureLimit.Burst / measureVMs}
	for i := range shares {
		shares[i] = &plainBucket{limit: share, tokens: share.Burst}
	}
	for i, a := range list {
		crashed := crash && a.at >= faultTime
		vm := a.vm
		if crashed && vm == dead {
			vm = i%(measureVMs-1) + 1
		}
		ok := shares[vm].take(a.at, a.tokens)
		wait := time.Duration(0)
		if !ok && transfers {
			ok = transferTokens(shares, vm, a, crashed)
			wait = 2 * time.Millisecond
		}
		c.add(a.at, wait, !ok, ideal[i])
	}
}

// transferTokens takes the tokens that the VM is missing from the shares of the others. It returns false, and
// takes none, if they have too few.
func transferTokens(shares []*plainBucket, vm int, a arrival, crashed bool) bool {
	total := 0.0
	for i, s := range shares {
		if !crashed || i != 0 {
			s.advance(a.at)
			total += s.tokens
		}
	}
	missing := float64(a.tokens) - shares[vm].tokens
	if total < float64(a.tokens) {
		return false
	}
	shares[vm].tokens = 0
	for i, s := range shares {
		if i == vm || crashed && i == 0 {
			continue
		}
		part := min(missing, s.tokens)
		s.tokens -= part
		missing -= part
	}
	return true
}

// runGrants sends the requests to a test fleet that runs the code of this package.
func runGrants(t *testing.T, c *tally, list []arrival, ideal []bool, seed int64, s scenario) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			Fleet: fleettest.NewFleet(t.Context(), seed, []string{lease.AccountPrefix + account}),
			t:     t, limiters: map[*fleettest.VM]*quota.Limiter{}, limit: measureLimit,
		}
		f.Attach = f.attachQuota
		defer f.Stop()
		f.StartAll(measureVMs)
		time.Sleep(20 * time.Second)
		start := time.Now()
		time.AfterFunc(faultTime, func() { s.fault(f) })
		var group sync.WaitGroup
		for i, a := range list {
			time.Sleep(time.Until(start.Add(a.at)))
			v := f.VMs()[a.vm]
			if v.Dead() {
				v = f.otherVM(v)
			}
			group.Go(func() { f.request(c, v, a, ideal[i]) })
		}
		group.Wait()
	})
}

// request sends one request to a VM, and to another one if the VM goes down meanwhile.
func (f *fleet) request(c *tally, v *fleettest.VM, a arrival, ideal bool) {
	start := time.Now()
	err := f.admit(v, a.tokens)
	if err != nil && v.Dead() {
		f.request(c, f.otherVM(v), a, ideal)
		return
	}
	c.add(a.at, time.Since(start), err != nil, ideal)
}

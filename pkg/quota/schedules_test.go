package quota_test

import (
	"flag"
	"fmt"
	"math/rand"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mallowlink/mallowlink/pkg/fleettest"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/quota"
)

var (
	schedules = flag.Int("schedules", 2, "number of seeded fault schedules to run")
	firstSeed = flag.Int64("first-seed", 1, "seed of the first schedule")
)

const faultsPerSchedule = 12

// spending is the number of tokens that an admitted request used, with the time of its admission.
type spending struct {
	at     time.Time
	tokens int64
}

// ledger records the tokens used by all admitted requests.
type ledger struct {
	mu    sync.Mutex
	spent []spending
}

// add records a request admitted now. It is safe for concurrent use.
func (l *ledger) add(tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spent = append(l.spent, spending{at: time.Now(), tokens: tokens})
}

// overLimit returns by how many tokens at most the spending in any interval of length t exceeds the bound
// burst + rate·t. It computes the level that a single bucket would have: the level falls below zero exactly if
// some interval exceeds the bound.
func (l *ledger) overLimit(limit quota.Limit) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sort.SliceStable(l.spent, func(i, j int) bool { return l.spent[i].at.Before(l.spent[j].at) })
	level, worst := limit.Burst, 0.0
	for i, s := range l.spent {
		if i > 0 {
			level = min(limit.Burst, level+limit.Rate*s.at.Sub(l.spent[i-1].at).Seconds())
		}
		level -= float64(s.tokens)
		worst = max(worst, -level)
	}
	return worst
}

// overLimitPairwise computes the same as overLimit from every pair of admissions, as a reference.
func (l *ledger) overLimitPairwise(limit quota.Limit) float64 {
	worst := 0.0
	for i, from := range l.spent {
		sum := int64(0)
		for _, to := range l.spent[i:] {
			sum += to.tokens
			bound := limit.Burst + limit.Rate*to.at.Sub(from.at).Seconds()
			worst = max(worst, float64(sum)-bound)
		}
	}
	return worst
}

// sendRequests sends requests to one VM until the VM's context is done. With refunds, it gives back a random
// part of each request's tokens later.
func (f *fleet) sendRequests(v *fleettest.VM, l *ledger, rnd *rand.Rand, refunds bool) {
	mean := 50 + rnd.Intn(500)
	for v.Ctx.Err() == nil {
		time.Sleep(time.Duration(rnd.Intn(2*mean)+1) * time.Millisecond)
		v.Gate.Pass()
		tokens := int64(rnd.Intn(60) + 1)
		unused := int64(0)
		if refunds {
			unused = rnd.Int63n(tokens + 1)
		}
		returnDelay := time.Duration(rnd.Intn(3000)) * time.Millisecond
		go func() {
			if f.admit(v, tokens) != nil {
				return
			}
			admitted := time.Now()
			l.add(tokens - unused)
			time.Sleep(returnDelay)
			f.limiter(v).ReturnSince(account, unused, admitted)
		}()
	}
}

// TestSchedules runs seeded fault schedules against fleets under load. It guards against an account spending
// more than its rate and burst when leases move and VMs crash or are cut off.
func TestSchedules(t *testing.T) {
	for i := range *schedules {
		seed := *firstSeed + int64(i)
		ok := t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSchedule(t, seed) })
		if !ok {
			t.Fatalf("schedule with -first-seed=%d failed", seed)
		}
	}
	t.Logf("%d schedules from seed %d", *schedules, *firstSeed)
}

func runSchedule(t *testing.T, seed int64) {
	rnd := rand.New(rand.NewSource(seed))
	refunds := seed%2 == 0
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			Fleet:    fleettest.NewFleet(t.Context(), seed, []string{lease.AccountPrefix + account}),
			t:        t,
			limiters: map[*fleettest.VM]*quota.Limiter{},
			limit:    quota.Limit{Rate: 20 + 200*rnd.Float64(), Burst: 60 + 600*rnd.Float64()},
		}
		l := &ledger{}
		f.Attach = func(v *fleettest.VM) fleettest.Attachment {
			go f.sendRequests(v, l, v.Rand(seed), refunds)
			return f.attachQuota(v)
		}
		defer f.Stop()
		f.StartAll(3 + rnd.Intn(4))
		chaos := fleettest.NewChaos(f.Fleet, seed)
		chaos.Run(faultsPerSchedule)
		if overLimit := l.overLimit(f.limit); overLimit > 1e-3 {
			t.Errorf("seed %d: %v exceeded by %.3f tokens\n%s", seed, f.limit, overLimit, strings.Join(chaos.Trace, "\n"))
		}
		if len(l.spent) < 100 {
			t.Errorf("seed %d: only %d requests admitted", seed, len(l.spent))
		}
	})
}

// TestOverLimitAgreesWithPairwise checks the measure that TestSchedules uses against a direct computation.
func TestOverLimitAgreesWithPairwise(t *testing.T) {
	limit := quota.Limit{Rate: 10, Burst: 20}
	rnd := rand.New(rand.NewSource(1))
	for range 300 {
		l := &ledger{}
		at := time.Time{}
		for range 30 {
			at = at.Add(time.Duration(rnd.Intn(2000)) * time.Millisecond)
			l.spent = append(l.spent, spending{at: at, tokens: rnd.Int63n(20)})
		}
		if a, b := l.overLimit(limit), l.overLimitPairwise(limit); (a > 1e-9) != (b > 1e-9) {
			t.Fatalf("over limit by %v by bucket level, by %v by pairs", a, b)
		}
	}
}

package allowance

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// partitionFixture is a fleet in which the first VMs cannot reach the home of an account from cutAt to healAt.
type partitionFixture struct {
	home          *account
	vms           []*vm
	disconnected  int // number of VMs that lose the home
	cutAt, healAt time.Time
	partitioned   bool // whether they have lost it now
}

func newPartitionFixture(vms, disconnected int, begin time.Time, after, span time.Duration) *partitionFixture {
	f := &partitionFixture{home: newAccount(testPolicy, testLimit, vms, begin), disconnected: disconnected, cutAt: begin.Add(after), healAt: begin.Add(after + span)}
	for i := range vms {
		v := newVM(string(rune('a'+i)), begin.Add(-time.Minute))
		f.vms = append(f.vms, v)
		f.home.reported[v.id] = true
	}
	return f
}

// step does what a Home does in the background: it counts the unresponsive VMs as absent, and gets their reports once
// they respond again. If all VMs have lost the home, another VM becomes the home at healAt.
func (f *partitionFixture) step(now time.Time) {
	switch all := f.disconnected == len(f.vms); {
	case now.Before(f.cutAt):
	case now.Before(f.healAt):
		f.partitioned = true
		for i := 0; !all && i < f.disconnected && now.Sub(f.cutAt) >= unresponsiveAfter; i++ {
			delete(f.home.reported, f.vms[i].id)
		}
	case f.partitioned:
		f.partitioned = false
		if all {
			f.home = newAccount(testPolicy, testLimit, len(f.vms), now)
		}
		for _, v := range f.vms {
			f.home.recordUsage(v.report(now), now)
		}
	}
}

// admit spends tokens on the i-th VM and reports whether there were enough.
func (f *partitionFixture) admit(i int, tokens int64, now time.Time) bool {
	v := f.vms[i]
	if !f.partitioned || i >= f.disconnected {
		return v.admit(f.home, tokens, now)
	}
	v.balance.expire(now)
	v.balance.recordDemand(tokens, now)
	if v.balance.tokens >= tokens {
		v.balance.spend(tokens, now)
		return true
	}
	return v.balance.spendFallback(testPolicy, testLimit, len(f.vms), tokens, now)
}

// After 1 s an account sends six times its rate, spread evenly over the VMs. Later all VMs lose the home, or some do while
// it continues to lend to the others. What is admitted must stay within the bound in every window.
func TestHomeUnreachableDuringFlood(t *testing.T) {
	for name, c := range map[string]struct {
		vms, disconnected int
		after, span       time.Duration
	}{
		"all VMs":               {vms: 6, disconnected: 6, after: 5 * time.Second, span: 2 * time.Second},
		"all VMs, for long":     {vms: 6, disconnected: 6, after: 5 * time.Second, span: 25 * time.Second},
		"two of six VMs":        {vms: 6, disconnected: 2, after: 5 * time.Second, span: 6 * time.Second},
		"all VMs, early":        {vms: 6, disconnected: 6, after: 1500 * time.Millisecond, span: 3 * time.Second},
		"a third of many VMs":   {vms: 60, disconnected: 20, after: 5 * time.Second, span: 10 * time.Second},
		"all of many VMs":       {vms: 60, disconnected: 60, after: 3 * time.Second, span: 3 * time.Second},
		"one VM, for very long": {vms: 6, disconnected: 1, after: 5 * time.Second, span: 25 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			rnd := rand.New(rand.NewSource(1))
			begin := time.Unix(1_700_000_000, 0)
			f := newPartitionFixture(c.vms, c.disconnected, begin, c.after, c.span)
			var admitted []admission
			for at := time.Duration(0); at < 40*time.Second; at += 5 * time.Millisecond {
				now := begin.Add(at)
				f.step(now)
				// 100 tokens every 5 ms are twice the rate.
				for range 3 {
					if at < time.Second && rnd.Intn(12) > 0 {
						continue
					}
					if f.admit(rnd.Intn(c.vms), 100, now) {
						admitted = append(admitted, admission{now, 100})
					}
				}
			}
			require.LessOrEqual(t, float64(maxWithinWindow(admitted)), windowBound())
		})
	}
}

// An account well within its limit must not be refused while no VM can reach its home.
func TestHomeUnreachableForAccountWithinLimit(t *testing.T) {
	for _, vms := range []int{6, 12} {
		rnd := rand.New(rand.NewSource(1))
		begin := time.Unix(1_700_000_000, 0)
		f := newPartitionFixture(vms, vms, begin, 10*time.Second, 3*time.Second)
		refused := 0
		for at := time.Duration(0); at < 20*time.Second; at += 20 * time.Millisecond {
			now := begin.Add(at)
			f.step(now)
			if !f.admit(rnd.Intn(vms), 100, now) {
				refused++
			}
		}
		require.Zero(t, refused, "%d VMs", vms)
	}
}

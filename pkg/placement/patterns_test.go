package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// customerA is a part of the first customer's engines, with its kinds of requests at rates that take up most of what
// the model's engines can do.
func customerA() modelLoad {
	return modelLoad{
		vms: 12, engines: 8, domains: 1, slots: 96, memory: 143_712, step: 9470 * time.Microsecond, tokensPerMS: 19.2,
		adapterSlots: 14, loadTime: 288 * time.Millisecond, loadsPerSecond: 17, adapters: 40, hot: 0.15, seconds: 8,
		kinds: []modelKind{
			{name: "quality-note", rank: 0, shared: 155, own: 491, output: 69, rate: 120, objective: time.Second, limit: 10 * time.Second, value: 3.1, lateValue: 0.37, accounts: 10},
			{name: "route-hint", rank: 1, shared: 155, own: 491, output: 69, rate: 20, objective: time.Second, limit: 15 * time.Second, value: 1.6, lateValue: 0.48, accounts: 10},
			{name: "round-summary", rank: 2, shared: 6300, own: 2890, output: 51, rate: 2.2, objective: 2 * time.Second, limit: 8 * time.Second, value: 2.5, lateValue: 1.1, accounts: 10},
		},
	}
}

// customerB is a part of the second customer's engines.
func customerB() modelLoad {
	return modelLoad{
		vms: 12, engines: 8, domains: 4, slots: 12, memory: 194_467, step: 3400 * time.Microsecond, tokensPerMS: 44.2,
		adapterSlots: 9, loadTime: 250 * time.Millisecond, loadsPerSecond: 25, adapters: 30, hot: 0.1, seconds: 8,
		kinds: []modelKind{
			{name: "donor-chat", rank: 1, shared: 155, own: 491, output: 66, rate: 133, objective: 600 * time.Millisecond, limit: 4 * time.Second, value: 1.9, lateValue: 0.19, accounts: 10},
			{name: "thanks-draft", rank: 0, shared: 155, own: 491, output: 66, rate: 19, objective: time.Second, limit: 6 * time.Second, value: 2.8, lateValue: 0.28, accounts: 10},
			{name: "campaign-digest", rank: 2, shared: 6300, own: 2890, output: 55, rate: 4.7, objective: 800 * time.Millisecond, limit: 4 * time.Second, value: 4.8, lateValue: 0.48, accounts: 10},
		},
	}
}

func named(name string, l modelLoad, change func(*modelLoad)) modelLoad {
	l.name = name
	if change != nil {
		change(&l)
	}
	return l
}

// burst returns a factor that multiplies the rate of a kind between the second and the sixth second.
func burst(kind string, by float64) func(string, time.Duration) float64 {
	return func(name string, at time.Duration) float64 {
		if name == kind && at > 2*time.Second && at < 6*time.Second {
			return by
		}
		return 1
	}
}

// loadPatterns are the loads under which the ways to place requests are compared.
func loadPatterns() []modelLoad {
	return []modelLoad{
		named("A, usual load", customerA(), nil),
		named("A, quality-note at 2.7 times its rate", customerA(), func(l *modelLoad) { l.factor = burst("quality-note", 2.7) }),
		named("A, round-summary at 2.7 times its rate", customerA(), func(l *modelLoad) { l.factor = burst("round-summary", 2.7) }),
		named("A, one adapter gets half of the requests", customerA(), func(l *modelLoad) { l.hot = 0.5 }),
		named("A, three accounts at five times their rate", customerA(), greedyAccounts),
		named("A, a quarter of the engines lost at once", customerA(), func(l *modelLoad) {
			l.up = func(e int, at time.Duration) bool { return e >= 2 || at < 3*time.Second }
		}),
		named("A, callers that retry at once, 2.7 times", customerA(), func(l *modelLoad) {
			l.factor, l.retryAtOnce = burst("quality-note", 2.7), true
		}),
		named("A, engines that fail every request", customerA(), func(l *modelLoad) {
			l.failing = func(e int) bool { return e < 1 }
		}),
		named("A, all VMs start cold", customerA(), func(l *modelLoad) { l.cold = true }),
		named("A, VMs without information, 2.7 times", customerA(), func(l *modelLoad) {
			l.factor, l.isolated = burst("quality-note", 2.7), true
		}),
		named("A, three accounts with false length hints, little memory", customerA(), func(l *modelLoad) {
			l.memory = 20_000
			for i := range l.kinds {
				l.kinds[i].falseHints = func(account int) bool { return account < 3 }
			}
		}),
		named("A, a quarter of the engines at half speed", customerA(), func(l *modelLoad) { l.slow = quarterAtHalfSpeed }),
		named("B, usual load", customerB(), nil),
		named("B, a quarter of the engines at half speed", customerB(), func(l *modelLoad) { l.slow = quarterAtHalfSpeed }),
		named("B, slow periods of half a second, donor-chat at 2.7 times", customerB(), func(l *modelLoad) {
			l.factor = burst("donor-chat", 2.7)
			l.slow = func(e int, at time.Duration) float64 {
				if (int(at/(500*time.Millisecond))+e)%7 == 0 {
					return 4
				}
				return 1
			}
		}),
	}
}

func quarterAtHalfSpeed(engine int, _ time.Duration) float64 {
	if engine%4 == 0 {
		return 2
	}
	return 1
}

// greedyAccounts makes three of ten accounts send five times their rate, over their limit.
func greedyAccounts(l *modelLoad) {
	for i := range l.kinds {
		k := &l.kinds[i]
		k.rate *= 2.2
		// Accounts are drawn evenly: 15 of 22 numbers stand for the three greedy accounts.
		k.accounts = 22
		k.overLimit = func(account int) bool { return account >= 7 }
	}
}

func (r modelResult) String() string {
	text := fmt.Sprintf("value %5.1f %%, by attempt %5.1f %%, busiest engine %.2f", 100*r.value/r.best, 100*r.attemptValue/r.best, r.skew)
	requests := 0
	for _, k := range r.kinds {
		requests += k.requests
	}
	text += fmt.Sprintf(", calls a request %.2f", float64(r.calls)/float64(requests))
	slices.Sort(r.errors)
	for _, share := range []int{10, 50, 90} {
		text += fmt.Sprintf(", forecast error p%d %v", share, r.errors[len(r.errors)*share/100].Round(time.Millisecond))
	}
	for _, name := range []string{"quality-note", "route-hint", "round-summary", "thanks-draft", "donor-chat", "campaign-digest"} {
		if k := r.kinds[name]; k != nil {
			n := float64(k.requests) / 100
			text += fmt.Sprintf("; %s %d: in time %.1f late %.1f refusals %d", name, k.requests, float64(k.inTime)/n, float64(k.late)/n, k.refusals)
		}
	}
	return text
}

// modelSeeds is the number of seeds of each comparison.
const modelSeeds = 2

// compareOn runs all ways to place requests on the same arrivals, and returns the sums over the seeds.
func compareOn(t *testing.T, load modelLoad) map[string]modelResult {
	sums := map[string]modelResult{}
	for _, policy := range []string{leastLoadedPolicy, homesPolicy, costPolicy} {
		sum := modelResult{kinds: map[string]*kindResult{}, accounts: map[int]*kindResult{}}
		for seed := range uint64(modelSeeds) {
			sum.add(runModel(load, policy, seed+1))
		}
		t.Logf("RESULT %s | %-12s %v", load.name, policy, sum)
		sums[policy] = sum
	}
	return sums
}

func (r *modelResult) add(other modelResult) {
	r.value += other.value
	r.best += other.best
	r.attemptValue += other.attemptValue
	r.skew = max(r.skew, other.skew)
	r.calls += other.calls
	r.errors = append(r.errors, other.errors...)
	addKinds(r.kinds, other.kinds)
	addKinds(r.accounts, other.accounts)
}

func addKinds[K comparable](sums, other map[K]*kindResult) {
	for key, k := range other {
		if sums[key] == nil {
			sums[key] = &kindResult{}
		}
		s := sums[key]
		s.requests += k.requests
		s.inTime += k.inTime
		s.late += k.late
		s.failed += k.failed
		s.refusals += k.refusals
	}
}

// served returns the share of the requests that were served within their time limit.
func (k kindResult) served() float64 { return float64(k.inTime+k.late) / float64(max(k.requests, 1)) }

const (
	// valueTolerance is by how much of the value the new logic may be worse than homes under any load: the difference
	// between two seeds under the usual load is smaller.
	valueTolerance = 0.015
	// rankTolerance is by how much of its requests a more urgent kind may be served less than a less urgent one.
	rankTolerance = 0.03
)

// Guards against a load under which the logic by expected cost is worse than the one by homes, and against urgent requests
// that are served less than less urgent ones. The times count from the attempt that was served.
func TestLoadPatterns(t *testing.T) {
	for _, load := range loadPatterns() {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			sums := compareOn(t, load)
			homes, cost := sums[homesPolicy], sums[costPolicy]
			require.Greater(t, cost.attemptValue/cost.best, homes.attemptValue/homes.best-valueTolerance)
			require.Greater(t, cost.attemptValue, sums[leastLoadedPolicy].attemptValue)
			for _, urgent := range load.kinds {
				for _, other := range load.kinds {
					if urgent.rank < other.rank {
						require.Greater(t, cost.kinds[urgent.name].served(), cost.kinds[other.name].served()-rankTolerance, "%s, %s", urgent.name, other.name)
					}
				}
			}
			first := load.kinds[slices.IndexFunc(load.kinds, func(k modelKind) bool { return k.rank == 0 })].name
			require.LessOrEqual(t, cost.kinds[first].refusals, homes.kinds[first].refusals)
		})
	}
}

// Guards against accounts over their limit being served before others, and against callers that gain from false hints.
func TestGreedyAndFalseAccounts(t *testing.T) {
	share := func(r modelResult, from, to int) float64 {
		var sum kindResult
		for account := from; account < to; account++ {
			if k := r.accounts[account]; k != nil {
				sum.requests += k.requests
				sum.inTime += k.inTime
			}
		}
		return float64(sum.inTime) / float64(sum.requests)
	}
	greedy := named("greedy", customerA(), greedyAccounts)
	r := runModel(greedy, costPolicy, 1)
	t.Logf("in time: small accounts %.3f, accounts over their limit %.3f", share(r, 0, 7), share(r, 7, 22))
	require.Greater(t, share(r, 0, 7), share(r, 7, 22))
	lying := loadPatterns()[slices.IndexFunc(loadPatterns(), func(l modelLoad) bool { return l.kinds[0].falseHints != nil })]
	r = runModel(lying, costPolicy, 1)
	t.Logf("in time: accounts with false hints %.3f, others %.3f", share(r, 0, 3), share(r, 3, 10))
	require.Less(t, share(r, 0, 3), share(r, 3, 10)+0.02)
}

package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// customerA is a fifth of the first customer's engines, with its kinds of requests at rates that take up most of what
// the model's engines can do.
func customerA() modelLoad {
	return modelLoad{
		vms: 16, engines: 12, domains: 1, slots: 96, memory: 143_712, step: 9470 * time.Microsecond, tokensPerMS: 19.2,
		adapterSlots: 14, loadTime: 288 * time.Millisecond, loadsPerSecond: 26, adapters: 60, hot: 0.15, seconds: 12,
		kinds: []modelKind{
			{name: "quality-note", rank: 0, shared: 155, own: 491, output: 69, rate: 180, objective: time.Second, limit: 10 * time.Second, value: 3.1, lateValue: 0.37, accounts: 10},
			{name: "route-hint", rank: 1, shared: 155, own: 491, output: 69, rate: 30, objective: time.Second, limit: 15 * time.Second, value: 1.6, lateValue: 0.48, accounts: 10},
			{name: "round-summary", rank: 2, shared: 6300, own: 2890, output: 51, rate: 3.3, objective: 2 * time.Second, limit: 8 * time.Second, value: 2.5, lateValue: 1.1, accounts: 10},
		},
	}
}

// customerB is a fifth of the second customer's engines.
func customerB() modelLoad {
	return modelLoad{
		vms: 12, engines: 12, domains: 4, slots: 12, memory: 194_467, step: 3400 * time.Microsecond, tokensPerMS: 44.2,
		adapterSlots: 9, loadTime: 250 * time.Millisecond, loadsPerSecond: 38, adapters: 40, hot: 0.1, seconds: 12,
		kinds: []modelKind{
			{name: "donor-chat", rank: 1, shared: 155, own: 491, output: 66, rate: 200, objective: 600 * time.Millisecond, limit: 4 * time.Second, value: 1.9, lateValue: 0.19, accounts: 10},
			{name: "thanks-draft", rank: 0, shared: 155, own: 491, output: 66, rate: 28, objective: time.Second, limit: 6 * time.Second, value: 2.8, lateValue: 0.28, accounts: 10},
			{name: "campaign-digest", rank: 2, shared: 6300, own: 2890, output: 55, rate: 7, objective: 800 * time.Millisecond, limit: 4 * time.Second, value: 4.8, lateValue: 0.48, accounts: 10},
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

// burst returns a factor that multiplies the rate of a kind between the third and the ninth second.
func burst(kind string, by float64) func(string, time.Duration) float64 {
	return func(name string, at time.Duration) float64 {
		if name == kind && at > 3*time.Second && at < 9*time.Second {
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
			l.up = func(e int, at time.Duration) bool { return e >= 3 || at < 4*time.Second }
		}),
		named("A, callers that retry at once, 2.7 times", customerA(), func(l *modelLoad) {
			l.factor, l.retryAtOnce = burst("quality-note", 2.7), true
		}),
		named("A, engines that fail every request", customerA(), func(l *modelLoad) {
			l.failing = func(e int) bool { return e < 2 }
		}),
		named("A, all VMs start cold", customerA(), func(l *modelLoad) { l.cold = true }),
		named("A, VMs without information, 2.7 times", customerA(), func(l *modelLoad) {
			l.factor, l.isolated = burst("quality-note", 2.7), true
		}),
		named("B, usual load", customerB(), nil),
		named("B, a quarter of the engines at half speed", customerB(), func(l *modelLoad) {
			l.slow = func(e int, _ time.Duration) float64 {
				if e%4 == 0 {
					return 2
				}
				return 1
			}
		}),
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

// Prints how the ways to place requests compare under each load.
func TestLoadPatterns(t *testing.T) {
	for _, load := range loadPatterns() {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			for _, policy := range []string{leastLoadedPolicy, homesPolicy, costPolicy} {
				for seed := range uint64(1) {
					result := runModel(load, policy, seed+1)
					t.Logf("RESULT %s | %-12s %v", load.name, policy, result)
					require.NotZero(t, result.best)
				}
			}
		})
	}
}

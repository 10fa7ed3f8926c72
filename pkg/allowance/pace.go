package allowance

import (
	"math"
	"time"
)

// paceUsage is the usage of an account compared with the pace that Policy.Paced sets.
type paceUsage struct {
	// remaining is the number of tokens that may be lent now.
	remaining float64
	// scarce reports that few remain, so that VMs are lent no more than they need.
	scarce bool
}

// pace compares the usage with the pace of the limit. Within each of the last spans of time, VMs may have spent Burst tokens and
// Rate tokens per second. What they hold may be as much more as the balances that they keep, so that they need not call the home
// for each request.
func (a *account) pace(now time.Time) paceUsage {
	held := 0.0
	spent := make([]float64, int(a.policy.Window/binWidth)+1)
	for _, u := range a.usage {
		held += float64(u.possiblySpent(a.policy, now))
		u.spent.advance(now)
		for i, n := range u.spent.bins {
			if i < len(spent) {
				spent[i] += float64(n)
			}
		}
	}
	result := paceUsage{remaining: math.Inf(1)}
	total := 0.0
	for i, n := range spent {
		total += n
		span := time.Duration(i) * binWidth
		// A bin counts as a whole, so the span may be up to binWidth longer.
		withSpent := a.limit.Burst + a.limit.Rate*(span+2*binWidth).Seconds()
		withHeld := a.limit.Burst + a.limit.Rate*(span+binWidth+balanceHorizon).Seconds()
		remaining := min(withSpent-total, withHeld-total-held)
		result.remaining = min(result.remaining, remaining)
		result.scarce = result.scarce || remaining < scarceShare*withHeld
	}
	return result
}

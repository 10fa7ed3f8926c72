package allowance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// flood lets VMs ask for tokens of an account at many times its rate, and returns what they spend in each second.
func flood(paced bool, perSecond float64, length time.Duration) []float64 {
	policy := testPolicy
	policy.Paced = paced
	begin := time.Unix(1_700_000_000, 0)
	home := newAccount(policy, testLimit, 20, begin)
	var vms []*vm
	for i := range 20 {
		v := newVM(string(rune('a'+i)), begin)
		vms = append(vms, v)
		home.reported[v.id] = true
	}
	const need = 200
	const tick = 10 * time.Millisecond
	spent := make([]float64, int(length/time.Second))
	due := 0.0
	for now := begin; now.Sub(begin) < length; now = now.Add(tick) {
		for due += perSecond * tick.Seconds(); due >= need; due -= need {
			v := vms[int(now.Sub(begin)/tick)%len(vms)]
			v.balance.expire(now)
			v.balance.recordDemand(need, now)
			if v.balance.tokens < need {
				req := v.report(now)
				req.Need = need - v.balance.tokens
				req.Want = max(req.Want, req.Need)
				reply := home.settle(req, now)
				v.balance.tokens += reply.Tokens
				v.balance.refillSentAt = now
			}
			if v.balance.tokens >= need {
				v.balance.spend(need, now)
				spent[int(now.Sub(begin)/time.Second)] += need
			}
		}
	}
	return spent
}

// An account at five times its rate must not use up its whole window in the first seconds and then get nothing: after its burst, and
// the balances that VMs keep, it gets its rate in each second.
func TestPacedAccountIsServedAtItsRate(t *testing.T) {
	unpaced, paced := flood(false, 5*testLimit.Rate, 8*time.Second), flood(true, 5*testLimit.Rate, 8*time.Second)
	t.Log("without pace", unpaced, "with pace", paced)
	require.Less(t, unpaced[5], 0.2*testLimit.Rate, "the fault that the pace answers")
	require.Less(t, paced[0], testLimit.Burst+testLimit.Rate*(balanceHorizon+2*binWidth).Seconds())
	for second := 5; second < 8; second++ {
		require.Greater(t, paced[second], 0.5*testLimit.Rate, "second %d", second)
	}
	total := 0.0
	for _, n := range paced {
		total += n
	}
	require.LessOrEqual(t, total, testPolicy.lendable(testLimit))
}

// An account within its rate must be lent as before: all of what it asks for, without a call to the home for each request.
func TestPaceDoesNotLimitAnAccountWithinItsRate(t *testing.T) {
	spent := flood(true, 0.9*testLimit.Rate, 12*time.Second)
	for second, n := range spent {
		require.InDelta(t, 0.9*testLimit.Rate, n, 400, "second %d", second)
	}
	policy := testPolicy
	policy.Paced = true
	now := time.Unix(1_700_000_000, 0)
	home := newAccount(policy, testLimit, 1, now)
	home.reported["a"] = true
	reply := home.settle(Request{VM: "a", Incarnation: "1", Need: 100, Want: 5000}, now)
	require.Greater(t, reply.Tokens, int64(3000))
}

package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/result"
)

// Requests that the account's rate cannot serve, or not in time, must not wait in vain: the first reply of the
// home that tells the VM to wait refuses them.
func TestUnservableWaitersAreRefusedImmediately(t *testing.T) {
	const rate = 10.0
	now := time.Unix(100, 0)
	reply := GrantReply{RetryAfter: time.Second, Wait: true, Usable: 25}
	cases := map[string]struct {
		deadlines []time.Duration
		refused   []bool
	}{
		"beyond what the account may use": {
			deadlines: []time.Duration{time.Minute, time.Minute, time.Minute, time.Minute},
			refused:   []bool{false, false, true, true},
		},
		"turn after the deadline": {
			deadlines: []time.Duration{time.Minute, 1500 * time.Millisecond, time.Minute},
			refused:   []bool{false, true, false},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := &account{name: "a"}
			var waiters []*waiter
			for _, deadline := range c.deadlines {
				waiters = append(waiters, a.spendOrEnqueue(10, now, now.Add(deadline)))
			}
			pause, more := a.applyReply(GrantRequest{Need: 10}, reply, now, rate)
			require.True(t, more)
			require.Positive(t, pause)
			for i, w := range waiters {
				require.Equal(t, c.refused[i], len(w.done) == 1, "waiter %d", i)
				if !c.refused[i] {
					continue
				}
				var refusal *result.Error
				require.ErrorAs(t, <-w.done, &refusal)
				require.Equal(t, result.OverRate, refusal.Code)
				require.Equal(t, result.NotRun, refusal.Outcome)
				require.Greater(t, refusal.RetryAfter, time.Second)
			}
		})
	}
}

// Tokens that arrive shortly before a request's deadline must not be spent on it: the request would be sent
// to an endpoint and be cut off there at its deadline.
func TestTokensCloseToDeadlineAdmitNoWaiter(t *testing.T) {
	start := time.Unix(100, 0)
	for after, admitted := range map[time.Duration]bool{3900 * time.Millisecond: true, 4900 * time.Millisecond: false} {
		a := &account{name: "a"}
		w := a.spendOrEnqueue(10, start, start.Add(5*time.Second))
		w.retryAfter = time.Second
		a.balance, a.grantSentAt = 10, start.Add(after)
		a.admitWaiters(start.Add(after))
		err := <-w.done
		if admitted {
			require.NoError(t, err)
			require.Zero(t, a.balance)
			continue
		}
		var refusal *result.Error
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, result.OverRate, refusal.Code)
		require.Equal(t, result.NotRun, refusal.Outcome)
		require.EqualValues(t, 10, a.balance, "the refused request must leave the tokens to others")
	}
}

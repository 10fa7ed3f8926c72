package quota_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/fleettest"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/quota"
	"github.com/mallowlink/mallowlink/pkg/result"
)

const account = "school"

// fleet is a test fleet each of whose VMs has a home and a limiter for the quota.
type fleet struct {
	*fleettest.Fleet
	t *testing.T
	// mu guards limiters.
	mu       sync.Mutex
	limiters map[*fleettest.VM]*quota.Limiter
	limit    quota.Limit
}

func (f *fleet) limits(name string) (quota.Limit, bool) { return f.limit, name == account }

// attachQuota adds a home and a limiter for the quota to a VM.
func (f *fleet) attachQuota(v *fleettest.VM) fleettest.Attachment {
	home := quota.NewHome(v.Ctx, v.ID, v.Manager, v.Registry, v.PeerClient, f.limits, f.Log)
	limiter := quota.NewLimiter(v.Ctx, v.ID, v.Incarnation, home, v.Manager, v.PeerClient, f.limits)
	f.mu.Lock()
	f.limiters[v] = limiter
	f.mu.Unlock()
	return fleettest.Attachment{
		Listener: home,
		State:    home.State,
		Services: map[string]any{quota.ServiceName: quota.NewService(home, limiter)},
	}
}

// runFleet runs body in a synctest bubble with a fleet of n VMs, one of which holds the account's lease.
func runFleet(t *testing.T, seed int64, n int, limit quota.Limit, body func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			Fleet:    fleettest.NewFleet(t.Context(), seed, []string{lease.AccountPrefix + account}),
			t:        t,
			limiters: map[*fleettest.VM]*quota.Limiter{},
			limit:    limit,
		}
		f.Attach = f.attachQuota
		defer f.Stop()
		f.StartAll(n)
		require.NotNil(t, f.waitHome(10*time.Second))
		time.Sleep(time.Second)
		body(f)
	})
}

// waitHome waits until a VM holds the account's lease, for the given time at most, and returns that VM.
func (f *fleet) waitHome(limit time.Duration) *fleettest.VM {
	return f.WaitHolder(lease.AccountPrefix+account, limit)
}

// admit has a VM admit a request for the given number of tokens.
func (f *fleet) admit(v *fleettest.VM, tokens int64) error {
	ctx, cancel := context.WithTimeout(v.Ctx, 30*time.Second)
	defer cancel()
	return f.limiter(v).Admit(ctx, account, tokens)
}

// refusalCode returns the result code of a refusal, or 0 if err is not a *result.Error.
func refusalCode(err error) result.Code {
	if refusal, ok := err.(*result.Error); ok {
		return refusal.Code
	}
	return 0
}

// limiter returns the limiter of a VM.
func (f *fleet) limiter(v *fleettest.VM) *quota.Limiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limiters[v]
}

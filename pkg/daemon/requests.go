package daemon

import (
	"context"
	"math/rand"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/budget"
	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/bundle/rollout"
	"github.com/mallowlink/mallowlink/pkg/entry"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/ledger"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/memory"
	"github.com/mallowlink/mallowlink/pkg/owner"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/quota"
	"github.com/mallowlink/mallowlink/pkg/request"
	"github.com/mallowlink/mallowlink/pkg/retry"
	"github.com/mallowlink/mallowlink/pkg/scheduler"
	"github.com/mallowlink/mallowlink/pkg/settings"
	"github.com/mallowlink/mallowlink/pkg/suspect"
)

// backgroundContext is the context for work that runs until the process stops. Its own type lets fx
// provide it.
type backgroundContext struct {
	context.Context
	cancel context.CancelFunc
}

func newBackgroundContext() backgroundContext {
	ctx, cancel := context.WithCancel(context.Background())
	return backgroundContext{ctx, cancel}
}

// quotas holds both sides of the rate limits of client accounts: the home grants tokens for the accounts
// whose leases this VM holds, and the holder obtains and spends tokens for the requests on this VM.
type quotas struct {
	home   *quota.Home
	holder *quota.Limiter
}

func newQuotas(bg backgroundContext, id identity, leases *lease.Manager, members *membership.Registry, follower *rollout.Follower, p pools, log logrus.FieldLogger) quotas {
	limits := func(account string) (quota.Limit, bool) { return accountLimit(follower.Current(), account) }
	home := quota.NewHome(bg, id.VM, leases, members, p.control, limits, log)
	holder := quota.NewLimiter(bg, id.VM, id.Incarnation, home, leases, p.control, limits)
	return quotas{home: home, holder: holder}
}

// accountLimit returns the rate limit of an account in the bundle, and false if there is none.
func accountLimit(b *bundle.Bundle, account string) (quota.Limit, bool) {
	if b == nil {
		return quota.Limit{}, false
	}
	a, ok := b.Accounts[account]
	return quota.Limit{Rate: a.Rate, Burst: a.Burst}, ok
}

// budgets holds both sides of the fleet-wide budget for adapter loads: the home grants load permits while
// this VM holds the budget lease, and the holder obtains permits for the engines that this VM owns.
type budgets struct {
	home       *budget.Home
	holder     *budget.Holder
	ownerWaker *ownerWaker
}

// ownerWaker lets the budget holder wake the owner. The owner is built after the holder, which it depends
// on, so newOwner sets call.
type ownerWaker struct{ call func() }

func newBudgets(bg backgroundContext, id identity, leases *lease.Manager, members *membership.Registry, follower *rollout.Follower, p pools) budgets {
	limits := func() (budget.Limit, bool) { return fleetLimit(follower.Current()) }
	config := budget.Config{ID: id.VM, Incarnation: id.Incarnation, LoadLimit: owner.LoadTimeout}
	wake := &ownerWaker{call: func() {}}
	home := budget.NewHome(bg, config, leases, members, p.control, limits)
	holder := budget.NewHolder(bg, config, home, leases, p.control, func() { wake.call() })
	return budgets{home: home, holder: holder, ownerWaker: wake}
}

func newSuspectTable() *suspect.Table {
	return suspect.NewTable(suspect.OwnerLimits())
}

func newAnnouncer(p pools, members *membership.Registry) *suspect.PeerAnnouncer {
	return suspect.NewPeerAnnouncer(p.control, members)
}

func newOwner(id identity, leases *lease.Manager, members *membership.Registry, follower *rollout.Follower, table platform.Table, c *connector, b budgets, suspects *suspect.Table, registry metrics.Registry, log logrus.FieldLogger) *owner.Owner {
	o := owner.New(owner.Config{
		VM:           id.VM,
		Incarnation:  id.Incarnation,
		Leases:       leases,
		Members:      members,
		Source:       follower,
		Table:        table,
		Connector:    c,
		Permits:      b.holder,
		Suspects:     suspects,
		NewScheduler: newScheduler,
		Metrics:      registry,
		Log:          log,
		Seed:         uint64(id.Started.UnixNano()),
	})
	b.ownerWaker.call = o.Wake
	return o
}

func newScheduler(group bundle.Group, permits scheduler.LoadPermits, rng *rand.Rand) scheduler.Scheduler {
	config := scheduler.DefaultConfig()
	if group.QueueLimit > 0 {
		config.QueueLimit = group.QueueLimit
	}
	return scheduler.New(config, rng, permits)
}

func newDirectory(id identity, o *owner.Owner, leases *lease.Manager, p pools) *owner.Directory {
	return owner.NewDirectory(id.VM, id.Incarnation, o, leases, p.data)
}

func newLedger(table platform.Table, d *owner.Directory, registry metrics.Registry, log logrus.FieldLogger) *ledger.Ledger {
	return ledger.New(table, request.OwnerProver{Directory: d}, registry, log)
}

// maxBufferedBytes is the maximum memory on this VM for the bodies of callers' requests and for unfinished
// responses.
const maxBufferedBytes = 256 << 20

func newMemoryBudget() *memory.Budget { return memory.NewBudget(maxBufferedBytes) }

func newRequests(d *owner.Directory, q quotas, l *ledger.Ledger, table *suspect.Table, a *suspect.PeerAnnouncer, buffers *memory.Budget, registry metrics.Registry, log logrus.FieldLogger) *request.Service {
	return request.NewService(request.Config{
		Directory: d,
		Quota:     q.holder,
		Ledger:    l,
		Suspects:  suspect.NewGuard(table, a),
		Retries:   retry.New(),
		Memory:    buffers,
		Metrics:   registry,
		Log:       log,
	})
}

// errNoBundle is the reason why a VM is not ready before it has received a bundle.
var errNoBundle = errors.New("no bundle yet")

func newHandler(s settings.Settings, follower *rollout.Follower, requests *request.Service, buffers *memory.Budget, registry metrics.Registry, log logrus.FieldLogger) *entry.Handler {
	return entry.NewHandler(entry.Config{
		Source:  follower,
		Runner:  requests,
		Limits:  entryLimits(s),
		Memory:  buffers,
		Metrics: registry,
		Log:     log,
		Ready: func() error {
			if follower.Current() == nil {
				return errNoBundle
			}
			return nil
		},
	})
}

func entryLimits(s settings.Settings) entry.Limits {
	limits := entry.DefaultLimits()
	limits.MaxBody = s.Limits.Body
	limits.MaxHeader = int(s.Limits.Header)
	limits.MaxConnections = s.Limits.Connections
	limits.HeaderTimeout = s.Timeouts.Header
	limits.BodyTimeout = s.Timeouts.Body
	limits.IdleTimeout = s.Timeouts.Idle
	limits.DefaultTimeout = s.Timeouts.Interactive
	limits.MaxTimeout = s.Timeouts.Batch
	return limits
}

// fleetLimit returns the fleet-wide load budget in the bundle, and false if there is no bundle. Each load
// is one weight transfer, so the smaller of the two limits on concurrency applies.
func fleetLimit(b *bundle.Bundle) (budget.Limit, bool) {
	if b == nil {
		return budget.Limit{}, false
	}
	return budget.Limit{
		PerSecond: b.Fleet.LoadsPerSecond,
		AtOnce:    min(b.Fleet.LoadsAtOnce, b.Fleet.TransfersInFlight),
	}, true
}

// Package owner runs attempts on the endpoints of the groups that this VM owns. A VM owns a group, which is
// a set of endpoints, while it holds the group's lease. Only the owner sends work and orders (to load or
// evict an adapter, or to set a role) to the group's endpoints.
//
// The VM that receives a request, its entry VM, submits an attempt to the group's owner and polls it for
// the attempt's events. Package scheduler decides which attempt runs where and which adapters are loaded;
// this package performs those actions and reports their results to the scheduler.
package owner

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/scheduler"
	"github.com/mallowlink/mallowlink/pkg/work"
)

const (
	// sweepInterval is the time between two sweeps of the table of attempts.
	sweepInterval = time.Second
	// noOwnerRetryAfter is the time after which a caller should retry while a group has no owner.
	noOwnerRetryAfter = time.Second
)

// Connector returns clients for endpoints. A client is used for as long as the endpoint's URL stays the
// same.
type Connector interface {
	Engine(spec bundle.Endpoint) endpoint.Engine
	Service(spec bundle.Endpoint) endpoint.Service
}

// Permits is this VM's share of the fleet-wide load budget.
type Permits interface {
	scheduler.LoadPermits
	// Release returns the permit of a load that has ended.
	Release()
}

// Members reports which processes are proven gone, that is, can send no more orders.
// *membership.Registry implements it.
type Members interface {
	Gone(vm, incarnation string) bool
}

// Source provides the configuration bundle in force, or nil if there is none yet.
type Source interface {
	Current() *bundle.Bundle
}

// NewScheduler creates the scheduler of a group.
type NewScheduler func(group bundle.Group, permits scheduler.LoadPermits, rng *rand.Rand) scheduler.Scheduler

// Config holds the identity and the dependencies of an Owner.
type Config struct {
	VM           string
	Incarnation  string
	Leases       lease.View
	Members      Members
	Source       Source
	Table        platform.Table
	Connector    Connector
	Permits      Permits
	Suspects     Suspects
	NewScheduler NewScheduler
	Metrics      metrics.Registry
	Log          logrus.FieldLogger
	// Seed seeds the schedulers' random choices.
	Seed uint64
}

// Owner implements work.Owner and lease.Listener. It is safe for concurrent use.
type Owner struct {
	cfg      Config
	meters   meters
	attempts *attemptTable

	mu      sync.Mutex
	runners map[string]*runner
}

// New returns an Owner that runs no group until LeaseGained is called.
func New(cfg Config) *Owner {
	return &Owner{
		cfg:      cfg,
		meters:   newMeters(cfg.Metrics),
		attempts: newAttemptTable(),
		runners:  map[string]*runner{},
	}
}

// Wake makes the scheduler of every owned group decide again. It is called when load permits have become
// available.
func (o *Owner) Wake() {
	for _, r := range o.sortedRunners() {
		r.step(nil)
	}
}

// Run sweeps the table of attempts until ctx ends, then stops every group.
func (o *Owner) Run(ctx context.Context) {
	clock.Every(ctx, sweepInterval, func(now time.Time) { o.attempts.sweep(now) })
	o.stopAll()
}

func (o *Owner) stopAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for group, r := range o.runners {
		r.stop()
		delete(o.runners, group)
	}
}

// Submit implements work.Owner.
func (o *Owner) Submit(_ context.Context, req *work.Request) error {
	r, err := o.runner(req.Group)
	if err != nil {
		return err
	}
	now := time.Now()
	a, added := o.attempts.add(req, now)
	if !added {
		return resubmitResult(a)
	}
	o.meters.submitted.Inc(1)
	if refusal := r.enqueue(a); refusal != nil {
		a.refuse(now, refusal)
		return refusal
	}
	return nil
}

// resubmitResult returns the result of a second Submit of the same attempt.
func resubmitResult(a *attempt) error {
	if a.state() == stateWithdrawn {
		return result.New(result.Withdrawn, "the attempt was withdrawn before it arrived")
	}
	return nil
}

// runner returns the runner of an owned group, or a NoOwner error.
func (o *Owner) runner(group string) (*runner, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, ok := o.runners[group]
	if !ok {
		return nil, notOwner(group)
	}
	return r, nil
}

func notOwner(group string) *result.Error {
	err := result.New(result.NoOwner, "this VM does not own group "+group)
	err.RetryAfter = noOwnerRetryAfter
	return err
}

// Next implements work.Owner.
func (o *Owner) Next(ctx context.Context, id work.AttemptID, from uint64) ([]work.Event, error) {
	a, ok := o.attempts.get(id)
	if !ok {
		return nil, result.New(result.OwnerLost, "the attempt is not known here")
	}
	a.recordPoll(time.Now())
	ctx, cancel := context.WithTimeout(ctx, work.NextWait)
	defer cancel()
	return a.log.next(ctx, from), nil
}

// Withdraw implements work.Owner.
func (o *Owner) Withdraw(_ context.Context, id work.AttemptID) (result.Outcome, error) {
	now := time.Now()
	a := o.attempts.getOrTombstone(id, now)
	outcome := a.withdraw(now)
	if outcome != result.NotRun {
		return outcome, nil
	}
	a.recordPoll(now)
	a.log.markDelivered()
	if r, err := o.runner(a.req.Group); err == nil {
		r.dequeue(id)
	}
	return outcome, nil
}

// Cancel implements work.Owner.
func (o *Owner) Cancel(_ context.Context, id work.AttemptID) error {
	a, ok := o.attempts.get(id)
	if !ok || !a.req.Idempotent {
		return nil
	}
	abandon(a, time.Now())
	a.log.markDelivered()
	if r, err := o.runner(a.req.Group); err == nil {
		r.dequeue(id)
	}
	return nil
}

// LeaseGained implements lease.Listener. It starts to run the group, in place of a runner from an earlier
// lease.
func (o *Owner) LeaseGained(grant lease.Grant) {
	name, ok := groupOf(grant.Name)
	if !ok {
		return
	}
	current := o.cfg.Source.Current()
	if current == nil {
		return
	}
	group, ok := current.Groups[name]
	if !ok {
		return
	}
	r := newRunner(o, group, grant)
	o.mu.Lock()
	previous := o.runners[name]
	o.runners[name] = r
	o.mu.Unlock()
	if previous != nil {
		previous.stop()
	}
	o.logGroup("group_owned", "gained the lease of the group", name, grant.Fencing)
	r.start()
}

// LeaseLost implements lease.Listener. Queued attempts end as not run, running ones continue. It returns
// once no eviction is in progress.
func (o *Owner) LeaseLost(leaseName string) {
	name, ok := groupOf(leaseName)
	if !ok {
		return
	}
	o.mu.Lock()
	r := o.runners[name]
	delete(o.runners, name)
	o.mu.Unlock()
	if r == nil {
		return
	}
	o.logGroup("group_released", "lost the lease of the group", name, r.grant.Fencing)
	r.stop()
}

func (o *Owner) logGroup(event, message, group string, fencing uint64) {
	o.cfg.Log.WithFields(logrus.Fields{"event": event, "group": group, "fencing": fencing}).Info(message)
}

// BundleChanged applies the endpoints of a new bundle to the groups that this VM owns.
func (o *Owner) BundleChanged(b *bundle.Bundle) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.runners {
		r.setEndpoints(b)
	}
}

// Busy returns the number of attempts that have not ended or whose entry VM may still be waiting for the
// last events.
func (o *Owner) Busy() int { return o.attempts.busy(time.Now()) }

package owner

import (
	"context"
	"math/rand"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/scheduler"
	"github.com/mallowlink/mallowlink/pkg/work"
)

const (
	// firstReportTimeout bounds how long an attempt to resume a stream waits for its endpoint's first load report.
	firstReportTimeout      = 3 * time.Second
	firstReportPollInterval = 10 * time.Millisecond
)

// runner runs one group while this VM holds its lease. It connects the group's scheduler to the endpoints.
type runner struct {
	owner *Owner
	group string
	grant lease.Grant
	// ctx ends when the runner stops.
	ctx    context.Context
	cancel context.CancelFunc
	// evictions counts the evictions in progress.
	evictions sync.WaitGroup

	// mu guards the fields below. It is never held during I/O.
	mu        sync.Mutex
	sched     scheduler.Scheduler
	endpoints map[string]*link
	// loadedAt is when each adapter version was last loaded by this runner.
	loadedAt  map[endpoint.AdapterVersion]time.Time
	wakeTimer *time.Timer
	stopped   bool
	// ready is true once the former owners' pending evictions are known. Until then the group has no
	// endpoints.
	ready bool
}

func newRunner(o *Owner, group bundle.Group, grant lease.Grant) *runner {
	ctx, cancel := context.WithCancel(context.Background())
	rng := rand.New(rand.NewSource(int64(o.cfg.Seed ^ xxhash.Sum64String(group.Name))))
	r := &runner{
		owner:     o,
		group:     group.Name,
		grant:     grant,
		ctx:       ctx,
		cancel:    cancel,
		sched:     o.cfg.NewScheduler(group, o.cfg.Permits, rng),
		endpoints: map[string]*link{},
		loadedAt:  map[endpoint.AdapterVersion]time.Time{},
	}
	r.wakeTimer = time.AfterFunc(time.Hour, func() { r.step(nil) })
	return r
}

// groupOf returns the group whose lease has the given name, and false if the lease is not of a group.
func groupOf(leaseName string) (string, bool) {
	return strings.CutPrefix(leaseName, lease.GroupPrefix)
}

// start takes over the group in the background. The scheduler receives the endpoints and the former owners'
// pending evictions in one step, so that no attempt is dispatched before the evictions are known.
func (r *runner) start() {
	go func() {
		pending := r.pendingEvictions()
		b := r.owner.cfg.Source.Current()
		specs := r.endpointSpecs(b)
		r.step(func(now time.Time) {
			r.ready = true
			r.updateLinks(b)
			r.sched.SetEndpoints(now, specs)
			r.sched.TakenOver(now, r.grant.PreviousProvenGone)
			for _, e := range pending {
				r.sched.AvoidAdapter(e.record.Endpoint, e.record.Adapter)
			}
		})
		r.allowOnceProvenGone(pending)
	}()
}

// hasEndpointIgnoringFencing reports whether an engine of the group does not check fencing numbers.
func (r *runner) hasEndpointIgnoringFencing() bool {
	for _, spec := range r.endpointSpecs(r.owner.cfg.Source.Current()) {
		if !spec.ChecksFencing && !spec.Service {
			return true
		}
	}
	return false
}

// stop stops running the group: queued attempts end as not run, and running ones continue to their end. It
// returns once no eviction is in progress, so that none can arrive after the next owner has started.
func (r *runner) stop() {
	defer r.evictions.Wait()
	r.mu.Lock()
	r.stopped = true
	r.wakeTimer.Stop()
	r.mu.Unlock()
	r.cancel()
	now := time.Now()
	for _, a := range r.owner.attempts.open() {
		if a.req.Group == r.group {
			a.withdraw(now)
		}
	}
}

// holdsLease reports whether this VM still holds the lease under which the runner started, and so may send
// work and orders to the group.
func (r *runner) holdsLease() bool {
	grant, ok := r.owner.cfg.Leases.Held(r.grant.Name)
	return ok && grant.Fencing == r.grant.Fencing
}

// step calls update, if it is not nil, to report something to the scheduler, and performs the actions that
// the scheduler then decides on. It does nothing once the runner has stopped.
func (r *runner) step(update func(now time.Time)) {
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return
	}
	now := time.Now()
	if update != nil {
		update(now)
	}
	started := time.Now()
	actions := r.sched.Decide(now)
	r.owner.meters.decide.UpdateSince(started)
	r.resetWakeTimer(now)
	links := r.linksOf(actions)
	r.mu.Unlock()
	for i, action := range actions {
		r.perform(action, links[i])
	}
}

// resetWakeTimer sets the timer to the scheduler's next deadline. The caller holds r.mu.
func (r *runner) resetWakeTimer(now time.Time) {
	next := r.sched.NextWake()
	if next.IsZero() {
		r.wakeTimer.Stop()
		return
	}
	r.wakeTimer.Reset(max(next.Sub(now), time.Millisecond))
}

// linksOf returns the link of each action's endpoint. The caller holds r.mu.
func (r *runner) linksOf(actions []scheduler.Action) []*link {
	links := make([]*link, len(actions))
	for i, action := range actions {
		links[i] = r.endpoints[action.Endpoint]
	}
	return links
}

func (r *runner) perform(action scheduler.Action, l *link) {
	switch action.Kind {
	case scheduler.Dispatch:
		r.dispatch(action.ID, l)
	case scheduler.Load:
		go r.load(l, action)
	case scheduler.Unload:
		go r.unload(l, action.Adapter)
	case scheduler.SetRole:
		go r.setRole(l, action.Role)
	case scheduler.Refuse:
		if a, ok := r.owner.attempts.get(action.ID); ok {
			a.refuse(time.Now(), action.Err)
		}
	}
}

// enqueue passes an attempt to the scheduler. One that resumes a stream first waits for its endpoint's load
// report, because until then a new owner does not know that the stream's adapter is loaded there.
func (r *runner) enqueue(a *attempt) *result.Error {
	if a.req.Resume != nil && !r.hasReportFrom(a.req.Resume.Endpoint) {
		go r.enqueueAfterReport(a)
		return nil
	}
	return r.enqueueNow(a)
}

// hasReportFrom reports whether this runner has received a load report from the endpoint.
func (r *runner) hasReportFrom(name string) bool {
	r.mu.Lock()
	l := r.endpoints[name]
	r.mu.Unlock()
	return l != nil && l.currentIncarnation() != ""
}

// enqueueAfterReport enqueues the attempt once its endpoint's load report has been received or
// firstReportTimeout has passed.
func (r *runner) enqueueAfterReport(a *attempt) {
	name := a.req.Resume.Endpoint
	for waited := time.Duration(0); waited < firstReportTimeout && !r.hasReportFrom(name); waited += firstReportPollInterval {
		if !clock.Sleep(r.ctx, firstReportPollInterval) {
			return
		}
	}
	refuseOnError(a, r.enqueueNow(a))
}

func (r *runner) enqueueNow(a *attempt) *result.Error {
	item, refusal := r.schedulerItem(a)
	if refusal != nil {
		return refusal
	}
	refusal = notOwner(r.group)
	r.step(func(now time.Time) { refusal = r.sched.Enqueue(now, item) })
	return refusal
}

// requeue queues an attempt again after the endpoint did not run it.
func (r *runner) requeue(a *attempt) {
	refuseOnError(a, r.enqueue(a))
}

// refuseOnError ends the attempt with the refusal, if there is one.
func refuseOnError(a *attempt, refusal *result.Error) {
	if refusal != nil {
		a.refuse(time.Now(), refusal)
	}
}

// schedulerItem returns the scheduler's description of the attempt, or an error if the request is refused as a
// suspect.
func (r *runner) schedulerItem(a *attempt) (scheduler.Item, *result.Error) {
	req := a.req
	item := scheduler.Item{
		ID:         req.ID,
		Account:    req.Account,
		Weight:     req.Weight,
		Class:      req.Class,
		Adapter:    req.Adapter,
		PrefixHash: req.PrefixHash,
		Tokens:     req.Tokens,
		Deadline:   a.deadline,
		Exclude:    req.Exclude,
		Isolated:   req.Isolated,
	}
	if req.Resume != nil {
		item.Endpoint = req.Resume.Endpoint
		return item, nil
	}
	return item, r.checkSuspect(time.Now(), req.Fingerprint, &item)
}

// dequeue removes an attempt that has ended from the scheduler's queue.
func (r *runner) dequeue(id work.AttemptID) {
	r.step(func(now time.Time) { r.sched.Remove(now, id) })
}

// notifyFinished reports to the scheduler that a dispatched attempt has ended. A refused error that is not nil
// means that the endpoint did not run it.
func (r *runner) notifyFinished(id work.AttemptID, used int64, refused error) {
	r.step(func(now time.Time) { r.sched.Finished(now, id, used, refused) })
}

// setEndpoints applies the group's endpoints in the bundle. Before the runner is ready it does nothing:
// start applies the bundle itself.
func (r *runner) setEndpoints(b *bundle.Bundle) {
	specs := r.endpointSpecs(b)
	r.step(func(now time.Time) {
		if !r.ready {
			return
		}
		r.updateLinks(b)
		r.sched.SetEndpoints(now, specs)
	})
}

func (r *runner) endpointSpecs(b *bundle.Bundle) []scheduler.EndpointSpec {
	kind := b.Groups[r.group].Kind
	var specs []scheduler.EndpointSpec
	for _, e := range b.EndpointsOf(r.group) {
		specs = append(specs, scheduler.EndpointSpec{
			Name:          e.Name,
			Slots:         e.Slots,
			MaxRunning:    e.MaxRunning,
			Service:       kind == bundle.KindService,
			ChecksFencing: e.ChecksFencing,
			Leaving:       e.Leaving,
		})
	}
	return specs
}

// updateLinks creates links to new endpoints and closes those to endpoints that were removed or have another URL.
// The caller holds r.mu.
func (r *runner) updateLinks(b *bundle.Bundle) {
	kept := map[string]*link{}
	for _, e := range b.EndpointsOf(r.group) {
		l, ok := r.endpoints[e.Name]
		if !ok || l.spec.URL != e.URL {
			l = r.newLink(e, b.Groups[r.group].Kind)
		}
		kept[e.Name] = l
	}
	for name, l := range r.endpoints {
		if kept[name] != l {
			l.cancel()
		}
	}
	r.endpoints = kept
}

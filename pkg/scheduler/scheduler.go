package scheduler

import (
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/work"
)

// scheduler implements Scheduler.
type scheduler struct {
	cfg     Config
	rng     *rand.Rand
	permits LoadPermits

	seq          uint64
	requests     map[work.AttemptID]*request
	freeRequests *request
	accounts     map[string]*account
	adapters     map[endpoint.AdapterVersion]*adapter
	endpoints    []*endpointView
	// waitingAdapters lists the adapters with queued items.
	waitingAdapters []*adapter
	queuedItems     int
	// virtualTime is, for each class, the highest virtual token count that an account had when one of
	// its items was dispatched.
	virtualTime [classCount]float64
	deadlines   deadlineHeap
	// newRequests lists the requests enqueued since the last Decide.
	newRequests []*request
	actions     []Action

	// pendingLoads holds the lanes that need their adapter loaded, by rank. The lanes of the adapters
	// in recheck may need it too and have yet to be checked.
	pendingLoads [rankCount]loadHeap
	recheck      []*adapter
	// batchLoadCredit is the fraction of a load that waiting batch items have earned.
	batchLoadCredit float64
	// totalWeight is the sum of the weights of all accounts. tokenRate measures the tokens enqueued.
	totalWeight float64
	tokenRate   meter
	loadBudget  saturation
	// loadsDue is set when an event may have made a load possible. No permit is requested before
	// nextPermitAt. nextLoadAt is when a load becomes due without any event.
	loadsDue     bool
	nextPermitAt time.Time
	nextLoadAt   time.Time
	// noEndpointSince is when the last usable endpoint was lost, or zero while there is one.
	noEndpointSince time.Time
}

// New returns a Scheduler for a group without endpoints.
func New(cfg Config, rng *rand.Rand, permits LoadPermits) Scheduler {
	cfg = cfg.withDefaults()
	return &scheduler{
		cfg:        cfg,
		tokenRate:  meter{halfLife: cfg.ShareMemory},
		loadBudget: saturation{loads: meter{halfLife: cfg.ShareMemory}},
		rng:        rng,
		permits:    permits,
		requests:   map[work.AttemptID]*request{},
		accounts:   map[string]*account{},
		adapters:   map[endpoint.AdapterVersion]*adapter{},
	}
}

// noAdapter is the adapter version of requests to plain services.
var noAdapter endpoint.AdapterVersion

// Enqueue implements Scheduler.
func (s *scheduler) Enqueue(now time.Time, item Item) *result.Error {
	if s.requests[item.ID] != nil {
		return nil
	}
	if item.Weight <= 0 {
		item.Weight = 1
	}
	a := s.account(item.Account)
	s.totalWeight += item.Weight - a.weight
	a.weight = item.Weight
	ad := s.adapter(item.Adapter)
	if err := s.admit(now, a, ad, &item); err != nil {
		s.dropIfUnused(ad)
		return err
	}
	r := s.newRequest()
	r.Item, r.class, r.enqueued = item, classIndex(item.Class), now
	s.seq++
	r.seq = s.seq
	s.requests[item.ID] = r
	s.tagArrival(now, a, r)
	s.enqueueFair(a, r)
	s.enqueueAdapter(now, a, ad, r)
	s.deadlines.add(r)
	s.newRequests = append(s.newRequests, r)
	return nil
}

// admit returns an error if item must be refused at once, or nil.
func (s *scheduler) admit(now time.Time, a *account, ad *adapter, item *Item) *result.Error {
	if !item.Deadline.IsZero() && !item.Deadline.After(now) {
		return refusal(result.DeadlineTooNear, "the deadline has passed in the queue", 0)
	}
	if now.Before(ad.brokenUntil) {
		return refusal(result.LoadFailed, "loads of the adapter fail", ad.brokenUntil.Sub(now))
	}
	if a.queued() >= s.cfg.AccountQueueLimit {
		return refusal(result.QueueFull, "the client account's queue is full", s.retryAfter(now))
	}
	if s.queuedItems >= s.cfg.QueueLimit && !s.displace(a) {
		return refusal(result.QueueFull, "the group's queue is full", s.retryAfter(now))
	}
	return nil
}

// queueFullRetry is the delay after which a caller refused because of a full queue should retry.
const queueFullRetry = time.Second

// displace makes room for an item of a by refusing the newest item of the account with the most
// queued items. It reports false, and refuses nothing, if no account has more queued items than a.
func (s *scheduler) displace(a *account) bool {
	longest := a
	for _, other := range s.accounts {
		if other.queued() > longest.queued() || other.queued() == longest.queued() && other.name < longest.name && longest != a {
			longest = other
		}
	}
	if longest == a {
		return false
	}
	var newest *request
	for _, ad := range s.waitingAdapters {
		for _, l := range ad.lanes {
			if l.account == longest && (newest == nil || l.tail.seq > newest.seq) {
				newest = l.tail
			}
		}
	}
	s.refuse(newest, refusal(result.QueueFull, "the group's queue is full", queueFullRetry))
	return true
}

func refusal(code result.Code, detail string, retryAfter time.Duration) *result.Error {
	return &result.Error{Code: code, Outcome: result.NotRun, Detail: detail, RetryAfter: retryAfter}
}

func (s *scheduler) account(name string) *account {
	a := s.accounts[name]
	if a == nil {
		a = &account{name: name}
		s.accounts[name] = a
	}
	return a
}

func (s *scheduler) adapter(version endpoint.AdapterVersion) *adapter {
	a := s.adapters[version]
	if a == nil {
		a = &adapter{version: version, waitingIndex: -1}
		s.adapters[version] = a
	}
	return a
}

// dropIfUnused deletes an adapter that has no request rate, load failures, queued items or
// placements.
func (s *scheduler) dropIfUnused(a *adapter) {
	if a.rate == 0 && a.failures == 0 && a.queued() == 0 && len(a.placements) == 0 {
		delete(s.adapters, a.version)
	}
}

// enqueueAdapter appends r to its lane and counts it in the request rate of the adapter.
func (s *scheduler) enqueueAdapter(now time.Time, a *account, ad *adapter, r *request) {
	ad.recordRequest(now, s.cfg.RateHalfLife, requestWeight[r.class])
	l := ad.lane(a, r)
	l.push(r)
	ad.waiting[r.class]++
	if ad.waitingIndex < 0 {
		ad.waitingIndex = len(s.waitingAdapters)
		s.waitingAdapters = append(s.waitingAdapters, ad)
	}
}

// lane returns the lane that r belongs to and creates it if there is none.
func (a *adapter) lane(owner *account, r *request) *lane {
	if !r.constrained() {
		for _, l := range a.lanes {
			if l.account == owner && l.class == r.class && !l.constrained {
				return l
			}
		}
	}
	l := &lane{account: owner, class: r.class, adapter: a, constrained: r.constrained(), loadIndex: -1}
	a.lanes = append(a.lanes, l)
	return l
}

// dequeue removes r from every queue.
func (s *scheduler) dequeue(r *request) {
	l := r.lane
	ad := l.adapter
	l.remove(r)
	if l.size == 0 {
		s.dropPendingLoad(l)
		i := slices.Index(ad.lanes, l)
		ad.lanes = slices.Delete(ad.lanes, i, i+1)
	}
	ad.waiting[r.class]--
	if ad.queued() == 0 {
		s.dropWaitingAdapter(ad)
	}
	s.deadlines.drop(r)
	s.dequeueFair(l.account, r)
}

func (s *scheduler) dropWaitingAdapter(ad *adapter) {
	last := s.waitingAdapters[len(s.waitingAdapters)-1]
	s.waitingAdapters[ad.waitingIndex] = last
	last.waitingIndex = ad.waitingIndex
	s.waitingAdapters[len(s.waitingAdapters)-1] = nil
	s.waitingAdapters = s.waitingAdapters[:len(s.waitingAdapters)-1]
	ad.waitingIndex = -1
}

// refuse removes the queued request r and reports err as its result.
func (s *scheduler) refuse(r *request, err *result.Error) {
	s.dequeue(r)
	s.actions = append(s.actions, Action{Kind: Refuse, ID: r.ID, Err: err})
	s.release(r)
}

func (s *scheduler) newRequest() *request {
	r := s.freeRequests
	if r == nil {
		return &request{}
	}
	s.freeRequests = r.next
	*r = request{}
	return r
}

// release deletes r, which is neither queued nor running, and keeps its memory for reuse.
func (s *scheduler) release(r *request) {
	delete(s.requests, r.ID)
	*r = request{next: s.freeRequests}
	s.freeRequests = r
}

// Remove implements Scheduler.
func (s *scheduler) Remove(_ time.Time, id work.AttemptID) bool {
	r := s.requests[id]
	if r == nil || r.lane == nil {
		return false
	}
	s.dequeue(r)
	s.release(r)
	return true
}

// Finished implements Scheduler.
func (s *scheduler) Finished(now time.Time, id work.AttemptID, used int64, refused error) {
	r := s.requests[id]
	if r == nil || r.lane != nil {
		return
	}
	e, p := r.runsOn, r.placement
	s.adjustTokens(s.account(r.Account), r, used)
	e.finish(now, r)
	if r.Isolated {
		s.recheckEndpoint(e)
	}
	if p != nil {
		p.running--
		p.lastUsed = now
	}
	if refused != nil {
		s.handleRefusal(now, e, p, refused)
	}
	s.release(r)
	e.mayHaveRoom = true
	s.loadsDue = true
}

// SetEndpoints implements Scheduler.
func (s *scheduler) SetEndpoints(now time.Time, specs []EndpointSpec) {
	kept := make([]*endpointView, 0, len(specs))
	for _, spec := range specs {
		if spec.MaxRunning <= 0 {
			spec.MaxRunning = unboundedRunning
		}
		e := s.endpoint(spec.Name)
		if e == nil {
			e = newEndpointView()
		}
		e.spec = spec
		s.syncState(e)
		s.recheckEndpoint(e)
		kept = append(kept, e)
	}
	for _, e := range s.endpoints {
		if !slices.Contains(kept, e) {
			s.clearView(now, e)
			e.state = endpointLeaving
		}
	}
	slices.SortFunc(kept, func(a, b *endpointView) int { return strings.Compare(a.spec.Name, b.spec.Name) })
	s.endpoints = kept
	s.loadsDue = true
}

// unboundedRunning is used as MaxRunning for an endpoint whose description does not limit its running
// requests.
const unboundedRunning = 1 << 20

func newEndpointView() *endpointView {
	return &endpointView{
		state:      endpointChart.Initial,
		openOrders: map[endpoint.AdapterVersion]int{},
		avoided:    map[endpoint.AdapterVersion]bool{},
		prefixes:   prefixView{},
		removedAt:  map[endpoint.AdapterVersion]time.Time{},
	}
}

func (s *scheduler) endpoint(name string) *endpointView {
	for _, e := range s.endpoints {
		if e.spec.Name == name {
			return e
		}
	}
	return nil
}

// NextWake implements Scheduler.
func (s *scheduler) NextWake() time.Time {
	var wake time.Time
	if len(s.deadlines) > 0 {
		wake = s.deadlines[0].Deadline
	}
	if s.queuedItems > 0 {
		wake = earliest(wake, s.nextLoadAt)
		if !s.noEndpointSince.IsZero() {
			wake = earliest(wake, s.noEndpointSince.Add(s.cfg.EndpointGrace))
		}
	}
	for _, e := range s.endpoints {
		if e.state == endpointDown && e.spec.Service {
			wake = earliest(wake, e.downUntil)
		}
	}
	return wake
}

// earliest returns the earlier of two times. The zero time means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

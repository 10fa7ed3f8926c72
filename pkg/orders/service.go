package orders

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/placement"
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// LeasePrefix is the prefix of the names of engine leases. The number of a share of the engines follows.
const LeasePrefix = "engines/"

// LeaseCount is the number of leases among which the engines are divided. It is a few times the number of VMs
// that should own engines, so that each of them gets about the same number.
const LeaseCount = 32

// LeaseNames returns the names of all engine leases.
func LeaseNames() []string {
	names := make([]string, LeaseCount)
	for i := range names {
		names[i] = leaseName(i)
	}
	return names
}

func leaseName(share int) string { return fmt.Sprintf("%s%02d", LeasePrefix, share) }

// LeaseOf returns the name of the lease whose holder owns the engine.
func LeaseOf(endpoint string) string {
	return leaseName(int(xxhash.Sum64String(endpoint) % LeaseCount))
}

// EngineSpec describes the engines of an endpoint group.
type EngineSpec struct {
	// AdapterSlots is the number of adapters that an engine can hold at once.
	AdapterSlots int
	// RequestSlots is the number of requests that an engine can run at once.
	RequestSlots int
	// CacheTokens is the size of an engine's prompt cache, in tokens.
	CacheTokens int
	// Model is the base model, and ModelLoad the time that it takes to load.
	Model     string
	ModelLoad time.Duration
}

// Config configures a Service.
type Config struct {
	// Self is the identifier of this VM.
	Self    string
	Leases  Leases
	Engines engine.Engines
	Roster  *roster.Roster
	// EngineSpec describes the engines of a group. It returns false for groups that have no engines.
	Spec func(group string) (EngineSpec, bool)
	// Newest returns the newest version of an adapter that the operator has declared, or 0 if there is none.
	Newest func(residency.Key) int
	// Address returns the address at which a VM takes calls from other VMs, or false if it is not known.
	Address    func(vm string) (string, bool)
	PeerClient peer.Client
	// MinOrderGap is the minimum time between two orders of this VM to an engine if another VM owned the engine in
	// between. Started is when this process started; an earlier process of this VM may have sent orders until then.
	MinOrderGap time.Duration
	Started     time.Time
	// Placement selects how the time to the first token is estimated.
	Placement placement.Mode
	Metrics   metrics.Registry
	Log       logrus.FieldLogger
}

// Leases looks up the leases under which orders are sent. *lease.Manager implements it.
type Leases interface {
	lease.View
	// Callable returns the grant if this VM holds the lease, and the time by which an order that is sent now must have ended.
	Callable(name string) (lease.Grant, time.Time, bool)
	// Settling reports whether this VM has given the lease up and no other VM can hold it before its orders are settled.
	Settling(name string) bool
}

type meters struct {
	orders metrics.Counter
}

// Service sends orders to the engines that this VM owns, and grants permits for them. It implements
// lease.Listener.
type Service struct {
	cfg    Config
	meters meters
	ctx    context.Context
	// unsettled are the orders that may still arrive at engines.
	unsettled *unsettledOrders

	mu sync.Mutex
	// The fields below are guarded by mu.

	workers map[roster.Incarnation]*worker
	// leases maps each engine lease held by this VM to the time from which orders may be sent under it.
	leases map[string]time.Time
	// lostAt maps each engine lease that this VM has held to the time at which it was lost.
	lostAt map[string]time.Time
	// previousOwners maps each engine lease held by this VM to the VM that held it before.
	previousOwners map[string]string
	// settling contains the engine leases that this VM has given up while orders under them may still arrive. Their workers
	// send no orders, but grant permits for adapters that the engines hold.
	settling map[string]bool
	// retired contains the workers of engines that this VM owned until recently.
	retired map[roster.Incarnation]*worker
	// speeds are the mean speeds of the engines of each group, as far as this VM owns them.
	speeds map[string]*placement.GroupSpeed
	// spareLists are the last choices of the least loaded engines.
	spareLists map[spareKey]spareList
}

// NewService returns a service that holds no leases. Its workers run until ctx is cancelled.
func NewService(ctx context.Context, cfg Config) *Service {
	return &Service{
		cfg: cfg, ctx: ctx, unsettled: newUnsettledOrders(cfg.MinOrderGap + orderGapMargin), settling: map[string]bool{},
		meters:  meters{orders: metrics.GetOrRegisterCounter("orders.given", cfg.Metrics)},
		workers: map[roster.Incarnation]*worker{}, leases: map[string]time.Time{}, lostAt: map[string]time.Time{},
		previousOwners: map[string]string{}, retired: map[roster.Incarnation]*worker{},
		speeds: map[string]*placement.GroupSpeed{}, spareLists: map[spareKey]spareList{},
	}
}

// LeaseGained implements lease.Listener.
func (s *Service) LeaseGained(grant lease.Grant) {
	s.mu.Lock()
	s.stopSettling(grant.Name)
	s.leases[grant.Name] = s.earliestOrder(grant)
	delete(s.previousOwners, grant.Name)
	if len(grant.Recent) > 0 && grant.Recent[0] != s.cfg.Self {
		s.previousOwners[grant.Name] = grant.Recent[0]
	}
	s.mu.Unlock()
	s.Refresh()
}

// orderGapMargin is added to the configured minimum gap between orders, to allow for orders that are still on
// their way to the engine.
const orderGapMargin = 100 * time.Millisecond

// earliestOrder returns the time from which this VM may send orders under a lease that it has gained: when orders of earlier
// holders, this VM among them, cannot arrive any more. If this VM may have held the lease earlier and another VM in between,
// there must be a minimum gap between its old orders and its new ones. s.mu must be held.
func (s *Service) earliestOrder(grant lease.Grant) time.Time {
	arrived := s.unsettled.lastArrival(grant.Name)
	earliest := later(grant.EarlierCallsUntil, arrived)
	last, held := s.lostAt[grant.Name]
	if !held {
		last, held = s.cfg.Started.Add(lease.CallsEndAfter(s.cfg.MinOrderGap)), grant.HistoryLost || slices.Contains(grant.Recent, s.cfg.Self)
	}
	inBetween := grant.Unrecorded || len(grant.Recent) > 0 && grant.Recent[0] != s.cfg.Self
	if !held || !inBetween {
		return earliest
	}
	return later(earliest, later(last, arrived).Add(s.cfg.MinOrderGap+orderGapMargin))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// LeaseLost implements lease.Listener.
func (s *Service) LeaseLost(name string) {
	settled := s.unsettled.settled(name)
	settling := settled != nil && s.cfg.Leases.Settling(name)
	s.mu.Lock()
	if _, held := s.leases[name]; held {
		s.lostAt[name] = time.Now()
	}
	delete(s.leases, name)
	if settling {
		s.settling[name] = true
		// Listeners must not block: other leases would wait.
		go func() {
			<-settled
			s.mu.Lock()
			s.stopSettling(name)
			s.mu.Unlock()
			s.Refresh()
		}()
	}
	s.mu.Unlock()
	s.Refresh()
}

// stopSettling stops the workers of a lease that this VM has given up. s.mu must be held.
func (s *Service) stopSettling(name string) {
	if !s.settling[name] {
		return
	}
	delete(s.settling, name)
	for id, w := range s.workers {
		if w.lease == name {
			s.stopWorker(id, w)
		}
	}
}

// stopWorker stops the worker of an engine and keeps its state for the engine's next owner. s.mu must be held.
func (s *Service) stopWorker(id roster.Incarnation, w *worker) {
	w.cancel()
	delete(s.workers, id)
	s.retire(id, w)
}

// Settled returns a channel that is closed once the orders given so far under the lease cannot arrive any more; nil if they
// cannot now.
func (s *Service) Settled(name string) <-chan struct{} { return s.unsettled.settled(name) }

// OrdersFor returns how long orders of this VM may still arrive at engines, 0 if none can.
func (s *Service) OrdersFor() time.Duration { return s.unsettled.left(time.Now()) }

// Refresh starts workers for the engines that this VM now owns according to its leases and the roster, and
// stops the workers of all others.
func (s *Service) Refresh() {
	view := s.cfg.Roster.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweepSpares()
	for id, w := range s.workers {
		e, ok := view.Endpoint(id.ID)
		if !ok || e.Incarnation != id || !s.holdsLease(w.lease) && !s.settling[w.lease] {
			s.stopWorker(id, w)
			continue
		}
		w.settling.Store(s.settling[w.lease])
		// The failure domain of the engine may be evacuated or restored.
		w.signal()
	}
	for _, e := range view.All() {
		name := LeaseOf(e.ID)
		if s.workers[e.Incarnation] != nil || !s.holdsLease(name) {
			continue
		}
		spec, ok := s.cfg.Spec(e.Group)
		if !ok {
			continue
		}
		s.startWorker(e, name, spec)
	}
}

// holdsLease reports whether this VM holds the lease according to the last lease event. s.mu must be held.
func (s *Service) holdsLease(name string) bool {
	_, ok := s.leases[name]
	return ok
}

// startWorker starts the worker of an engine. s.mu must be held.
func (s *Service) startWorker(e roster.Endpoint, leaseName string, spec EngineSpec) {
	w := newWorker(s, e, leaseName, spec)
	w.ordersFrom = s.leases[leaseName]
	w.previousOwner = s.previousOwners[leaseName]
	ctx, cancel := context.WithCancel(s.ctx)
	w.cancel = cancel
	s.workers[e.Incarnation] = w
	go w.run(ctx)
	s.cfg.Log.WithFields(logrus.Fields{"event": "engine_taken", "endpoint": e.ID, "lease": leaseName}).Info("started sending orders to the engine")
}

// newLoad returns the load of an engine that this VM has come to own. s.mu must be held.
func (s *Service) newLoad(group string, spec EngineSpec) placement.Load {
	if s.cfg.Placement != placement.Cost {
		return placement.NewLoad(spec.RequestSlots, spec.CacheTokens)
	}
	if s.speeds[group] == nil {
		s.speeds[group] = placement.NewGroupSpeed()
	}
	return placement.NewCostLoad(spec.RequestSlots, spec.CacheTokens, s.speeds[group])
}

func (s *Service) worker(id roster.Incarnation) *worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[id]
}

// Acquire grants a permit for a request on an engine that this VM owns. It is an RPC method.
func (s *Service) Acquire(args *AcquireArgs, reply *AcquireReply) error {
	s.applyUpdates(args.Incarnation, args.Ended)
	w := s.worker(roster.Incarnation{ID: args.Endpoint, Started: args.Started})
	if w == nil {
		*reply = AcquireReply{Status: NotOwner}
		return nil
	}
	if _, held := s.cfg.Leases.Held(w.lease); !held && !(w.settling.Load() && s.cfg.Leases.Settling(w.lease)) {
		*reply = AcquireReply{Status: NotOwner}
		return nil
	}
	*reply = w.acquire(s.ctx, args)
	reply.Owner = s.cfg.Self
	if reply.Status == Offered && !args.Prefetch && s.cfg.Placement == placement.Cost {
		reply.Spares = s.spares(w, args, time.Now())
	}
	return nil
}

// Report applies updates to permits. It is an RPC method.
func (s *Service) Report(args *ReportArgs, _ *ReportReply) error {
	s.applyUpdates(args.Incarnation, args.Notices)
	return nil
}

func (s *Service) applyUpdates(incarnation string, updates []PermitUpdate) {
	if len(updates) == 0 {
		return
	}
	s.mu.Lock()
	workers := make([]*worker, 0, len(s.workers))
	for _, w := range s.workers {
		workers = append(workers, w)
	}
	s.mu.Unlock()
	now := time.Now()
	for _, update := range updates {
		known := slices.ContainsFunc(workers, func(w *worker) bool { return w.applyUpdate(incarnation, update) })
		if known || !update.Ended {
			continue
		}
		for _, w := range workers {
			w.cancelPermit(placement.PermitKey{Incarnation: incarnation, Permit: update.Permit}, now)
		}
	}
}

// retirementPeriod is how long the state of an engine is kept for its next owner after this VM has lost it.
const retirementPeriod = 10 * time.Second

// retire keeps the worker of an engine that this VM no longer owns. s.mu must be held.
func (s *Service) retire(id roster.Incarnation, w *worker) {
	s.retired[id] = w
	time.AfterFunc(retirementPeriod, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.retired[id] == w {
			delete(s.retired, id)
		}
	})
}

// Tell returns what this VM knows of an engine that it owns, or owned until recently. The engine's next owner
// calls it as an RPC method.
func (s *Service) Tell(args *HandoverArgs, reply *HandoverReply) error {
	s.mu.Lock()
	id := roster.Incarnation{ID: args.Endpoint, Started: args.Started}
	w := s.workers[id]
	if w == nil {
		w = s.retired[id]
	}
	s.mu.Unlock()
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	reply.Known = w.planner.Synced()
	reply.Habits = w.planner.Handover(time.Now())
	return nil
}

// EngineState is the state of an engine as its owner knows it.
type EngineState struct {
	Endpoint string `json:"endpoint"`
	Started  int64  `json:"started"`
	Lease    string `json:"lease"`
	Ready    bool   `json:"ready"`
	Down     bool   `json:"down"`
	// Evacuated says that the engine gets no orders because its failure domain is evacuated.
	Evacuated bool `json:"evacuated"`
	// Settling says that this VM has given the engine up and sends no orders, but orders may still arrive. Unsettled is their number.
	Settling  bool `json:"settling"`
	Unsettled int  `json:"unsettled"`
	// Held, InUse, Loading and Wanted count adapters: those held by the engine, those in use by requests,
	// those being loaded, and those that requests are waiting for.
	Held    int `json:"held"`
	InUse   int `json:"in_use"`
	Loading int `json:"loading"`
	Wanted  int `json:"wanted"`
	// LoadTime is the expected time of a cold load, and TokenTime that of processing one prompt token.
	LoadTime  string `json:"load_time"`
	TokenTime string `json:"token_time"`
	// Requests is the number of permits in force, and Unread the number of prompt tokens yet to be processed
	// for them.
	Requests int `json:"requests"`
	Unread   int `json:"unread"`
}

// State returns the state of the engines that this VM owns, sorted by endpoint.
func (s *Service) State() []EngineState {
	s.mu.Lock()
	workers := slices.Collect(maps.Values(s.workers))
	s.mu.Unlock()
	states := make([]EngineState, 0, len(workers))
	for _, w := range workers {
		states = append(states, w.state())
	}
	slices.SortFunc(states, func(a, b EngineState) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return states
}

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
	"github.com/mallowlink/mallowlink/pkg/residency"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// LeasePrefix precedes the number of a share of the engines.
const LeasePrefix = "engines/"

// Shares is the number of leases among which the engines are divided. It is a few times the number of
// VMs that should give orders, so that they get about equal parts.
const Shares = 32

// LeaseNames returns the names of all leases on engines.
func LeaseNames() []string {
	names := make([]string, Shares)
	for i := range names {
		names[i] = leaseName(i)
	}
	return names
}

func leaseName(share int) string { return fmt.Sprintf("%s%02d", LeasePrefix, share) }

// LeaseOf returns the name of the lease that gives the right to order an engine.
func LeaseOf(endpoint string) string {
	return leaseName(int(xxhash.Sum64String(endpoint) % Shares))
}

// Spec is what is known of the engines of a group.
type Spec struct {
	// Places is the number of adapters that an engine holds at once.
	Places int
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is an engine's memory for prompts, in tokens.
	CacheTokens int
	// Model is the base model, ModelLoad the time that it takes to load.
	Model     string
	ModelLoad time.Duration
}

// Config holds what the service works with.
type Config struct {
	// Self identifies this VM.
	Self    string
	Leases  lease.Lessor
	Engines engine.Engines
	Roster  *roster.Roster
	// Spec returns what is known of a group's engines, false if it has none.
	Spec func(group string) (Spec, bool)
	// Newest returns the newest version of an adapter that the operator has declared; 0 if none.
	Newest func(residency.Key) int
	// Address returns where a VM takes calls, false if it is not known.
	Address func(vm string) (string, bool)
	Caller  peer.Caller
	// Turns is the least time between two orders of this VM to an engine that another VM has ordered in
	// between. Started is when the process started: it does not know of orders before that.
	Turns   time.Duration
	Started time.Time
	Metrics metrics.Registry
	Log     logrus.FieldLogger
}

type meters struct {
	orders metrics.Counter
}

// Service gives orders to the engines whose leases this VM holds. It implements lease.Listener.
type Service struct {
	cfg    Config
	meters meters
	ctx    context.Context

	mu sync.Mutex
	// The fields below are guarded by mu.

	workers map[roster.Incarnation]*worker
	// leases maps the leases that this VM holds to when it may give orders under them.
	leases map[string]time.Time
	// lostAt maps the leases that this VM has held to when it lost them.
	lostAt map[string]time.Time
	// previousOwners maps the leases that this VM holds to the VM that held them before.
	previousOwners map[string]string
	// retired are the workers of engines that another VM orders now.
	retired map[roster.Incarnation]*worker
}

// NewService returns a service without leases. ctx ends its work.
func NewService(ctx context.Context, cfg Config) *Service {
	return &Service{
		cfg: cfg, ctx: ctx,
		meters:  meters{orders: metrics.GetOrRegisterCounter("orders.given", cfg.Metrics)},
		workers: map[roster.Incarnation]*worker{}, leases: map[string]time.Time{}, lostAt: map[string]time.Time{},
		previousOwners: map[string]string{}, retired: map[roster.Incarnation]*worker{},
	}
}

// LeaseGained implements lease.Listener.
func (s *Service) LeaseGained(grant lease.Grant) {
	s.mu.Lock()
	s.leases[grant.Name] = s.earliestOrder(grant)
	delete(s.previousOwners, grant.Name)
	if len(grant.Recent) > 0 && grant.Recent[0] != s.cfg.Self {
		s.previousOwners[grant.Name] = grant.Recent[0]
	}
	s.mu.Unlock()
	s.Refresh()
}

// orderGapMargin is added to the time between turns, for orders that are under way.
const orderGapMargin = 100 * time.Millisecond

// earliestOrder returns when this VM may give orders under a lease that it has gained. If it has held the lease
// before and another VM in between, its orders must be apart. s.mu is held.
func (s *Service) earliestOrder(grant lease.Grant) time.Time {
	if len(grant.Recent) == 0 || grant.Recent[0] == s.cfg.Self || !slices.Contains(grant.Recent, s.cfg.Self) {
		return time.Time{}
	}
	last, ok := s.lostAt[grant.Name]
	if !ok {
		last = s.cfg.Started
	}
	return last.Add(s.cfg.Turns + orderGapMargin)
}

// LeaseLost implements lease.Listener.
func (s *Service) LeaseLost(name string) {
	s.mu.Lock()
	if _, held := s.leases[name]; held {
		s.lostAt[name] = time.Now()
	}
	delete(s.leases, name)
	s.mu.Unlock()
	s.Refresh()
}

// Refresh starts work for the engines that this VM is to order by its leases and the roster, and ends
// it for the others.
func (s *Service) Refresh() {
	view := s.cfg.Roster.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, w := range s.workers {
		e, ok := view.Endpoint(id.ID)
		if !ok || e.Incarnation != id || !s.holdsLease(w.lease) {
			w.cancel()
			delete(s.workers, id)
			s.retire(id, w)
		}
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

// holdsLease reports whether this VM holds the lease, by its last event. s.mu is held.
func (s *Service) holdsLease(name string) bool {
	_, ok := s.leases[name]
	return ok
}

// startWorker starts work for an engine. s.mu is held.
func (s *Service) startWorker(e roster.Endpoint, leaseName string, spec Spec) {
	w := newWorker(s, e, leaseName, spec)
	w.ordersFrom = s.leases[leaseName]
	w.previousOwner = s.previousOwners[leaseName]
	ctx, cancel := context.WithCancel(s.ctx)
	w.cancel = cancel
	s.workers[e.Incarnation] = w
	go w.run(ctx)
	s.cfg.Log.WithFields(logrus.Fields{"event": "engine_taken", "endpoint": e.ID, "lease": leaseName}).Info()
}

func (s *Service) worker(id roster.Incarnation) *worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[id]
}

// Acquire lets a request through to an engine.
func (s *Service) Acquire(args *AcquireArgs, reply *AcquireReply) error {
	s.applyUpdates(args.Incarnation, args.Ended)
	w := s.worker(roster.Incarnation{ID: args.Endpoint, Started: args.Started})
	if w == nil {
		*reply = AcquireReply{Status: NotOwner}
		return nil
	}
	if _, held := s.cfg.Leases.Held(w.lease); !held {
		*reply = AcquireReply{Status: NotOwner}
		return nil
	}
	*reply = w.acquire(s.ctx, args)
	reply.Owner = s.cfg.Self
	return nil
}

// Report takes in notices.
func (s *Service) Report(args *ReportArgs, _ *ReportReply) error {
	s.applyUpdates(args.Incarnation, args.Notices)
	return nil
}

func (s *Service) applyUpdates(incarnation string, notices []Notice) {
	if len(notices) == 0 {
		return
	}
	s.mu.Lock()
	workers := make([]*worker, 0, len(s.workers))
	for _, w := range s.workers {
		workers = append(workers, w)
	}
	s.mu.Unlock()
	now := time.Now()
	for _, n := range notices {
		known := slices.ContainsFunc(workers, func(w *worker) bool { return w.applyUpdate(incarnation, n) })
		if known || !n.Ended {
			continue
		}
		for _, w := range workers {
			w.cancelPermit(permitKey{incarnation, n.Permit}, now)
		}
	}
}

// retirementPeriod is how long what is known of an engine is kept for the VM that orders it next.
const retirementPeriod = 10 * time.Second

// retire keeps the worker of an engine that this VM no longer orders. s.mu is held.
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

// Tell tells the VM that orders an engine now what this one knows of it.
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

// EngineState is what a VM knows of an engine that it gives orders to.
type EngineState struct {
	Endpoint string `json:"endpoint"`
	Started  int64  `json:"started"`
	Lease    string `json:"lease"`
	Ready    bool   `json:"ready"`
	Down     bool   `json:"down"`
	// Held, InUse, Loading and Wanted count adapters.
	Held    int `json:"held"`
	InUse   int `json:"in_use"`
	Loading int `json:"loading"`
	Wanted  int `json:"wanted"`
	// LoadTime is the time that a load takes, TokenTime that of a token of a prompt.
	LoadTime  string `json:"load_time"`
	TokenTime string `json:"token_time"`
	// Requests are those that were let through, Unread the tokens of their prompts that are to be read.
	Requests int `json:"requests"`
	Unread   int `json:"unread"`
}

// State returns what this VM knows of the engines that it gives orders to, by endpoint.
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

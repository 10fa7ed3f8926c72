package gatewayd

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/allowance"
	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/dispatch"
	"github.com/mallowlink/mallowlink/pkg/dispatch/software"
	"github.com/mallowlink/mallowlink/pkg/eventlog"
	"github.com/mallowlink/mallowlink/pkg/follow"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/memory"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/ratelimit"
	"github.com/mallowlink/mallowlink/pkg/relay"
	"github.com/mallowlink/mallowlink/pkg/retry"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/suspect"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// identity identifies this process: the VM and the incarnation of the process on it.
type identity struct {
	vm          string
	incarnation string
	started     time.Time
}

func newIdentity(s Settings) (identity, error) {
	if err := clock.Check(); err != nil {
		return identity{}, err
	}
	now := time.Now()
	return identity{vm: s.VM, incarnation: membership.NewIncarnation(now), started: now}, nil
}

// newLog returns the log, and a logger that adds the VM to each line.
func newLog(s Settings, out io.Writer, registry metrics.Registry) (*eventlog.Log, logrus.FieldLogger, error) {
	level := logrus.InfoLevel
	if s.LogLevel != "" {
		var err error
		if level, err = logrus.ParseLevel(s.LogLevel); err != nil {
			return nil, nil, errors.Wrap(err, "parse log level")
		}
	}
	log := eventlog.New(out, eventlog.Options{Level: level, Metrics: registry})
	return log, log.WithField("vm", s.VM), nil
}

func newPlatform(s Settings, connect Connect, registry metrics.Registry, log logrus.FieldLogger) Platform {
	return connect(s, registry, log)
}

// background is the context of work that runs as long as the process.
type background struct {
	context.Context
	cancel context.CancelFunc
}

func newBackground() background {
	ctx, cancel := context.WithCancel(context.Background())
	return background{ctx, cancel}
}

// listeners are the process's sockets. They are bound before any component starts, so that a port that is
// already in use is reported at once.
type listeners struct {
	callers, readiness, peer, metrics net.Listener
}

func newListeners(s Settings) (*listeners, error) {
	l := &listeners{}
	binds := []struct {
		to      *net.Listener
		address string
		name    string
	}{
		{&l.callers, s.Listen.Callers, "callers"},
		{&l.readiness, s.Listen.Readiness, "readiness"},
		{&l.peer, s.Listen.Peer, "peer"},
		{&l.metrics, s.Listen.Metrics, "metrics"},
	}
	for _, bind := range binds {
		listener, err := net.Listen("tcp", bind.address)
		if err != nil {
			l.close()
			return nil, errors.Wrapf(err, "listen for %s", bind.name)
		}
		*bind.to = listener
	}
	return l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.readiness, l.peer, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// outbound holds the connection pools and the client for requests to endpoints.
type outbound struct {
	pools  *upstream.Pools
	client *upstream.Client
}

// Names of the counters of connections opened to endpoints, and of endpoints that have announced in a response
// that they are about to terminate.
const (
	metricDials   = "upstream.dials"
	metricLeaving = "upstream.leaving"
)

// newRateLimiter returns the limiter of the requests to endpoints. The owner of an engine is also the home of its limit.
func newRateLimiter(s Settings, bg background, id identity, view *fleetView, coord coordination, pp peers, registry metrics.Registry, log logrus.FieldLogger) *ratelimit.Limiter {
	return ratelimit.New(bg, ratelimit.Config{
		Self: id.vm, Leases: coord.stewards, LeaseOf: orders.LeaseOf, Fleet: coord.stewards, FleetSize: coord.stewards.vmCount,
		PeerClient: pp.pool, Cold: view.coldLimits, GroupOf: view.groupOf, ListAge: view.endpointsAge, ColdBounds: ratelimit.ColdBounds(s.Bounds.Cold),
		FirstStart: s.FirstStart, Metrics: registry, Log: log,
	})
}

func newUpstream(p Platform, view *fleetView, limits *ratelimit.Limiter, registry metrics.Registry) outbound {
	pools := upstream.NewPools()
	dials := metrics.GetOrRegisterCounter(metricDials, registry)
	leaving := metrics.GetOrRegisterCounter(metricLeaving, registry)
	withheld := metrics.GetOrRegisterCounter(metricEvacuatedWithheld, registry)
	metrics.NewRegisteredFunctionalGauge(metricEvacuatedDomains, registry, func() int64 { return int64(len(view.evacuatedDomains())) })
	return outbound{pools: pools, client: upstream.NewClient(pools, p.Dialect, upstream.Events{
		Check: func(target upstream.Target, ofCaller bool) error {
			err := view.mayReach(target)
			if err == nil && ofCaller {
				err = view.mayRun(target)
			}
			if err != nil {
				withheld.Inc(1)
			}
			return err
		},
		OnDial: func() { dials.Inc(1) },
		OnLeaving: func(target upstream.Target) {
			if view.recordLeaving(roster.Incarnation{ID: target.ID, Started: target.Started}) {
				leaving.Inc(1)
			}
		},
		OnResponse: func(target upstream.Target, info dialect.ResponseInfo, sent time.Time) {
			limits.Observe(roster.Incarnation{ID: target.ID, Started: target.Started}, info, sent)
		},
		OnRefused: func(target upstream.Target) {
			limits.Refused(roster.Incarnation{ID: target.ID, Started: target.Started})
		},
		OnConnectionLost: func(target upstream.Target) {
			limits.ConnectionLost(roster.Incarnation{ID: target.ID, Started: target.Started})
		},
		OnConnectionAlive: func(target upstream.Target, opened, sent time.Time) {
			limits.ConnectionAlive(roster.Incarnation{ID: target.ID, Started: target.Started}, opened, sent)
		},
	})}
}

// peers holds the client and the server for calls between VMs. Calls are in plain text: the platform gives the
// process no certificates, and its network admits only the deployment's own VMs to the peer port.
type peers struct {
	pool   *peer.Pool
	server *peer.Server
}

// Names of the counters of traffic between VMs.
const (
	metricPeerCalls  = "peer.calls"
	metricPeerServed = "peer.served"
)

func newPeers(s Settings, registry metrics.Registry, log logrus.FieldLogger) peers {
	plain := func() *tls.Config { return nil }
	server := peer.NewServer(plain, peer.NewTraffic(registry, metricPeerServed), log)
	server.SetLimits(peerLimits(s.Limits))
	return peers{pool: peer.NewPool(plain, peer.NewTraffic(registry, metricPeerCalls)), server: server}
}

// coordination holds the components that coordinate this VM with the other ones: membership, leases and the set
// of stewards.
type coordination struct {
	members        *membership.Registry
	leases         *lease.Manager
	stewards       *stewardSet
	leaseListeners *leaseListeners
	// table mirrors mallowlink's own table in the platform's store.
	table *follow.Mirror
}

func newCoordination(s Settings, id identity, p Platform, view *fleetView, updates *relay.UpdateLog, pp peers, log logrus.FieldLogger) coordination {
	members := membership.New(membership.Config{
		ID:            id.vm,
		Incarnation:   id.incarnation,
		FailureDomain: s.FailureDomain,
		PeerAddress:   s.Listen.peerAddress(),
	}, nil, pp.pool, log)
	subscribers := &leaseListeners{}
	table := follow.NewMirror(p.FleetTable)
	stewards := &stewardSet{
		self: relay.VM{
			ID: id.vm, Incarnation: id.incarnation, Address: s.Listen.peerAddress(),
			FailureDomain: s.FailureDomain, Cores: s.Limits.Cores,
		},
		table: table, members: members, updateLog: updates, log: log, vms: map[string]knownVM{},
	}
	leases := lease.NewManager(lease.Config{
		ID:          id.vm,
		Incarnation: id.incarnation,
		Address:     s.Listen.peerAddress(),
		Capacity:    s.Limits.Cores,
		ListPeriod:  leaseListInterval,
		Period:      leaseRenewInterval,
		Duration:    s.Bounds.MinOrderGap,
		OnListed:    stewards.publishDirectory,
		Note:        func(name string) []byte { return subscribers.note(name) },
		Settled:     func(name string) <-chan struct{} { return subscribers.settled(name) },
		Names:       func() []string { return leaseNames(view) },
	}, table, members, pp.pool, subscribers, log)
	stewards.leases = leases
	return coordination{members: members, leases: leases, stewards: stewards, leaseListeners: subscribers, table: table}
}

// leaseListInterval is the interval between two listings of the leases while nothing changes. It is shorter
// than the duration of a lease, so that a VM can rely on what its peers report as soon as the table becomes
// unavailable.
const leaseListInterval = 1900 * time.Millisecond

// leaseRenewInterval is the interval between two renewals of a VM's leases. Two renewals fit into the duration
// of a lease.
const leaseRenewInterval = 1200 * time.Millisecond

// leaseNames returns the names of all leases that some VM should hold.
func leaseNames(view *fleetView) []string {
	names := orders.LeaseNames()
	for _, account := range view.accountNames() {
		names = append(names, lease.AccountPrefix+account)
	}
	return names
}

// leaseListeners forwards gained and lost leases to every component that acts under leases. Its fields are set
// before the lease manager runs.
type leaseListeners struct {
	listeners []lease.Listener
	// note returns the record to store in a lease with each renewal, for the lease's next holder.
	note func(name string) []byte
	// settled returns a channel that is closed once nothing done under a lease that was given up can take effect any more.
	settled func(name string) <-chan struct{}
}

// LeaseGained implements lease.Listener.
func (l *leaseListeners) LeaseGained(grant lease.Grant) {
	for _, listener := range l.listeners {
		listener.LeaseGained(grant)
	}
}

// LeaseLost implements lease.Listener.
func (l *leaseListeners) LeaseLost(name string) {
	for _, listener := range l.listeners {
		listener.LeaseLost(name)
	}
}

// allowances holds the two sides that enforce the client accounts' limits: home hands out tokens for the
// accounts whose leases this VM holds, limiter spends the tokens that this VM has obtained.
type allowances struct {
	home    *allowance.Home
	limiter *allowance.Limiter
}

func newAllowances(s Settings, bg background, id identity, coord coordination, view *fleetView, pp peers, log logrus.FieldLogger) allowances {
	policy := allowance.Policy{Window: s.Bounds.Quota.Window, Overage: s.Bounds.Quota.Overage, Slack: s.Bounds.Quota.Slack}
	home := allowance.NewHome(bg, allowance.HomeConfig{
		Policy: policy, Limits: view.accountLimit, Leases: coord.stewards, Fleet: coord.stewards,
		PeerClient: pp.pool, Log: log,
	})
	limiter := allowance.NewLimiter(bg, allowance.LimiterConfig{
		Self: id.vm, Incarnation: id.incarnation, Started: id.started, FirstStart: s.FirstStart, Policy: policy, Limits: view.accountLimit,
		Home: home, Leases: coord.stewards, Fleet: coord.stewards, PeerClient: pp.pool, Log: log,
	})
	return allowances{home: home, limiter: limiter}
}

func newOrders(s Settings, bg background, id identity, p Platform, coord coordination, view *fleetView, out outbound, pp peers, registry metrics.Registry, log logrus.FieldLogger) *orders.Service {
	return orders.NewService(bg, orders.Config{
		Self:        id.vm,
		Leases:      coord.stewards,
		Engines:     p.NewEngines(out.client),
		Roster:      view.roster,
		Spec:        view.engineSpec,
		Newest:      view.newestVersion,
		Address:     coord.stewards.peerAddress,
		PeerClient:  pp.pool,
		MinOrderGap: s.Bounds.MinOrderGap,
		Started:     id.started,
		Placement:   s.Placement,
		Metrics:     registry,
		Log:         log,
	})
}

func newDispatcher(s Settings, id identity, p Platform, out outbound, coord coordination, view *fleetView, o *orders.Service, limits *ratelimit.Limiter, pp peers, registry metrics.Registry, log logrus.FieldLogger) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Config{
		Self:          id.vm,
		Incarnation:   id.incarnation,
		FailureDomain: s.FailureDomain,
		Roster:        view.roster,
		Orders:        o,
		Leases:        coord.stewards,
		PeerClient:    pp.pool,
		Engines:       p.NewEngines(out.client),
		RosterAge:     view.endpointsAge,
		Limits:        limits,
		Newest:        view.newestVersion,
		Placement:     s.Placement,
		Metrics:       registry,
		Log:           log,
	})
}

// suspects holds the components that keep requests that crash endpoints from being sent to further endpoints.
type suspects struct {
	detector *suspect.Detector
	syncer   *suspect.Syncer
	store    *suspect.Store
	// partSyncer and partStore are the same for parts of prompts.
	partSyncer *suspect.Syncer
	partStore  *suspect.Store
}

func newSuspects(bg background, id identity, p Platform, coord coordination, view *fleetView, out outbound, pp peers, registry metrics.Registry, log logrus.FieldLogger) suspects {
	table := suspect.NewTable(suspect.DirectLimits())
	parts := suspect.NewPartTable(id.vm)
	partSyncer := suspect.NewPartSyncer(id.vm, parts, pp.pool, coord.stewards.Members, log)
	syncer := suspect.NewSyncer(id.vm, table, pp.pool, coord.stewards.Members, log)
	detector := suspect.NewDetector(bg, suspect.DetectorConfig{
		Table: table, Parts: parts, Prober: p.NewProber(out.client, view.group), Listed: view.listing, OnChange: syncer.Wake, Metrics: registry, Log: log,
	})
	syncer.Attach(detector)
	partSyncer.Attach(detector)
	return suspects{
		detector: detector, syncer: syncer, store: suspect.NewStore(syncer, coord.table),
		partSyncer: partSyncer, partStore: suspect.NewStore(partSyncer, coord.table),
	}
}

// run shares crash reports with other VMs and with the store until ctx ends.
func (s suspects) run(ctx context.Context) {
	go s.store.Run(ctx)
	go s.partStore.Run(ctx)
	go s.partSyncer.Run(ctx)
	s.syncer.Run(ctx)
}

func newGateway(s Settings, l *liveSettings, n *relay.Node, coord coordination, p Platform, view *fleetView, a allowances, d *dispatch.Dispatcher, sus suspects, streams *software.Keeper, out outbound, registry metrics.Registry, log logrus.FieldLogger) *gateway.Gateway {
	return gateway.New(gateway.Config{
		Rules:      view.rules.Load,
		KeysValid:  func() bool { return keysValid(view, l.bounds()) },
		Updates:    func() gateway.Updates { return view.updatesFrom(n.Source()) },
		Dialect:    p.Dialect,
		Quota:      a.limiter,
		Dispatcher: d,
		Upstream:   out.client,
		Suspects:   sus.detector,
		Streams:    streams,
		Memory:     newBufferBudget(s, registry),
		Retries:    newRetryLimiter(s.Bounds.Retry, coord.stewards).window,
		Metrics:    registry,
		Log:        log,
	})
}

const (
	// bufferMemoryShare is the share of a VM's memory that buffered request and response bodies may use, and
	// defaultBufferBytes their limit if the settings do not limit the VM's memory.
	bufferMemoryShare  = 0.2
	defaultBufferBytes = 64 << 20
	// metricBufferMemory is the name of the gauge of the memory that these bodies use, in bytes.
	metricBufferMemory = "gateway.memory_held"
)

func newBufferBudget(s Settings, registry metrics.Registry) *memory.Budget {
	limit := int64(bufferMemoryShare * float64(s.Limits.MemoryBytes))
	if limit == 0 {
		limit = defaultBufferBytes
	}
	budget := memory.NewBudget(limit)
	metrics.NewRegisteredFunctionalGauge(metricBufferMemory, registry, budget.Used)
	return budget
}

// keyValidityShare is the share of Bounds.KeyWithdrawal for which a VM that receives no updates goes on
// accepting keys. The rest allows for feeds that deliver changes late, and for requests in transit.
const keyValidityShare = 0.7

// keysValid reports whether the configuration is recent enough to accept keys by it: no key can have been
// withdrawn for longer than the bounds allow without this VM having received the withdrawal.
func keysValid(view *fleetView, bounds Bounds) bool {
	return view.rulesAge().Seconds() < keyValidityShare*bounds.KeyWithdrawal.Seconds()
}

func newUpdateLog(id identity) *relay.UpdateLog { return relay.NewUpdateLog(id.incarnation) }

// Names of the gauges of the ages of the operator's rows and of the list of endpoints, in milliseconds.
const (
	metricRulesAge = "updates.operator_age_ms"
	metricListAge  = "updates.endpoints_age_ms"
)

func newRelay(bg background, p Platform, l *liveSettings, view *fleetView, updates *relay.UpdateLog, coord coordination, pp peers, registry metrics.Registry, log logrus.FieldLogger) *relay.Node {
	g := &stalenessGuard{
		upToDate: func() bool { return keysValid(view, l.bounds()) }, settled: coord.stewards.settled,
		maxWait: l.bounds().MinOrderGap + lease.DefaultMargin, log: log,
	}
	timing := l.bounds().timing()
	metrics.NewRegisteredFunctionalGauge(metricRulesAge, registry, func() int64 { return view.rulesAge().Milliseconds() })
	metrics.NewRegisteredFunctionalGauge(metricListAge, registry, func() int64 { return view.endpointsAge().Milliseconds() })
	return relay.New(bg, relay.Config{
		Self:         coord.stewards.self,
		UpdateLog:    updates,
		Timing:       func() relay.Timing { return timing },
		Ages:         view.ages,
		Reader:       newStoreReader(p, timing, view, updates, coord.stewards, g, log),
		PeerClient:   pp.pool,
		Stewards:     coord.stewards.list,
		FleetSize:    coord.stewards.vmCount,
		ReadStewards: coord.stewards.readDirectory,
		OnVMChange:   coord.stewards.recordVM,
		Apply:        newUpdateApplier(view, coord.stewards, log).apply,
		Log:          log,
	})
}

const (
	// usableRetryShare is the share of the fleet-wide retry limit that the VMs use. The rest allows for
	// requests that are spread unevenly over the VMs and over the window.
	usableRetryShare = 0.8
	// maxRetryReserve limits the retries of one VM within a window without any traffic. A VM that has just
	// started may not know of any other VM, and would otherwise use the reserve of the whole fleet.
	maxRetryReserve = 4
)

// retryLimiter limits the retries to each endpoint group.
type retryLimiter struct {
	bounds RetryBounds
	fleet  allowance.Fleet

	mu sync.Mutex
	// The fields below are guarded by mu.

	windows map[string]*retry.Window // by group
	// maxMembers is the greatest number of VMs that this VM has known at once. VMs that are cut off from each
	// other must not each use the retry reserve of a small fleet.
	maxMembers int
}

func newRetryLimiter(b RetryBounds, f allowance.Fleet) *retryLimiter {
	return &retryLimiter{bounds: b, fleet: f, windows: map[string]*retry.Window{}}
}

// reserve returns this VM's part of the retries that the fleet may make without any traffic.
func (r *retryLimiter) reserve() float64 {
	members := len(r.fleet.Members())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxMembers = max(r.maxMembers, members)
	return min(usableRetryShare*r.bounds.Reserve/float64(r.maxMembers), maxRetryReserve)
}

func (r *retryLimiter) window(group string) *retry.Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.windows[group]
	if w == nil {
		w = retry.NewWindow(r.bounds.Window, r.bounds.Share*usableRetryShare, r.reserve)
		r.windows[group] = w
	}
	return w
}

// entryDelay is how much later than its cold time ends an endpoint may be known to be warm: its entry is written in intervals of
// about a second, and passed on from VM to VM.
const entryDelay = 3 * time.Second

// treatAsCold limits the requests to endpoints whose failure domain has returned to service: they may have become cold while
// nothing was sent there.
func treatAsCold(limits *ratelimit.Limiter, cold map[string]ratelimit.ColdLimit, endpoints []roster.Endpoint) {
	byGroup := map[string][]roster.Endpoint{}
	for _, e := range endpoints {
		byGroup[e.Group] = append(byGroup[e.Group], e)
	}
	for group, list := range byGroup {
		limits.TreatAsCold(list, cold[group].Rate, cold[group].Duration+entryDelay)
	}
}

// connectComponents sets the callbacks that cannot be passed to constructors, because the components depend on
// each other: gained and lost leases are forwarded to every component that acts under leases, changes of the
// fleet view to the orders and the leases, and changes of the membership to the leases.
func connectComponents(coord coordination, view *fleetView, o *orders.Service, a allowances, d *dispatch.Dispatcher, limits *ratelimit.Limiter, streams *software.Keeper, l *liveSettings, p *process) {
	view.evacuateWithin = func() time.Duration { return l.bounds().evacuateWithin() }
	view.contact = func() time.Duration { return l.bounds().contact() }
	view.minOutage = func() time.Duration { return l.bounds().minOutage() }
	view.onEndpointRead = d.RecordLoaded
	view.onEndpoints = limits.Listed
	view.onList, view.onListConfirmed = streams.List, streams.Confirm
	view.onRestored = func(endpoints []roster.Endpoint) { treatAsCold(limits, view.coldLimits(), endpoints) }
	coord.leaseListeners.listeners = []lease.Listener{o, a.home}
	coord.leaseListeners.note, coord.leaseListeners.settled = a.home.Note, o.Settled
	coord.members.SetStatus(func() membership.Status {
		s := membership.Status{Draining: p.draining.Load(), BundleVersion: view.configVersion()}
		coord.leases.AddStatus(&s)
		return s
	})
	coord.members.OnChange(coord.leases.Wake)
	view.onChange = func() {
		o.Refresh()
		coord.leases.Wake()
	}
}

// registerServices registers this VM's net/rpc services for calls from other VMs.
func registerServices(pp peers, coord coordination, a allowances, o *orders.Service, limits *ratelimit.Limiter, n *relay.Node, sus suspects, streams *software.Keeper) error {
	services := []struct {
		name     string
		receiver any
	}{
		{membership.ServiceName, coord.members.Service()},
		{lease.ServiceName, coord.leases.Service()},
		{allowance.ServiceName, allowance.NewService(a.home, a.limiter)},
		{orders.ServiceName, o},
		{ratelimit.ServiceName, limits.Service()},
		{relay.ServiceName, n.Service()},
		{suspect.ServiceName, sus.syncer.Service()},
		{suspect.PartServiceName, sus.partSyncer.Service()},
		{software.ServiceName, streams.Service()},
	}
	for _, service := range services {
		if err := pp.server.Register(service.name, service.receiver); err != nil {
			return err
		}
	}
	return nil
}

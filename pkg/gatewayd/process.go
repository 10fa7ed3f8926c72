package gatewayd

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/mallowlink/mallowlink/pkg/admin"
	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/connlimit"
	"github.com/mallowlink/mallowlink/pkg/dispatch"
	"github.com/mallowlink/mallowlink/pkg/dispatch/software"
	"github.com/mallowlink/mallowlink/pkg/eventlog"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/ratelimit"
	"github.com/mallowlink/mallowlink/pkg/relay"
	"github.com/mallowlink/mallowlink/pkg/suspect"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout limit how long a caller may take to send a header, and keep a
	// connection open without a request, where the configuration sets no limits.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// defaultHeaderBytes limits the size of a caller's header where the configuration sets no limit. It is the
	// default of net/http.
	defaultHeaderBytes = http.DefaultMaxHeaderBytes
	// reservedDescriptors is the number of file descriptors that callers' connections leave free for connections
	// to endpoints, other VMs and the store, and for files.
	reservedDescriptors = 1500
	// sweepInterval is the interval between two sweeps over idle connections.
	sweepInterval = time.Second
	// logFlushTimeout limits the wait for the last log lines to be written.
	logFlushTimeout = 200 * time.Millisecond
	// closeMargin is the part of the time until SIGKILL that is reserved for closing the components.
	closeMargin = 800 * time.Millisecond
	// interruptTimeout limits the wait for the errors of interrupted requests to be sent, and interruptPollInterval is the
	// interval between two checks.
	interruptTimeout      = 200 * time.Millisecond
	interruptPollInterval = 5 * time.Millisecond
	// endAnnouncementTimeout limits the wait for other VMs to respond to the announcement that this process has ended.
	endAnnouncementTimeout = 150 * time.Millisecond
)

// servers holds the HTTP servers of the process.
type servers struct {
	callers, readiness, metrics *http.Server
	callerEnforcer              *connlimit.TimeoutEnforcer
	callerHeads                 *connlimit.HeadLimiter
	refusals                    *connlimit.Refusals
	process                     atomic.Pointer[process]
}

func newServers(settings Settings, view *fleetView, g *gateway.Gateway, registry metrics.Registry) *servers {
	s := &servers{refusals: connlimit.NewRefusals(registry)}
	router := mux.NewRouter()
	router.HandleFunc("/readyz", s.serveReady).Methods(http.MethodGet)
	// callerEnforcer and callerHeads enforce the limits on heads and idle connections, because those of the configuration in
	// force may change while the server runs.
	s.callers = &http.Server{Handler: connlimit.LimitUnreadBodies(g), MaxHeaderBytes: defaultHeaderBytes}
	s.callers.ConnContext = gateway.ConnContext
	s.callerEnforcer = connlimit.NewTimeoutEnforcer(s.callers, s.refusals)
	s.callerHeads = newHeadLimiter(settings, view, registry, s.refusals)
	s.readiness = newStatusServer(router, readinessTimeout)
	s.metrics = newStatusServer(admin.NewHandler(s.dumpState, registry, admin.Command{Path: suspect.ReleasePath, Run: s.releasePart}), metricsTimeout)
	return s
}

func (s *servers) serveReady(w http.ResponseWriter, _ *http.Request) {
	if p := s.process.Load(); p == nil || !p.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// dumpState returns the dump of the process's state, or nil before the process has started.
func (s *servers) dumpState() any {
	if p := s.process.Load(); p != nil {
		return p.state()
	}
	return nil
}

// releasePart lets requests with a prompt part be sent again, on behalf of an operator.
func (s *servers) releasePart(parameters url.Values) error {
	part := parameters.Get(suspect.ReleasePartParameter)
	p := s.process.Load()
	if p == nil || !p.components.Suspects.detector.ReleasePart(part) {
		return errors.Errorf("no crashes are recorded for prompt part %q", part)
	}
	return nil
}

// components are all components that a process runs. fx fills them in by type.
type components struct {
	fx.In

	Settings     Settings
	LiveSettings *liveSettings
	ID           identity
	Metrics      metrics.Registry
	Log          logrus.FieldLogger
	EventLog     *eventlog.Log
	Background   background
	Listeners    *listeners
	View         *fleetView
	Relay        *relay.Node
	Outbound     outbound
	Peers        peers
	Coordination coordination
	Allowances   allowances
	Orders       *orders.Service
	Limits       *ratelimit.Limiter
	Dispatcher   *dispatch.Dispatcher
	Suspects     suspects
	Streams      *software.Keeper
	Gateway      *gateway.Gateway
	Servers      *servers
}

// process starts the components of a daemon, and drains and closes them at the end.
type process struct {
	components components
	loops      sync.WaitGroup
	draining   atomic.Bool
	failed     chan struct{}
	failOnce   sync.Once
}

func newProcess(p components) *process { return &process{components: p, failed: make(chan struct{})} }

// ready reports whether the balancer should send new callers' connections to this VM.
func (p *process) ready() bool {
	view := p.components.View
	return !p.draining.Load() && view.rules.Load() != nil && view.roster.View().Len() > 0 && keysValid(view, p.components.LiveSettings.bounds())
}

// start starts all components. The peer port accepts calls first, because other VMs need the responses of this one,
// and VMs of earlier builds take a refused connection as proof that this process is gone.
func (p *process) start() {
	p.components.Servers.process.Store(p)
	p.startServer("peer", func() error { return p.components.Peers.server.Serve(p.components.Listeners.peer) })
	p.startLoop(p.components.Relay.Run)
	p.startLoop(p.components.Coordination.stewards.run)
	p.startLoop(p.components.Limits.Run)
	p.startLoop(p.components.Dispatcher.Run)
	p.startLoop(p.components.Suspects.run)
	p.startLoop(p.components.Streams.Run)
	p.startLoop(p.components.LiveSettings.run)
	p.startLoop(p.sweep)
	p.startHTTPServer("readiness", p.components.Servers.readiness, connlimit.EvictingListener(p.components.Listeners.readiness, statusConnections))
	p.startHTTPServer("metrics", p.components.Servers.metrics, connlimit.EvictingListener(p.components.Listeners.metrics, statusConnections))
	servers := p.components.Servers
	limited := connlimit.LimitListener(p.components.Listeners.callers, maxCallerConnections(p.components.Settings.Limits), p.components.Metrics, servers.refusals)
	p.startHTTPServer("callers", servers.callers, servers.callerHeads.Listener(limited))
	p.components.Log.WithFields(logrus.Fields{
		"event": "started", "incarnation": p.components.ID.incarnation,
		"callers": p.components.Settings.Listen.Callers, "peer": p.components.Settings.Listen.Peer,
		"metrics": p.components.Settings.Listen.Metrics, "store": p.components.Settings.Store,
	}).Info("gateway started")
}

func (p *process) startLoop(run func(ctx context.Context)) {
	p.loops.Go(func() { run(p.components.Background) })
}

func (p *process) startServer(name string, run func() error) {
	p.loops.Go(func() { p.checkExit(name, run()) })
}

func (p *process) startHTTPServer(name string, server *http.Server, l net.Listener) {
	p.startServer(name, func() error { return server.Serve(l) })
}

// checkExit marks the daemon as failed if a component ended with an error before the daemon was stopped.
func (p *process) checkExit(name string, err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return
	}
	p.components.Log.WithFields(logrus.Fields{"event": "part_failed", "part": name, "error": err.Error()}).Error("component failed")
	p.failOnce.Do(func() { close(p.failed) })
}

// sweep closes idle connections from callers and to endpoints until ctx ends.
func (p *process) sweep(ctx context.Context) {
	clock.Every(ctx, sweepInterval, func(now time.Time) {
		p.components.Outbound.pools.Sweep(now)
		p.components.Servers.callerEnforcer.CloseExpired(callerTimeouts(p.components.View.rules.Load()), now)
		p.components.Servers.refusals.Log(p.components.Log)
	})
}

// stop drains the process: it reports that it is not ready, hands its leases over, completes the requests under
// way, and closes all components. Requests that still run shortly before SIGKILL are interrupted: those whose callers have
// got no part of a response are answered with an error, the others are cut. Their numbers are logged.
func (p *process) stop(ctx context.Context) error {
	p.components.Log.WithField("event", "drain_started").Info("drain before shutdown started")
	begun := time.Now()
	p.draining.Store(true)
	p.components.Gateway.Drain()
	ctx, cancel := context.WithTimeout(ctx, p.components.LiveSettings.bounds().Grace-closeMargin)
	defer cancel()
	var interrupted int64
	drainer{
		handOver: p.components.Coordination.stewards.drain,
		shutDown: p.components.Servers.callers.Shutdown,
		refuse:   p.components.Gateway.StopAdmitting,
		interrupt: func() {
			interrupted = p.components.Gateway.Running()
			p.components.Gateway.Interrupt()
		},
		log: p.components.Log,
	}.run(ctx)
	p.components.Coordination.leases.Release()
	p.awaitInterrupted()
	cut := p.components.Gateway.Running()
	p.close()
	p.components.Log.WithFields(logrus.Fields{"event": "stopped", "took": time.Since(begun).Round(time.Millisecond), "interrupted": interrupted, "cut": cut}).Info("gateway stopped")
	p.components.EventLog.Close(logFlushTimeout)
	return nil
}

// awaitInterrupted waits until the callers of interrupted requests have got their errors, for interruptTimeout at most.
func (p *process) awaitInterrupted() {
	for end := time.Now().Add(interruptTimeout); p.components.Gateway.Running() > 0 && time.Now().Before(end); {
		time.Sleep(interruptPollInterval)
	}
}

// announceEnd announces to the other VMs that this process sends nothing more, and for how long its orders may still arrive. Without
// that they would have to treat it like one that does not respond but may still run.
func (p *process) announceEnd() {
	ctx, cancel := context.WithTimeout(context.Background(), endAnnouncementTimeout)
	defer cancel()
	p.components.Coordination.members.AnnounceEnd(ctx, p.components.Orders.OrdersFor())
}

// close closes all components and waits for their goroutines.
func (p *process) close() {
	_ = p.components.Servers.callers.Close()
	_ = p.components.Servers.readiness.Close()
	_ = p.components.Servers.metrics.Close()
	p.components.Background.cancel()
	p.announceEnd()
	p.components.Listeners.close()
	p.components.Peers.server.Close()
	p.components.Peers.pool.Close()
	p.loops.Wait()
	p.components.Outbound.pools.Close()
}

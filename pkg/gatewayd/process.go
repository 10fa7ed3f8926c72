package gatewayd

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/mallowlink/mallowlink/pkg/admin"
	"github.com/mallowlink/mallowlink/pkg/callers"
	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/dispatch"
	"github.com/mallowlink/mallowlink/pkg/eventlog"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/relay"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout bound how long a caller may take for a header, and stay without a
	// request, where the configuration sets no limits.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// defaultHeaderBytes bounds a caller's header where the configuration sets no limit; net/http's default.
	defaultHeaderBytes = http.DefaultMaxHeaderBytes
	// reservedDescriptors are the descriptors that callers' connections leave to others: to endpoints, to
	// other VMs, to the store, and to files.
	reservedDescriptors = 1500
	// sweepInterval is the time between two passes over idle connections to endpoints.
	sweepInterval = time.Second
	// logFlushTimeout bounds the wait for the last lines of the log.
	logFlushTimeout = 200 * time.Millisecond
	// closeMargin is the part of the time until SIGKILL that is left for closing.
	closeMargin = 600 * time.Millisecond
)

// servers are the process's HTTP servers.
type servers struct {
	callers, readiness, metrics *http.Server
	callerWatch                 *callers.Watch
	process                     atomic.Pointer[process]
}

func newServers(g *gateway.Gateway, registry metrics.Registry) *servers {
	s := &servers{}
	router := mux.NewRouter()
	router.HandleFunc("/readyz", s.serveReady).Methods(http.MethodGet)
	// The watch bounds headers and idle connections, as the configuration in force says.
	s.callers = &http.Server{Handler: g, MaxHeaderBytes: defaultHeaderBytes}
	s.callerWatch = callers.NewWatch(s.callers)
	s.readiness = &http.Server{Handler: router, ReadHeaderTimeout: defaultHeaderTimeout}
	s.metrics = &http.Server{
		Handler:           admin.NewHandler(s.dumpState, registry),
		ReadHeaderTimeout: defaultHeaderTimeout,
	}
	return s
}

func (s *servers) serveReady(w http.ResponseWriter, _ *http.Request) {
	if p := s.process.Load(); p == nil || !p.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// dumpState returns the dump, nil before the process has started.
func (s *servers) dumpState() any {
	if p := s.process.Load(); p != nil {
		return p.state()
	}
	return nil
}

// components are what a process runs.
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
	Dispatcher   *dispatch.Dispatcher
	Suspects     suspects
	Gateway      *gateway.Gateway
	Servers      *servers
}

// process runs the parts of a daemon and drains them at the end.
type process struct {
	components components
	loops      sync.WaitGroup
	draining   atomic.Bool
	failed     chan struct{}
	failOnce   sync.Once
}

func newProcess(p components) *process { return &process{components: p, failed: make(chan struct{})} }

// ready reports whether new connections of callers should come here.
func (p *process) ready() bool {
	view := p.components.View
	return !p.draining.Load() && view.rules.Load() != nil && view.roster.View().Len() > 0 && keysValid(view, p.components.LiveSettings.bounds())
}

// start runs every part. The peer port takes calls first: a connection that it refuses would prove
// this process gone.
func (p *process) start() {
	p.components.Servers.process.Store(p)
	p.startServer("peer", func() error { return p.components.Peers.server.Serve(p.components.Listeners.peer) })
	p.startLoop(p.components.Relay.Run)
	p.startLoop(p.components.Coordination.stewards.run)
	p.startLoop(p.components.Dispatcher.Run)
	p.startLoop(p.components.Suspects.run)
	p.startLoop(p.components.LiveSettings.run)
	p.startLoop(p.sweep)
	p.startHTTPServer("readiness", p.components.Servers.readiness, p.components.Listeners.readiness)
	p.startHTTPServer("metrics", p.components.Servers.metrics, p.components.Listeners.metrics)
	maxConns := max(p.components.Settings.Limits.Descriptors-reservedDescriptors, reservedDescriptors)
	p.startHTTPServer("callers", p.components.Servers.callers, callers.Limit(p.components.Listeners.callers, maxConns, p.components.Metrics))
	p.components.Log.WithFields(logrus.Fields{
		"event": "started", "incarnation": p.components.ID.incarnation,
		"callers": p.components.Settings.Listen.Callers, "peer": p.components.Settings.Listen.Peer,
		"metrics": p.components.Settings.Listen.Metrics, "store": p.components.Settings.Store,
	}).Info()
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

// checkExit fails the daemon if a part has ended by an error before the daemon stops.
func (p *process) checkExit(name string, err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return
	}
	p.components.Log.WithFields(logrus.Fields{"event": "part_failed", "part": name, "error": err.Error()}).Error()
	p.failOnce.Do(func() { close(p.failed) })
}

// sweep closes idle connections of callers and to endpoints until ctx ends.
func (p *process) sweep(ctx context.Context) {
	clock.Every(ctx, sweepInterval, func(now time.Time) {
		p.components.Outbound.pools.Sweep(now)
		p.components.Servers.callerWatch.Sweep(p.callerTimeouts(), now)
	})
}

// callerTimeouts returns how long callers are waited for.
func (p *process) callerTimeouts() callers.Patience {
	patience := callers.Patience{Header: defaultHeaderTimeout, Idle: defaultIdleTimeout}
	rules := p.components.View.rules.Load()
	if rules == nil {
		return patience
	}
	if limit := rules.Bundle.Callers.HeaderTimeout; limit > 0 {
		patience.Header = limit
	}
	if limit := rules.Bundle.Callers.IdleTimeout; limit > 0 {
		patience.Idle = limit
	}
	return patience
}

// stop drains the process: it is no longer ready, hands its leases over, finishes every request, and
// ends. What still runs shortly before SIGKILL is cut, and counted in the log.
func (p *process) stop(ctx context.Context) error {
	p.components.Log.WithField("event", "drain_started").Info()
	begun := time.Now()
	p.draining.Store(true)
	p.components.Gateway.Drain()
	ctx, cancel := context.WithTimeout(ctx, p.components.LiveSettings.bounds().Grace-closeMargin)
	defer cancel()
	drainer{
		handOver: p.components.Coordination.stewards.drain,
		shutDown: p.components.Servers.callers.Shutdown,
		log:      p.components.Log,
	}.run(ctx)
	p.components.Coordination.leases.Release()
	cut := p.components.Gateway.Running()
	p.close()
	p.components.Log.WithFields(logrus.Fields{"event": "stopped", "took": time.Since(begun).Round(time.Millisecond), "cut": cut}).Info()
	p.components.EventLog.Close(logFlushTimeout)
	return nil
}

// close ends every part.
func (p *process) close() {
	_ = p.components.Servers.callers.Close()
	_ = p.components.Servers.readiness.Close()
	_ = p.components.Servers.metrics.Close()
	p.components.Background.cancel()
	p.components.Listeners.close()
	p.components.Peers.server.Close()
	p.components.Peers.pool.Close()
	p.loops.Wait()
	p.components.Outbound.pools.Close()
}

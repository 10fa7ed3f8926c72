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
	// headerTimeout and idleTimeout bound how long a caller may take for a header, and stay without a
	// request, where the configuration sets no limits.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// headerBytes bounds a caller's header where the configuration sets no limit; net/http's default.
	headerBytes = http.DefaultMaxHeaderBytes
	// descriptorsKept are the descriptors that callers' connections leave to others: to endpoints, to
	// other VMs, to the store, and to files.
	descriptorsKept = 1500
	// sweepPause is the time between two passes over idle connections to endpoints.
	sweepPause = time.Second
	// logFlush bounds the wait for the last lines of the log.
	logFlush = 200 * time.Millisecond
	// stopMargin is the part of the time until SIGKILL that is left for closing.
	stopMargin = 600 * time.Millisecond
)

// servers are the process's HTTP servers.
type servers struct {
	callers, readiness, metrics *http.Server
	watch                       *callers.Watch
	process                     atomic.Pointer[process]
}

func newServers(g *gateway.Gateway, registry metrics.Registry) *servers {
	s := &servers{}
	router := mux.NewRouter()
	router.HandleFunc("/readyz", s.serveReady).Methods(http.MethodGet)
	// The watch bounds headers and idle connections, as the configuration in force says.
	s.callers = &http.Server{Handler: g, MaxHeaderBytes: headerBytes}
	s.watch = callers.NewWatch(s.callers)
	s.readiness = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	s.metrics = &http.Server{
		Handler:           admin.NewHandler(s.state, registry),
		ReadHeaderTimeout: headerTimeout,
	}
	return s
}

func (s *servers) serveReady(w http.ResponseWriter, _ *http.Request) {
	if p := s.process.Load(); p == nil || !p.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// state returns the dump, nil before the process has started.
func (s *servers) state() any {
	if p := s.process.Load(); p != nil {
		return p.state()
	}
	return nil
}

// parts are what a process runs.
type parts struct {
	fx.In

	Settings   Settings
	Live       *live
	ID         identity
	Metrics    metrics.Registry
	Log        logrus.FieldLogger
	Lines      *eventlog.Log
	Base       background
	Listeners  *listeners
	Beliefs    *beliefs
	Relay      *relay.Node
	Out        outbound
	Peers      peers
	Fleet      fleet
	Allowances allowances
	Orders     *orders.Service
	Dispatcher *dispatch.Dispatcher
	Suspects   suspects
	Gateway    *gateway.Gateway
	Servers    *servers
}

// process runs the parts of a daemon and drains them at the end.
type process struct {
	parts    parts
	loops    sync.WaitGroup
	draining atomic.Bool
	failed   chan struct{}
	failOnce sync.Once
}

func newProcess(p parts) *process { return &process{parts: p, failed: make(chan struct{})} }

// ready reports whether new connections of callers should come here.
func (p *process) ready() bool {
	b := p.parts.Beliefs
	return !p.draining.Load() && b.rules.Load() != nil && b.roster.View().Len() > 0 && keysValid(b, p.parts.Live.bounds())
}

// start runs every part. The peer port takes calls first: a connection that it refuses would prove
// this process gone.
func (p *process) start() {
	p.parts.Servers.process.Store(p)
	p.serve("peer", func() error { return p.parts.Peers.server.Serve(p.parts.Listeners.peer) })
	p.loop(p.parts.Relay.Run)
	p.loop(p.parts.Fleet.stewards.run)
	p.loop(p.parts.Dispatcher.Run)
	p.loop(p.parts.Suspects.run)
	p.loop(p.parts.Live.run)
	p.loop(p.sweep)
	p.serveHTTP("readiness", p.parts.Servers.readiness, p.parts.Listeners.readiness)
	p.serveHTTP("metrics", p.parts.Servers.metrics, p.parts.Listeners.metrics)
	most := max(p.parts.Settings.Limits.Descriptors-descriptorsKept, descriptorsKept)
	p.serveHTTP("callers", p.parts.Servers.callers, callers.Limit(p.parts.Listeners.callers, most, p.parts.Metrics))
	p.parts.Log.WithFields(logrus.Fields{
		"event": "started", "incarnation": p.parts.ID.incarnation,
		"callers": p.parts.Settings.Listen.Callers, "peer": p.parts.Settings.Listen.Peer,
		"metrics": p.parts.Settings.Listen.Metrics, "store": p.parts.Settings.Store,
	}).Info()
}

func (p *process) loop(run func(ctx context.Context)) {
	p.loops.Go(func() { run(p.parts.Base) })
}

func (p *process) serve(name string, run func() error) {
	p.loops.Go(func() { p.check(name, run()) })
}

func (p *process) serveHTTP(name string, server *http.Server, l net.Listener) {
	p.serve(name, func() error { return server.Serve(l) })
}

// check fails the daemon if a part has ended by an error before the daemon stops.
func (p *process) check(name string, err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return
	}
	p.parts.Log.WithFields(logrus.Fields{"event": "part_failed", "part": name, "error": err.Error()}).Error()
	p.failOnce.Do(func() { close(p.failed) })
}

// sweep closes idle connections of callers and to endpoints until ctx ends.
func (p *process) sweep(ctx context.Context) {
	clock.Every(ctx, sweepPause, func(now time.Time) {
		p.parts.Out.pools.Sweep(now)
		p.parts.Servers.watch.Sweep(p.patience(), now)
	})
}

// patience returns how long callers are waited for.
func (p *process) patience() callers.Patience {
	patience := callers.Patience{Header: headerTimeout, Idle: idleTimeout}
	rules := p.parts.Beliefs.rules.Load()
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
	p.parts.Log.WithField("event", "drain_started").Info()
	begun := time.Now()
	p.draining.Store(true)
	p.parts.Gateway.Drain()
	ctx, cancel := context.WithTimeout(ctx, p.parts.Live.bounds().Grace-stopMargin)
	defer cancel()
	drain{
		handOver: p.parts.Fleet.stewards.drain,
		shutDown: p.parts.Servers.callers.Shutdown,
		log:      p.parts.Log,
	}.run(ctx)
	p.parts.Fleet.leases.Release()
	cut := p.parts.Gateway.Running()
	p.close()
	p.parts.Log.WithFields(logrus.Fields{"event": "stopped", "took": time.Since(begun).Round(time.Millisecond), "cut": cut}).Info()
	p.parts.Lines.Close(logFlush)
	return nil
}

// close ends every part.
func (p *process) close() {
	_ = p.parts.Servers.callers.Close()
	_ = p.parts.Servers.readiness.Close()
	_ = p.parts.Servers.metrics.Close()
	p.parts.Base.cancel()
	p.parts.Listeners.close()
	p.parts.Peers.server.Close()
	p.parts.Peers.pool.Close()
	p.loops.Wait()
	p.parts.Out.pools.Close()
}

// Package gatewayd wires the parts of a process that dispatches callers' requests directly to
// endpoints, starts them in order and stops them without cutting a request.
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
	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/dispatch"
	"github.com/mallowlink/mallowlink/pkg/follow"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/retry"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// Platform is what the process asks of the platform that it runs on.
type Platform struct {
	// Operator holds what the operator writes, Endpoints what the endpoints say of themselves.
	Operator, Endpoints platform.Feed
	// ConfigKey is the key of the operator's row with the configuration.
	ConfigKey string
	// DecodeConfig reads that row, DecodeEndpoint a row of an endpoint.
	DecodeConfig   func(data []byte) (*bundle.Bundle, error)
	DecodeEndpoint func(key string, data []byte) (roster.Endpoint, error)
	Dialect        dialect.Dialect
}

// Connect returns the platform's services as the settings name them.
type Connect func(s Settings, registry metrics.Registry) Platform

// Daemon is the process.
type Daemon struct {
	app     *fx.App
	process *process
}

// New builds a daemon and binds its listeners. Nothing runs until Start.
func New(s Settings, connect Connect) (*Daemon, error) {
	d := &Daemon{}
	d.app = fx.New(
		fx.Supply(s),
		fx.NopLogger,
		fx.Provide(newLogger, metrics.NewRegistry, connect, newProcess),
		fx.Populate(&d.process),
		fx.Invoke(func(p *process, lc fx.Lifecycle) {
			lc.Append(fx.Hook{OnStart: func(context.Context) error { p.start(); return nil }, OnStop: p.stop})
		}),
	)
	if err := d.app.Err(); err != nil {
		return nil, errors.Wrap(err, "gateway")
	}
	return d, nil
}

// Start starts every part.
func (d *Daemon) Start(ctx context.Context) error { return d.app.Start(ctx) }

// Stop drains the process and ends it.
func (d *Daemon) Stop(ctx context.Context) error { return d.app.Stop(ctx) }

// Failed is closed when a part has failed and the process must be stopped.
func (d *Daemon) Failed() <-chan struct{} { return d.process.failed }

func newLogger(s Settings) (logrus.FieldLogger, error) {
	if s.LogLevel == "" {
		s.LogLevel = logrus.InfoLevel.String()
	}
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	log := logrus.New()
	log.SetLevel(level)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	return log.WithField("vm", s.VM), nil
}

// process runs the parts of a daemon and drains them at the end.
type process struct {
	s        Settings
	log      logrus.FieldLogger
	registry metrics.Registry
	platform Platform

	rules     atomic.Pointer[gateway.Rules]
	roster    *roster.Roster
	operator  *follow.Follower
	endpoints *follow.Follower
	gateway   *gateway.Gateway
	pools     *upstream.Pools
	callers   *http.Server
	readiness *http.Server
	metrics   *http.Server

	listeners []net.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	loops     sync.WaitGroup
	draining  atomic.Bool
	failed    chan struct{}
	failOnce  sync.Once

	retriesMu sync.Mutex
	retries   map[string]*retry.Window
}

func newProcess(s Settings, p Platform, registry metrics.Registry, log logrus.FieldLogger) (*process, error) {
	proc := &process{
		s: s, log: log, registry: registry, platform: p,
		roster: roster.New(), pools: upstream.NewPools(),
		failed: make(chan struct{}), retries: map[string]*retry.Window{},
	}
	proc.ctx, proc.cancel = context.WithCancel(context.Background())
	proc.operator = follow.New(follow.Config{
		Name: "operator", Feed: p.Operator, Wait: 1500 * time.Millisecond, Changed: proc.takeOperator, Log: log,
	})
	proc.endpoints = follow.New(follow.Config{
		Name: "endpoints", Feed: p.Endpoints, Pause: time.Second, Changed: proc.takeEndpoints, Log: log,
	})
	proc.gateway = gateway.New(gateway.Config{
		Rules:      proc.rules.Load,
		KeysValid:  proc.keysValid,
		Dialect:    p.Dialect,
		Quota:      unlimited{},
		Dispatcher: dispatch.New(proc.roster),
		Upstream:   upstream.NewClient(proc.pools, p.Dialect, nil),
		Retries:    proc.retriesOf,
		Metrics:    registry,
		Log:        log,
	})
	proc.callers = &http.Server{Handler: proc.gateway, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	ready := mux.NewRouter()
	ready.HandleFunc("/readyz", proc.serveReady)
	proc.readiness = &http.Server{Handler: ready}
	proc.metrics = &http.Server{Handler: admin.NewHandler(func() any { return nil }, registry)}
	for _, address := range []string{s.Listen.Callers, s.Listen.Readiness, s.Listen.Metrics} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		proc.listeners = append(proc.listeners, l)
	}
	return proc, nil
}

type unlimited struct{}

func (unlimited) Admit(context.Context, string, int64) error { return nil }
func (unlimited) Return(string, int64)                       {}

func (p *process) retriesOf(group string) *retry.Window {
	p.retriesMu.Lock()
	defer p.retriesMu.Unlock()
	w := p.retries[group]
	if w == nil {
		w = retry.NewWindow(p.s.Bounds.RetryWindow, p.s.Bounds.RetryShare*0.8, 3)
		p.retries[group] = w
	}
	return w
}

func (p *process) keysValid() bool {
	return clock.Elapsed(p.operator.Confirmed(), time.Now()) < p.s.Bounds.KeyWithdrawal-500*time.Millisecond
}

func (p *process) takeOperator(rows map[string]platform.Row) {
	row, ok := rows[p.platform.ConfigKey]
	if !ok {
		return
	}
	b, err := p.platform.DecodeConfig(row.Value)
	if err != nil {
		p.log.WithError(err).WithField("event", "config_malformed").Error()
		return
	}
	old := p.rules.Load()
	if old != nil && old.Bundle.Version >= b.Version {
		return
	}
	p.rules.Store(gateway.NewRules(b))
	p.log.WithFields(logrus.Fields{"event": "config_in_force", "version": b.Version, "routes": len(b.Routes), "accounts": len(b.Accounts)}).Info()
}

func (p *process) takeEndpoints(rows map[string]platform.Row) {
	var list []roster.Endpoint
	for key, row := range rows {
		e, err := p.platform.DecodeEndpoint(key, row.Value)
		if err != nil {
			p.log.WithError(err).WithField("event", "endpoint_row_malformed").Warn()
			continue
		}
		list = append(list, e)
	}
	p.roster.Set(roster.NewView(list))
}

func (p *process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if p.draining.Load() || p.rules.Load() == nil || p.roster.View().Len() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *process) start() {
	p.loops.Go(func() { p.operator.Run(p.ctx) })
	p.loops.Go(func() { p.endpoints.Run(p.ctx) })
	for i, server := range []*http.Server{p.callers, p.readiness, p.metrics} {
		p.loops.Go(func() {
			if err := server.Serve(p.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				p.log.WithError(err).WithField("event", "part_failed").Error()
				p.failOnce.Do(func() { close(p.failed) })
			}
		})
	}
	p.log.WithField("event", "started").Info()
}

func (p *process) stop(ctx context.Context) error {
	p.log.WithField("event", "drain_started").Info()
	p.draining.Store(true)
	p.gateway.Drain()
	time.Sleep(2500 * time.Millisecond)
	_ = p.callers.Shutdown(ctx)
	_ = p.readiness.Close()
	_ = p.metrics.Close()
	p.cancel()
	p.loops.Wait()
	p.pools.Close()
	p.log.WithField("event", "stopped").Info()
	return nil
}

package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/mallowlink/mallowlink/pkg/bundle/rollout"
	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/connlimit"
	"github.com/mallowlink/mallowlink/pkg/entry"
	"github.com/mallowlink/mallowlink/pkg/eventlog"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/ledger"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/owner"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/request"
	"github.com/mallowlink/mallowlink/pkg/settings"
	"github.com/mallowlink/mallowlink/pkg/suspect"
)

const (
	// drainPollInterval is the interval at which a draining process checks for attempts still running.
	drainPollInterval = 50 * time.Millisecond
	// handOverTimeout bounds how long a stopping VM waits for the table while it hands over its leases.
	handOverTimeout = 5 * time.Second
	// logFlushTimeout bounds the wait until the last lines of the log are written.
	logFlushTimeout = 200 * time.Millisecond
	// endAnnouncementTimeout bounds the wait for other VMs to respond to the announcement that this process has ended.
	endAnnouncementTimeout = 500 * time.Millisecond
	// adminHeaderTimeout bounds the time to read the header of an operator's request.
	adminHeaderTimeout = 5 * time.Second
)

// components are the components of a process, as injected by fx.
type components struct {
	fx.In

	Settings   settings.Settings
	Identity   identity
	Log        logrus.FieldLogger
	EventLog   *eventlog.Log
	Metrics    metrics.Registry
	Listeners  *listeners
	Background backgroundContext
	PeerTLS    peerTLS
	CallerTLS  callerTLS
	PeerServer *peer.Server
	Members    *membership.Registry
	Leases     *lease.Manager
	Follower   *rollout.Follower
	Budgets    budgets
	Suspects   *suspect.Table
	Announcer  *suspect.PeerAnnouncer
	Owner      *owner.Owner
	Ledger     *ledger.Ledger
	Requests   *request.Service
	Handler    *entry.Handler
	Admin      admin
}

// process runs the components of a daemon, and drains and closes them when the daemon stops.
type process struct {
	components components
	callers    *http.Server
	admin      *http.Server

	// goroutines waits for the goroutines that run the components.
	goroutines sync.WaitGroup
	draining   atomic.Bool
	// failed is closed, through failOnce, when a component has failed.
	failed   chan struct{}
	failOnce sync.Once
}

func newProcess(p components) *process {
	return &process{
		components: p,
		callers:    entry.NewHTTPServer(p.Handler, p.CallerTLS.config()),
		admin:      &http.Server{Handler: p.Admin.handler, ReadHeaderTimeout: adminHeaderTimeout},
		failed:     make(chan struct{}),
	}
}

func startProcess(p *process, lc fx.Lifecycle) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			p.start()
			return nil
		},
		OnStop: p.stop,
	})
}

func (p *process) ready() error {
	if p.components.Follower.Current() == nil {
		return errNoBundle
	}
	return nil
}

// start starts all components. The peer listener is served first, because other VMs take a refused
// connection as proof that this process has ended.
func (p *process) start() {
	p.serve("peer", func() error { return p.components.PeerServer.Serve(p.components.Listeners.Peer) })
	p.runLoop(p.components.Members.Run)
	p.runLoop(func(ctx context.Context) { p.reportFailure("bundle", p.components.Follower.Run(ctx)) })
	p.runLoop(p.components.Leases.Run)
	p.runLoop(p.components.Owner.Run)
	p.runLoop(p.components.Budgets.holder.Run)
	p.runLoop(p.components.Announcer.Run)
	p.runLoop(p.fetchCrashReports)
	p.runLoop(p.sweepRecords)
	if p.components.PeerTLS.reloader != nil {
		p.runLoop(func(ctx context.Context) { p.reportFailure("peer TLS", p.components.PeerTLS.reloader.Run(ctx)) })
	}
	if p.components.CallerTLS.reloader != nil {
		p.runLoop(func(ctx context.Context) { p.reportFailure("callers' TLS", p.components.CallerTLS.reloader.Run(ctx)) })
	}
	p.serve("admin", func() error { return p.admin.Serve(p.components.Listeners.Admin) })
	p.serve("callers", p.serveCallers)
	p.components.Log.WithFields(logrus.Fields{
		"event":       "started",
		"incarnation": p.components.Identity.Incarnation,
		"callers":     p.components.Listeners.Callers.Addr().String(),
		"peer":        p.components.Listeners.Peer.Addr().String(),
		"admin":       p.components.Listeners.Admin.Addr().String(),
	}).Info("daemon started")
}

func (p *process) serveCallers() error {
	limited := connlimit.LimitListener(p.components.Listeners.Callers, p.components.Settings.Limits.Connections, p.components.Metrics, nil)
	if p.callers.TLSConfig != nil {
		return p.callers.ServeTLS(limited, "", "")
	}
	return p.callers.Serve(limited)
}

// runLoop runs a component in a goroutine until the background context is cancelled.
func (p *process) runLoop(run func(ctx context.Context)) {
	p.goroutines.Go(func() { run(p.components.Background) })
}

// serve runs a server in a goroutine and reports the error that it ends with.
func (p *process) serve(name string, run func() error) {
	p.goroutines.Go(func() { p.reportFailure(name, run()) })
}

// reportFailure logs an error that a component has ended with and marks the daemon as failed. It ignores
// the errors of an ordinary stop.
func (p *process) reportFailure(name string, err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) {
		return
	}
	p.components.Log.WithFields(logrus.Fields{"event": "part_failed", "part": name, "error": err.Error()}).Error("component failed; the daemon stops")
	p.failOnce.Do(func() { close(p.failed) })
}

// fetchCrashReports fetches the crash reports that the peers hold once a peer is live. It tries again every
// second until one peer has responded.
func (p *process) fetchCrashReports(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		if len(p.components.Members.Live()) > 1 && p.components.Announcer.Fetch(ctx, p.components.Suspects) == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sweepRecords deletes old at-most-once records while this VM holds the budget lease, so that only
// one VM of the fleet does so at a time.
func (p *process) sweepRecords(ctx context.Context) {
	ledger.NewSweeper(p.components.Ledger).Run(ctx, func() bool {
		_, ok := p.components.Leases.Held(lease.Budget)
		return ok
	})
}

// stop drains and closes the process. The readiness check fails first, and requests are still accepted
// until the load balancer has had time to notice. Then the process hands over its leases, waits for
// requests and responses to end, and closes all components. Requests and attempts that still run when
// ctx ends or the drain timeout has passed are cut, and their numbers are logged.
func (p *process) stop(ctx context.Context) error {
	p.components.Log.WithField("event", "drain_started").Info("drain started")
	p.components.Handler.SetDraining()
	p.draining.Store(true)
	clock.Sleep(ctx, p.components.Settings.Timeouts.BalancerWait)
	drain, cancel := context.WithTimeout(ctx, p.components.Settings.Timeouts.Drain)
	defer cancel()
	p.drain(drain)
	p.closeAll()
	return nil
}

func (p *process) drain(ctx context.Context) {
	p.handOverLeases(ctx)
	p.components.Handler.SetRefusing()
	if err := p.callers.Shutdown(ctx); err != nil {
		p.components.Log.WithFields(logrus.Fields{"event": "callers_cut", "error": err.Error()}).Warn("could not close all connections of callers gracefully")
	}
	cut := p.components.Requests.Wait(ctx)
	p.components.Leases.Release()
	for p.components.Owner.Busy() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, drainPollInterval)
	}
	if err := p.components.Ledger.Flush(ctx); err != nil {
		p.components.Log.WithFields(logrus.Fields{"event": "records_unwritten", "error": err.Error()}).Warn("drain ended before all at-most-once records were written")
	}
	busy := 0
	if ctx.Err() != nil {
		busy = p.components.Owner.Busy()
	}
	p.components.Log.WithFields(logrus.Fields{"event": "drain_ended", "cut_requests": cut, "cut_attempts": busy}).Info()
}

// handOverLeases hands over the leases for at most handOverTimeout, which leaves most of the drain timeout
// to running requests. While the table is down, this VM keeps its leases until its own requests have ended.
func (p *process) handOverLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := p.components.Leases.Drain(ctx); err != nil {
		p.components.Log.WithFields(logrus.Fields{"event": "handover_incomplete", "error": err.Error()}).Warn("could not hand over all leases; the others are released once requests have ended")
	}
}

// announceEnd tells the other VMs that this process sends nothing more. Without that they would have to treat it like
// one that does not respond but may still run.
func (p *process) announceEnd() {
	ctx, cancel := context.WithTimeout(context.Background(), endAnnouncementTimeout)
	defer cancel()
	p.components.Members.AnnounceEnd(ctx, 0)
}

// closeAll closes all listeners and connections, waits for the goroutines of the components, and flushes
// the log.
func (p *process) closeAll() {
	_ = p.callers.Close()
	_ = p.admin.Close()
	p.components.Background.cancel()
	p.announceEnd()
	p.components.Listeners.close()
	p.components.PeerServer.Close()
	p.goroutines.Wait()
	p.components.Log.WithField("event", "stopped").Info("daemon stopped")
	p.components.EventLog.Close(logFlushTimeout)
}

// Package daemon wires the parts of one VM's process together with fx, starts them in order and
// stops them without cutting a request.
package daemon

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/fx"

	"github.com/mallowlink/mallowlink/pkg/budget"
	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/bundle/rollout"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/owner"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/quota"
	"github.com/mallowlink/mallowlink/pkg/settings"
	"github.com/mallowlink/mallowlink/pkg/suspect"
)

const (
	// startTimeout bounds the start of all parts.
	startTimeout = 15 * time.Second
	// stopGrace is added to the drain time for closing what is left.
	stopGrace = 10 * time.Second
)

// Addresses are where a daemon listens.
type Addresses struct {
	Callers string
	Peer    string
	Admin   string
}

// Daemon is one VM's process.
type Daemon struct {
	app       *fx.App
	addresses Addresses
	ready     func() error
	process   *process
}

// New builds a daemon that logs to out, and binds its listeners. Nothing runs until Start.
func New(s settings.Settings, out io.Writer) (*Daemon, error) {
	d := &Daemon{}
	d.app = fx.New(
		fx.Supply(s),
		fx.Provide(func() io.Writer { return out }),
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.Timeouts.BalancerWait+s.Timeouts.Drain+stopGrace),
		providers(),
		fx.Invoke(connectListeners, registerServices, watchBundle, startProcess),
		fx.Invoke(d.attach),
	)
	if err := d.app.Err(); err != nil {
		return nil, errors.Wrap(err, "daemon")
	}
	return d, nil
}

// providers lists the constructors of all parts.
func providers() fx.Option {
	return fx.Provide(
		newIdentity, newListeners, newLogger, newMetrics, newBackground,
		newPeerTLS, newCallerTLS, newPools, newPeerServer,
		newTable, newObjectStore, newVMLister, newConnector,
		newMembership, newFollower, newListenerSet, newLeases,
		newQuotas, newBudgets, newSuspectTable, newAnnouncer,
		newOwner, newDirectory, newLedger, newMemory, newRequests, newHandler,
		newAdmin, newProcess,
	)
}

func (d *Daemon) attach(l *listeners, p *process) {
	d.addresses = Addresses{
		Callers: l.Callers.Addr().String(),
		Peer:    l.Peer.Addr().String(),
		Admin:   l.Admin.Addr().String(),
	}
	d.process = p
	d.ready = p.ready
}

// Addresses returns where the daemon listens.
func (d *Daemon) Addresses() Addresses { return d.addresses }

// Ready says why the daemon cannot answer callers yet, or nil.
func (d *Daemon) Ready() error { return d.ready() }

// Start starts every part.
func (d *Daemon) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.app.StartTimeout())
	defer cancel()
	return d.app.Start(ctx)
}

// Stop drains the daemon and ends it. When ctx ends first, what still runs is cut.
func (d *Daemon) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.app.StopTimeout())
	defer cancel()
	return d.app.Stop(ctx)
}

// Failed is closed when a part has failed and the daemon must be stopped.
func (d *Daemon) Failed() <-chan struct{} { return d.process.failed }

// connectListeners tells every part that acts under leases of leases gained and lost.
func connectListeners(set *listenerSet, o *owner.Owner, q quotas, b budgets) {
	set.parts = []lease.Listener{o, q.home, b.home}
	set.state = q.home.State
}

// registerServices offers this VM's services to the other VMs.
func registerServices(server *peer.Server, id identity, members *membership.Registry, leases *lease.Manager, follower *rollout.Follower, q quotas, b budgets, o *owner.Owner, table *suspect.Table) error {
	services := []struct {
		name     string
		receiver any
	}{
		{membership.ServiceName, members.Service()},
		{lease.ServiceName, leases.Service()},
		{rollout.ServiceName, follower.Service()},
		{quota.ServiceName, quota.NewService(q.home, q.holder)},
		{budget.ServiceName, budget.NewService(b.home, b.holder)},
		{owner.ServiceName, owner.NewService(o, id.Incarnation)},
		{suspect.ServiceName, suspect.NewService(table)},
	}
	for _, service := range services {
		if err := server.Register(service.name, service.receiver); err != nil {
			return err
		}
	}
	return nil
}

// watchBundle passes a new bundle on and completes what heartbeats say.
func watchBundle(members *membership.Registry, leases *lease.Manager, follower *rollout.Follower, o *owner.Owner, p *process) {
	members.SetStatus(func() membership.Status {
		storeDown, leaseSeen, claims := leases.Status()
		return membership.Status{
			Draining:      p.draining.Load(),
			BundleVersion: follower.Version(),
			StoreDown:     storeDown,
			LeaseSeen:     leaseSeen,
			Claims:        claims,
		}
	})
	members.OnChange(leases.Wake)
	follower.OnChange(o.BundleChanged)
	follower.OnChange(func(*bundle.Bundle) { leases.Wake() })
}

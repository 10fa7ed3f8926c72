// Package daemon builds the components of one VM's process with fx, starts them in order, and drains
// them when it stops, so that requests can end first.
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
	// startTimeout bounds the start of all components.
	startTimeout = 15 * time.Second
	// stopGracePeriod is added to the balancer wait and the drain timeout, for closing the components
	// afterwards.
	stopGracePeriod = 10 * time.Second
)

// Addresses are the addresses, as IP and port, that a daemon listens on for callers, other VMs and
// operators.
type Addresses struct {
	Callers string
	Peer    string
	Admin   string
}

// Daemon is the process that runs on one VM.
type Daemon struct {
	app       *fx.App
	addresses Addresses
	ready     func() error
	process   *process
}

// New builds a daemon that logs to out, and binds its listeners. No component runs before Start.
func New(s settings.Settings, out io.Writer) (*Daemon, error) {
	d := &Daemon{}
	d.app = fx.New(
		fx.Supply(s),
		fx.Provide(func() io.Writer { return out }),
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.Timeouts.BalancerWait+s.Timeouts.Drain+stopGracePeriod),
		providers(),
		fx.Invoke(connectLeaseListeners, registerServices, connectCallbacks, startProcess),
		fx.Invoke(d.attach),
	)
	if err := d.app.Err(); err != nil {
		return nil, errors.Wrap(err, "build daemon")
	}
	return d, nil
}

// providers returns the constructors of all components.
func providers() fx.Option {
	return fx.Provide(
		newIdentity, newListeners, newLogger, newMetrics, newBackgroundContext,
		newPeerTLS, newCallerTLS, newPools, newPeerServer,
		newTable, newObjectStore, newVMLister, newConnector,
		newMembership, newFollower, newLeaseListeners, newLeases,
		newQuotas, newBudgets, newSuspectTable, newAnnouncer,
		newOwner, newDirectory, newLedger, newMemoryBudget, newRequests, newHandler,
		newAdmin, newProcess,
	)
}

// attach is invoked by fx with the components that the methods of Daemon use.
func (d *Daemon) attach(l *listeners, p *process) {
	d.addresses = Addresses{
		Callers: l.Callers.Addr().String(),
		Peer:    l.Peer.Addr().String(),
		Admin:   l.Admin.Addr().String(),
	}
	d.process = p
	d.ready = p.ready
}

// Addresses returns the addresses that the daemon listens on, with the actual ports.
func (d *Daemon) Addresses() Addresses { return d.addresses }

// Ready returns nil if the daemon can serve callers, otherwise an error with the reason.
func (d *Daemon) Ready() error { return d.ready() }

// Start starts all components.
func (d *Daemon) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.app.StartTimeout())
	defer cancel()
	return d.app.Start(ctx)
}

// Stop drains the daemon and closes all components. If ctx ends before the daemon is drained, the
// requests that still run are cut.
func (d *Daemon) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.app.StopTimeout())
	defer cancel()
	return d.app.Stop(ctx)
}

// Failed returns a channel that is closed when a component has failed and the daemon must be stopped.
func (d *Daemon) Failed() <-chan struct{} { return d.process.failed }

// connectLeaseListeners sets the components that are notified of leases gained and lost, and the source of
// the state that is passed on to the next holder of a lease.
func connectLeaseListeners(set *leaseListeners, o *owner.Owner, q quotas, b budgets) {
	set.listeners = []lease.Listener{o, q.home, b.home}
	set.state = q.home.State
}

// registerServices registers the RPC services that this VM provides to the other VMs.
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

// connectCallbacks sets the source of the status that heartbeats carry. It has the lease manager woken
// by membership changes, and the owner and the lease manager notified of a new bundle.
func connectCallbacks(members *membership.Registry, leases *lease.Manager, follower *rollout.Follower, o *owner.Owner, p *process) {
	members.SetStatus(func() membership.Status {
		s := membership.Status{Draining: p.draining.Load(), BundleVersion: follower.Version()}
		leases.AddStatus(&s)
		return s
	})
	members.OnChange(leases.Wake)
	follower.OnChange(o.BundleChanged)
	follower.OnChange(func(*bundle.Bundle) { leases.Wake() })
}

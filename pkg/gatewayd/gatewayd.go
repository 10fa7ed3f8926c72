// Package gatewayd wires the parts of a process that dispatches callers' requests directly to
// endpoints, starts them in order and stops them without cutting a request.
package gatewayd

import (
	"context"
	"io"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/engine"
	"github.com/mallowlink/mallowlink/pkg/follow"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/suspect"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// Platform is what the process asks of the platform that it runs on.
type Platform struct {
	// Operator holds what the operator writes, Endpoints what the endpoints say of themselves.
	Operator, Endpoints platform.Feed
	// Fleet is a table of mallowlink's own, for leases.
	Fleet follow.FeedTable
	// DecodeOperator reads a row of the operator.
	DecodeOperator func(key string, data []byte) (OperatorRow, error)
	// DecodeEndpoint reads a row of an endpoint.
	DecodeEndpoint func(key string, data []byte) (roster.Endpoint, error)
	Dialect        dialect.Dialect
	// Engines returns the control calls of engines, made over the client.
	Engines func(client *upstream.Client) engine.Engines
	// Probes asks endpoints whether they live, over the client. groups returns what is known of an endpoint group.
	Probes func(client *upstream.Client, groups func(name string) (bundle.Group, bool)) suspect.Prober
}

// OperatorRow is what one row of the operator holds. Fields that it does not speak of are nil.
type OperatorRow struct {
	Config  *bundle.Bundle
	Version *roster.Adapter
}

// Connect returns the platform's services as the settings name them.
type Connect func(s Settings, registry metrics.Registry) Platform

// Daemon is the process.
type Daemon struct {
	app     *fx.App
	process *process
}

// Options are what a daemon works with.
type Options struct {
	// Load reads the settings, at the start and when they may have changed.
	Load    Load
	Connect Connect
	// Log receives the log.
	Log io.Writer
}

// New builds a daemon and binds its listeners. Nothing runs until Start.
func New(o Options) (*Daemon, error) {
	s, err := o.Load()
	if err != nil {
		return nil, err
	}
	d := &Daemon{}
	d.app = fx.New(
		fx.Supply(s, o.Load, o.Connect),
		fx.Provide(func() io.Writer { return o.Log }),
		fx.NopLogger,
		fx.StopTimeout(s.Bounds.Grace),
		fx.Provide(
			newIdentity, newLog, newLiveSettings, metrics.NewRegistry, newPlatform, newBackground, newListeners,
			newFleetView, newUpdateLog, newRelay, newUpstream,
			newPeers, newCoordination, newAllowances, newOrders, newDispatcher, newSuspects, newGateway, newServers, newProcess,
		),
		fx.Invoke(connectComponents, registerServices),
		fx.Populate(&d.process),
		fx.Invoke(func(p *process, lc fx.Lifecycle) {
			lc.Append(fx.Hook{
				OnStart: func(context.Context) error {
					p.start()
					return nil
				},
				OnStop: p.stop,
			})
		}),
	)
	if err := d.app.Err(); err != nil {
		return nil, errors.Wrap(err, "gateway")
	}
	return d, nil
}

// Reload reads the settings again.
func (d *Daemon) Reload() { d.process.components.LiveSettings.requestReload() }

// Start starts every part.
func (d *Daemon) Start(ctx context.Context) error { return d.app.Start(ctx) }

// Stop drains the process and ends it.
func (d *Daemon) Stop(ctx context.Context) error { return d.app.Stop(ctx) }

// Failed is closed when a part has failed and the process must be stopped.
func (d *Daemon) Failed() <-chan struct{} { return d.process.failed }

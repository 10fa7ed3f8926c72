// Package gatewayd builds the gateway process that dispatches callers' requests directly to endpoints: it wires
// the components together, starts them in order, and stops them without interrupting requests. A steward is a
// VM that holds leases and reads the platform's store on behalf of the VMs that poll it.
package gatewayd

import (
	"context"
	"io"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
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

// Platform holds the services that the process needs from the platform that it runs on.
type Platform struct {
	// Operator is the feed of the rows that the operator writes, Endpoints the feed of the rows that endpoints
	// report about themselves.
	Operator, Endpoints platform.Feed
	// FleetTable is mallowlink's own table, shared by all VMs. It holds the leases and the suspect requests.
	FleetTable follow.FeedTable
	// DecodeOperator decodes a row written by the operator.
	DecodeOperator func(key string, data []byte) (OperatorRow, error)
	// DecodeEndpoint decodes a row reported by an endpoint.
	DecodeEndpoint func(key string, data []byte) (roster.Endpoint, error)
	Dialect        dialect.Dialect
	// NewEngines returns the engines' control API, called over client.
	NewEngines func(client *upstream.Client) engine.Engines
	// NewProber returns a prober that checks over client whether endpoints are alive. groups returns an endpoint
	// group's configuration.
	NewProber func(client *upstream.Client, groups func(name string) (bundle.Group, bool)) suspect.Prober
}

// OperatorRow is the content of one row written by the operator. A field is nil or empty if the row does not contain it.
type OperatorRow struct {
	Config         *bundle.Bundle
	AdapterVersion *roster.Adapter
	// EvacuatedDomain is the failure domain that is evacuated as long as the row exists; empty if the row contains none.
	EvacuatedDomain string
}

// Connect returns clients of the platform's services at the addresses in the settings.
type Connect func(s Settings, registry metrics.Registry, log logrus.FieldLogger) Platform

// Daemon is the gateway process.
type Daemon struct {
	app     *fx.App
	process *process
}

// Options hold the dependencies of a daemon.
type Options struct {
	// Load reads the settings. It is called at the start, after Reload, and periodically.
	Load    Load
	Connect Connect
	// Log is the writer that log lines go to.
	Log io.Writer
}

// New builds a daemon and binds its listeners. Nothing runs until Start is called.
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
			newFleetView, newUpdateLog, newRelay, newRateLimiter, newUpstream,
			newPeers, newCoordination, newAllowances, newOrders, newDispatcher, newSuspects, newStreams, newGateway, newServers, newProcess,
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
		return nil, errors.Wrap(err, "build gateway")
	}
	return d, nil
}

// Reload makes the daemon read the settings again at once.
func (d *Daemon) Reload() { d.process.components.LiveSettings.requestReload() }

// Start starts all components.
func (d *Daemon) Start(ctx context.Context) error { return d.app.Start(ctx) }

// Stop drains the process and closes all components.
func (d *Daemon) Stop(ctx context.Context) error { return d.app.Stop(ctx) }

// Failed returns a channel that is closed when a component has failed and the process must be stopped.
func (d *Daemon) Failed() <-chan struct{} { return d.process.failed }

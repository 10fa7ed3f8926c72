package daemon

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
	endpointrest "github.com/mallowlink/mallowlink/pkg/endpoint/rest"
	"github.com/mallowlink/mallowlink/pkg/platform"
	platformrest "github.com/mallowlink/mallowlink/pkg/platform/rest"
	"github.com/mallowlink/mallowlink/pkg/settings"
)

func platformOptions(s settings.Settings, registry metrics.Registry) platformrest.Options {
	return platformrest.Options{Timeout: s.Timeouts.Platform, Registry: registry}
}

func newTable(s settings.Settings, registry metrics.Registry) platform.Table {
	return platformrest.NewTable(s.Platform.Table, platformOptions(s, registry))
}

func newObjectStore(s settings.Settings, registry metrics.Registry) platform.ObjectStore {
	return platformrest.NewObjectStore(s.Platform.Objects, platformOptions(s, registry))
}

func newVMLister(s settings.Settings, registry metrics.Registry) platform.VMLister {
	return platformrest.NewVMLister(s.Platform.VMs, platformOptions(s, registry))
}

// connector implements owner.Connector. It keeps one client per endpoint URL and is safe for concurrent
// use.
type connector struct {
	options endpointrest.Options

	mu sync.Mutex
	// engines and services are guarded by mu.
	engines  map[string]endpoint.Engine
	services map[string]endpoint.Service
}

func newConnector(s settings.Settings) *connector {
	return &connector{
		options:  endpointrest.Options{MaxResponse: s.Limits.Answer},
		engines:  map[string]endpoint.Engine{},
		services: map[string]endpoint.Service{},
	}
}

// Engine implements owner.Connector. Responses of engines must echo the request identifier.
func (c *connector) Engine(spec bundle.Endpoint) endpoint.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	engine, ok := c.engines[spec.URL]
	if !ok {
		options := c.options
		options.RequireRequestID = true
		engine = endpointrest.NewEngine(spec.URL, options)
		c.engines[spec.URL] = engine
	}
	return engine
}

// Service implements owner.Connector.
func (c *connector) Service(spec bundle.Endpoint) endpoint.Service {
	c.mu.Lock()
	defer c.mu.Unlock()
	service, ok := c.services[spec.URL]
	if !ok {
		service = endpointrest.NewService(spec.URL, c.options)
		c.services[spec.URL] = service
	}
	return service
}

// Package gateway accepts requests of callers and sends each one directly to an endpoint. It checks the
// caller's key, holds the client account to its limit, and passes the endpoint's response on to the caller.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/allowance"
	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/memory"
	"github.com/mallowlink/mallowlink/pkg/retry"
	"github.com/mallowlink/mallowlink/pkg/roster"
	"github.com/mallowlink/mallowlink/pkg/route"
	"github.com/mallowlink/mallowlink/pkg/upstream"
)

// Rules are the dynamic configuration in force and the routing table made from it. They are immutable.
type Rules struct {
	Bundle *bundle.Bundle
	Routes *route.Table
	// StreamLife is how long a resumable stream may be taken up after it was begun, by group; groups without such streams are
	// missing.
	StreamLife map[string]time.Duration
	// longestLimit is the longest time limit of the bundle.
	longestLimit time.Duration
}

// NewRules returns the rules of a bundle.
func NewRules(b *bundle.Bundle) *Rules {
	return &Rules{Bundle: b, Routes: route.NewTable(b), StreamLife: streamLife(b), longestLimit: longestLimit(b)}
}

// Request describes a request to the dispatcher.
type Request struct {
	// ID is the caller's identifier of this attempt.
	ID      string
	Group   bundle.Group
	Route   bundle.Route
	Account string
	Terms   dialect.RequestInfo
	// Urgency ranks the request; 0 is first.
	Urgency int
	// OverLimit says that the account is over its limit, but within the tolerance: the request yields to all
	// others.
	OverLimit bool
	Arrived   time.Time
	// Deadline is when the response is of no more use to the caller.
	Deadline time.Time
	// Exclude lists the endpoints that have failed this request or must not get it.
	Exclude []string
	// Continues says that the request is for a stream that may run only at endpoints of the version Software: it has begun there, or
	// all VMs will take it for one that has.
	Continues bool
	Software  string
}

// MayGoTo reports whether the request may go to endpoints of a software version.
func (r Request) MayGoTo(software string) bool { return !r.Continues || software == r.Software }

// Outcome is the outcome of a request at an endpoint.
type Outcome struct {
	// Unreachable says that no connection could be made.
	Unreachable bool
	// Rejected says that the endpoint did not run the request, AdapterMissing that this was because it did not
	// hold the adapter.
	Rejected       bool
	AdapterMissing bool
	// Pause is how long the endpoint wants no further requests from this VM.
	Pause time.Duration
	// Failed says that the endpoint failed the request: no response, an invalid or truncated one, or an error
	// status.
	Failed bool
	// Canceled says that the caller left or the time limit ended first: nothing is known about the endpoint.
	Canceled bool
	// FirstByte is the time from sending the request to the first part of the response; 0 if there was none.
	FirstByte time.Duration
	// Ran is the time from the first part of a stream to its end, and Events the number of its events. They are 0
	// unless the endpoint has sent the whole stream.
	Ran    time.Duration
	Events int
}

// Placement is the assignment of a request to an endpoint.
type Placement struct {
	Endpoint roster.Endpoint
	// AdapterVersion is the version to request; 0 for any.
	AdapterVersion int
	// Started is called when the first part of the response has arrived, Done when the request has ended at the
	// endpoint. Each is called at most once, Started before Done.
	Started func(after time.Duration)
	Done    func(Outcome)
	// Progress is called between Started and Done when further parts of a stream have arrived, at most once
	// every progressInterval.
	Progress func()
}

// Dispatcher chooses the endpoints of requests.
type Dispatcher interface {
	// Place returns a placement for the request. It may take as long as loading an adapter. The error is a
	// *result.Error of outcome not-run.
	Place(ctx context.Context, req Request) (Placement, error)
}

// Admitter holds client accounts to their limits.
type Admitter interface {
	// Admit spends tokens of the account. The error is a *result.Error of outcome not-run.
	Admit(ctx context.Context, account string, tokens int64) (allowance.Charge, error)
	// Return gives back the tokens of a request that has not run.
	Return(c allowance.Charge)
}

// Config holds the dependencies and settings of a Gateway.
type Config struct {
	// Rules returns the configuration in force; nil if there is none yet.
	Rules func() *Rules
	// KeysValid reports whether the configuration is known to be recent enough to check keys against it.
	KeysValid func() bool
	// Updates describes the updates by which this VM acts now.
	Updates    func() Updates
	Dialect    dialect.Dialect
	Quota      Admitter
	Dispatcher Dispatcher
	Upstream   *upstream.Client
	Suspects   Suspects
	Streams    Streams
	// Memory bounds the memory for request bodies and responses.
	Memory *memory.Budget
	// Retries returns the retry budget of a group.
	Retries func(group string) *retry.Window
	Metrics metrics.Registry
	Log     logrus.FieldLogger
}

// Updates describes the updates by which a VM acts: the operator's rows and the list of endpoints.
type Updates struct {
	// Source is the VM from which they come, empty if this VM reads the store for itself.
	Source string
	// List is the version of the list of endpoints.
	List uint64
	// RulesAge and ListAge are how old the operator's rows and the list may be.
	RulesAge, ListAge time.Duration
}

// Gateway is the HTTP handler for the requests of callers. It is safe for concurrent use.
type Gateway struct {
	cfg       Config
	meters    meters
	responses *responseMemory
	slow      *slowCallers
	draining  atomic.Bool
	running   atomic.Int64
	// admitting ends when requests that have not been sent to an endpoint must be refused, working when all requests must
	// end.
	admitting, working          context.Context
	stopAdmitting, interruptAll context.CancelFunc
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	g := &Gateway{cfg: cfg, meters: newMeters(cfg.Metrics), responses: newResponseMemory(cfg.Memory)}
	g.slow = &slowCallers{
		delay: slowCallerDelay, interval: stallCheckInterval, memory: g.responses.all.Share(slowCallerMemoryShare),
		stallLimit: stallLimit,
	}
	metrics.NewRegisteredFunctionalGauge(metricReadAheadMemory, cfg.Metrics, g.slow.memory.Used)
	g.admitting, g.stopAdmitting = context.WithCancel(context.Background())
	g.working, g.interruptAll = context.WithCancel(context.Background())
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	newCall(g, w, r).run()
}

// Drain makes the gateway close each connection after its next response.
func (g *Gateway) Drain() { g.draining.Store(true) }

// StopAdmitting makes the gateway refuse all requests that have not been sent to an endpoint yet, also those that wait for
// one or arrive later: this VM may not live until they would end, and another VM can take them.
func (g *Gateway) StopAdmitting() { g.stopAdmitting() }

// Interrupt ends all requests. Those whose callers have got no part of a response get an error.
func (g *Gateway) Interrupt() {
	g.stopAdmitting()
	g.interruptAll()
}

// Running returns the number of requests in progress.
func (g *Gateway) Running() int64 { return g.running.Load() }

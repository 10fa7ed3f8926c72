// Package gateway takes callers' requests and dispatches each one directly to an endpoint. It checks
// the key, holds the client account to its limit, and passes the answer on as the endpoint writes it.
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

// Rules are the dynamic configuration in force. They are immutable.
type Rules struct {
	Bundle *bundle.Bundle
	Routes *route.Table
}

// NewRules returns the rules of a bundle.
func NewRules(b *bundle.Bundle) *Rules { return &Rules{Bundle: b, Routes: route.NewTable(b)} }

// Request describes a request to the dispatcher.
type Request struct {
	ID      string
	Group   bundle.Group
	Route   bundle.Route
	Account string
	Terms   dialect.Terms
	// Urgency ranks the request; 0 is first.
	Urgency int
	// OverLimit says that the account is beyond its limit, within what is tolerated: the request yields to
	// all others.
	OverLimit bool
	Arrived   time.Time
	// Deadline is when the answer is of no more use.
	Deadline time.Time
	// Exclude lists the endpoints that have failed this request.
	Exclude []string
}

// Outcome says how an endpoint fared with a request.
type Outcome struct {
	// Unreachable says that no connection could be made.
	Unreachable bool
	// Rejected says that the endpoint did not run the request, AdapterMissing that it did not hold the
	// adapter.
	Rejected       bool
	AdapterMissing bool
	// Pause is how long the endpoint wants no further requests from this VM.
	Pause time.Duration
	// Failed says that the endpoint failed the request: no answer, a broken one, or an error status.
	Failed bool
	// Canceled says that the caller left or its time ended first: nothing is known of the endpoint.
	Canceled bool
	// FirstByte is the time from sending to the first part of the answer; 0 if there was none.
	FirstByte time.Duration
}

// Placement is an endpoint that a request may be sent to.
type Placement struct {
	Endpoint roster.Endpoint
	// AdapterVersion is the version to ask for; 0 for any.
	AdapterVersion int
	// Started is called when the first part of the answer has arrived, Done when the request has ended
	// there. Both are called once at most, Started before Done.
	Started func(after time.Duration)
	Done    func(Outcome)
	// Progress is called between Started and Done when further parts of a stream have arrived, not more often
	// than every progressStep.
	Progress func()
}

// Dispatcher chooses endpoints.
type Dispatcher interface {
	// Placement returns an endpoint for the request, which may take as long as an adapter takes to load.
	// The error is a *result.Error of outcome not-run.
	Place(ctx context.Context, w Request) (Placement, error)
}

// Admitter holds client accounts to their limits.
type Admitter interface {
	// Admit spends tokens of the account. The error is a *result.Error of outcome not-run.
	Admit(ctx context.Context, account string, tokens int64) (allowance.Charge, error)
	// Return gives back the tokens of a request that has not run.
	Return(c allowance.Charge)
}

// Config holds what a gateway works with.
type Config struct {
	// Rules returns the configuration in force, nil if there is none yet.
	Rules func() *Rules
	// KeysValid reports whether the configuration is known to be recent enough to serve keys by.
	KeysValid func() bool
	// RulesAge returns how old the configuration may be.
	RulesAge   func() time.Duration
	Dialect    dialect.Dialect
	Quota      Admitter
	Dispatcher Dispatcher
	Upstream   *upstream.Client
	Suspects   Suspects
	// Memory bounds what is held of bodies and answers.
	Memory *memory.Budget
	// Retries returns the bound of repeats to a group.
	Retries func(group string) *retry.Window
	Metrics metrics.Registry
	Log     logrus.FieldLogger
}

// Gateway is the handler of callers' requests.
type Gateway struct {
	cfg      Config
	meters   meters
	draining atomic.Bool
	running  atomic.Int64
}

// New returns a gateway.
func New(cfg Config) *Gateway {
	return &Gateway{cfg: cfg, meters: newMeters(cfg.Metrics)}
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

// Drain makes the gateway close each connection after its next answer.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Running returns the number of requests under way.
func (g *Gateway) Running() int64 { return g.running.Load() }

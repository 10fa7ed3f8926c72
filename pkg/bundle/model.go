// Package bundle holds the dynamic configuration of the fleet: adapters, routes, client accounts,
// keys, limits, endpoint groups and budgets, as one versioned and signed document.
package bundle

import (
	"time"
)

// Class is the priority class of a request.
type Class string

// Priority classes.
const (
	Interactive Class = "interactive"
	Batch       Class = "batch"
)

// GroupKind tells model engines from plain services.
type GroupKind string

// Kinds of endpoint group.
const (
	KindEngine  GroupKind = "engine"
	KindService GroupKind = "service"
)

// MaxGroupEndpoints bounds the endpoints of one group, which one VM owns as a whole.
const MaxGroupEndpoints = 24

// Bundle is the whole dynamic configuration at one version. It is immutable once built.
type Bundle struct {
	// Version is 1 for the first bundle and one more than its predecessor's after that.
	Version uint64
	// Previous is the hexadecimal SHA-256 of the predecessor's canonical form; empty at version 1.
	Previous  string
	Fleet     Fleet
	Models    map[string]Model
	Groups    map[string]Group
	Endpoints map[string]Endpoint
	Adapters  map[string]Adapter
	Routes    map[string]Route
	Accounts  map[string]Account
	Keys      map[string]Key
	// Callers bounds what callers may send to VMs that dispatch directly.
	Callers CallerLimits
	// Warnings lists values that are out of range and were bounded or ignored.
	Warnings []string

	index *index
}

// CallerLimits bound what a caller may send, and how long it may take. A zero value sets no bound.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time from a request's first byte to the end of its header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
}

// Fleet holds the budgets that count across all VMs.
type Fleet struct {
	// LoadsPerSecond bounds the adapter loads started a second.
	LoadsPerSecond float64
	// LoadsAtOnce bounds the adapter loads running at the same time.
	LoadsAtOnce int
	// TransfersInFlight bounds the weight transfers in flight.
	TransfersInFlight int
	// RetryPercent bounds re-dispatched requests as a share of all requests, in percent.
	RetryPercent float64
}

// Model is a base model.
type Model struct {
	Name string
	// MaxTokens bounds the tokens of one answer; requests that name no bound get it.
	MaxTokens int
	// PrefixBytes is the length of prompt over which prefix affinity is computed.
	PrefixBytes int
}

// Group is a set of endpoints that one VM owns at a time.
type Group struct {
	Name string
	Kind GroupKind
	// Model is the base model of an engine group; empty for services.
	Model string
	// QueueLimit bounds the requests that wait for the group.
	QueueLimit int
	// HealthPath answers 200 while an endpoint of the group considers itself healthy.
	HealthPath string
	// MaxConnections bounds the connections that one endpoint takes from all VMs; 0 means no bound.
	MaxConnections int
	// ColdDuration is how long an endpoint of the group is cold after it has started while there is traffic, and ColdRate
	// the number of requests per second that a cold endpoint accepts from all VMs together. A rate of 0 stands for no
	// limit.
	ColdDuration time.Duration
	ColdRate     float64
	// Engine holds what the engines of the group have in common; nil for services.
	Engine *Engine
}

// Engine holds what the engines of a group have in common.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is the memory for prompts and answers, in tokens.
	CacheTokens int
	// MaxAdapters is the number of adapters that an engine holds at once.
	MaxAdapters int
	// ModelLoad is how long the base model takes to load.
	ModelLoad time.Duration
}

// Endpoint is one model engine or plain service.
type Endpoint struct {
	Name          string
	Group         string
	URL           string
	FailureDomain string
	// Slots is the number of adapters that the engine holds at once; 0 for services.
	Slots int
	// MaxRunning bounds the requests that the endpoint runs at once.
	MaxRunning int
	// ChecksFencing says that the endpoint refuses orders with an old fencing number.
	ChecksFencing bool
	// Leaving says that the endpoint gets no new work.
	Leaving bool
}

// Adapter is a LoRA adapter.
type Adapter struct {
	Name     string
	Model    string
	Versions []string
	// Default is the version that a request without a version gets.
	Default string
	// Accounts names the client accounts that may use the adapter.
	Accounts []string
}

// Route maps callers' requests to a group of plain services.
type Route struct {
	Name   string
	Method string
	// Path is a path template as gorilla/mux takes it.
	Path  string
	Group string
	// Open says that no key is needed.
	Open bool
	// Accounts names the client accounts that may use a keyed route; empty means every account.
	Accounts   []string
	Idempotent bool
	Class      Class
	// Cost is the tokens that one call is charged.
	Cost    int64
	Timeout time.Duration

	// Host and Prefix select the requests of a route that is dispatched directly: those to the host
	// whose path begins with the prefix. The longest prefix wins. Method and Path are empty then.
	Host   string
	Prefix string
	// Backends share the requests of the route by weight. If empty, Group gets all of them.
	Backends []Backend
	// Stream says that answers are server-sent events.
	Stream bool
	// Resumable says that a stream can be resumed at another endpoint after its last event.
	Resumable bool
	// MaxAttempts bounds the endpoints that one request is sent to; 0 means 1.
	MaxAttempts int
	// Objective is the time within which an answer, or the first event of a stream, should arrive.
	Objective time.Duration
	// GapObjective is the longest time between two events of a stream that is still on time.
	GapObjective time.Duration
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int
}

// Backend is a group that gets a share of a route's requests.
type Backend struct {
	Group  string
	Weight float64
}

// Account is a client account.
type Account struct {
	Name string
	// Rate is the tokens that the account may use a second, fleet-wide.
	Rate float64
	// Burst is the tokens that it may use at once, fleet-wide.
	Burst float64
	// Weight is the account's share under contention.
	Weight float64
	// Priority ranks the account's requests before that of their route; 0 is the most urgent.
	Priority int
	// HasPriority says that Priority is set.
	HasPriority bool
	// CallCost is the tokens that a request is charged which states no token counts.
	CallCost int64
	// PerRequest says that Rate and Burst count requests, not tokens.
	PerRequest bool
}

// Key maps the hash of a caller's key to its client account.
type Key struct {
	Name    string
	Account string
	// SHA256 is the hexadecimal SHA-256 of the key.
	SHA256 string
}

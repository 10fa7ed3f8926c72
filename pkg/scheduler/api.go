// Package scheduler decides, for one group of endpoints, which request runs next and on which endpoint,
// and which adapter is loaded next, where, and which adapter is evicted for it. The package is pure: the
// owner of the group passes in time and randomness, and the package does no I/O. A Scheduler is not safe
// for concurrent use.
//
// The owner is the VM that holds the lease on the group. It reports arrivals, the ends of requests, the
// results of loads, and load reports to the scheduler, and calls Decide after each of these events.
package scheduler

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/work"
)

// Item describes one attempt to run a request.
type Item struct {
	ID      work.AttemptID
	Account string
	Weight  float64
	Class   bundle.Class
	// Adapter is the zero value for requests to plain services.
	Adapter    endpoint.AdapterVersion
	PrefixHash uint64
	Tokens     int64
	Deadline   time.Time
	Exclude    []string
	// Isolated restricts the item to endpoints on which no other isolated item runs.
	Isolated bool
	// Endpoint restricts the item to one endpoint, in order to resume a stream there. It is empty for
	// all other items.
	Endpoint string
}

// EndpointSpec is the static description of an endpoint.
type EndpointSpec struct {
	Name       string
	Slots      int
	MaxRunning int
	// Service marks a plain service, which uses no adapters.
	Service bool
	// ChecksFencing says that the endpoint refuses orders with an old fencing number.
	ChecksFencing bool
	Leaving       bool
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of action.
const (
	// Dispatch starts item ID on Endpoint now.
	Dispatch ActionKind = iota + 1
	// Load loads Adapter on Endpoint. If Victim is not zero, the owner unloads Victim first.
	Load
	// Unload unloads a replica that is no longer needed.
	Unload
	// Refuse ends item ID with Err. The item has not run.
	Refuse
	// SetRole sets the role of Endpoint to the Role field.
	SetRole
)

// Action is a decision that the owner carries out.
type Action struct {
	Kind     ActionKind
	ID       work.AttemptID
	Endpoint string
	Adapter  endpoint.AdapterVersion
	Victim   endpoint.AdapterVersion
	Role     endpoint.Role
	Err      *result.Error
}

// LoadPermits gives access to the owner's share of the fleet-wide load budget.
type LoadPermits interface {
	// TryTake takes a permit for one load at now and reports whether it got one. The owner releases
	// the permit when the load has ended.
	TryTake(now time.Time) bool
}

// Scheduler plans the work of one group of endpoints. The owner of the group reports events to it.
// Decide returns the actions that follow from all events so far, and the owner carries out every one
// of them.
type Scheduler interface {
	// SetEndpoints replaces the endpoints of the group. An endpoint that is leaving gets no new work.
	SetEndpoints(now time.Time, specs []EndpointSpec)
	// Enqueue adds an item to the queue, or refuses it with an error whose outcome is not-run.
	Enqueue(now time.Time, item Item) *result.Error
	// Remove removes an item from the queue. It reports false if the item is no longer queued.
	Remove(now time.Time, id work.AttemptID) bool
	// Finished reports that a dispatched item has ended. The parameter used is the number of tokens
	// that the item really cost. A non-nil refused means that the endpoint did not run the item,
	// because it lacked the adapter or was busy.
	Finished(now time.Time, id work.AttemptID, used int64, refused error)
	// Loaded reports the result of a Load action.
	Loaded(now time.Time, endpoint string, adapter endpoint.AdapterVersion, err error)
	// Unloaded reports the result of an Unload action.
	Unloaded(now time.Time, endpoint string, adapter endpoint.AdapterVersion, err error)
	// Report applies a load report. A report of a new incarnation clears what the scheduler has
	// recorded of the endpoint.
	Report(now time.Time, endpoint string, report endpoint.LoadReport)
	// Unreachable reports that the endpoint does not respond or has crashed.
	Unreachable(now time.Time, endpoint string)
	// CacheEvents applies prefix cache events of the endpoint. With gap set, events before these were
	// lost.
	CacheEvents(now time.Time, endpoint string, events []endpoint.CacheEvent, gap bool)
	// TakenOver reports that orders and requests of a previous owner may still be in progress. Every
	// adapter that an endpoint reports counts as in use until a report taken after now shows that it
	// is idle. Unless previousGone is set, no adapter that was about to be evicted is given work on
	// endpoints that do not check fencing (see AvoidAdapter).
	TakenOver(now time.Time, previousGone bool)
	// AvoidAdapter prevents work for the adapter from being dispatched to the endpoint, and the
	// adapter from being loaded there, until AllowAdapter is called.
	AvoidAdapter(endpoint string, adapter endpoint.AdapterVersion)
	// AllowAdapter ends the effect of AvoidAdapter.
	AllowAdapter(endpoint string, adapter endpoint.AdapterVersion)
	// Decide returns the actions that are due at now.
	Decide(now time.Time) []Action
	// NextWake returns the time at which Decide must be called again if no event happens before, or
	// the zero time if there is none.
	NextWake() time.Time
	// Snapshot returns the state of queues, endpoints and adapters for the state dump.
	Snapshot(now time.Time) Snapshot
}

// Snapshot is the scheduler's state for the state dump.
type Snapshot struct {
	Queued    []QueueState    `json:"queued"`
	Endpoints []EndpointState `json:"endpoints"`
}

// QueueState describes the queued items of one client account and class.
type QueueState struct {
	Account string        `json:"account"`
	Class   bundle.Class  `json:"class"`
	Items   int           `json:"items"`
	Tokens  int64         `json:"tokens"`
	Oldest  time.Duration `json:"oldest_ns"`
}

// EndpointState describes one endpoint.
type EndpointState struct {
	Name        string         `json:"name"`
	State       string         `json:"state"`
	Incarnation string         `json:"incarnation"`
	Running     int            `json:"running"`
	Slots       int            `json:"slots"`
	Adapters    []AdapterState `json:"adapters"`
}

// AdapterState describes one adapter version on an endpoint.
type AdapterState struct {
	Adapter string  `json:"adapter"`
	State   string  `json:"state"`
	Running int     `json:"running"`
	Rate    float64 `json:"rate"`
}

// Package endpoint declares the interfaces through which mallowlink uses endpoints: model engines and
// plain services. Subpackage rest implements them over HTTP.
package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Errors that every implementation returns, possibly wrapped.
var (
	// ErrRefused is returned if no connection to the endpoint could be opened: it did not see the request.
	ErrRefused = errors.New("endpoint: connection refused")
	// ErrNotSent is returned if the context ended before any part of the request was sent. The endpoint ran
	// nothing, and the error says nothing about its health.
	ErrNotSent = errors.New("endpoint: not sent")
	// ErrNotLoaded is returned if the engine has not loaded the adapter version. It did not run the request.
	ErrNotLoaded = errors.New("endpoint: adapter version not loaded")
	// ErrBusy is returned if the endpoint refused the request for lack of capacity. It did not run the request.
	ErrBusy = errors.New("endpoint: busy")
	// ErrFenced is returned if the fencing number of an order is older than the newest that the engine has seen.
	ErrFenced = errors.New("endpoint: fencing number too old")
	// ErrInUse is returned if an adapter cannot be unloaded because running requests use it.
	ErrInUse = errors.New("endpoint: adapter in use")
	// ErrLoadFailed is returned if the engine could not load the adapter.
	ErrLoadFailed = errors.New("endpoint: load failed")
	// ErrNoSlot is returned if every adapter slot of the engine is taken.
	ErrNoSlot = errors.New("endpoint: no free slot")
	// ErrTruncated is returned if the connection ended, or an event was missing, before the end of the response. The
	// endpoint may have run the request.
	ErrTruncated = errors.New("endpoint: answer cut")
	// ErrNotFound is returned if the engine does not have, or no longer has, the request to resume or the KV cache
	// to export.
	ErrNotFound = errors.New("endpoint: request not known")
	// ErrMismatch is returned if the response carried the identifier of another request, or none although one
	// is required.
	ErrMismatch = errors.New("endpoint: answer belongs to another request")
	// ErrTooLarge is returned if the response, or one event of it, is larger than the limit.
	ErrTooLarge = errors.New("endpoint: answer too large")
)

// Role is the kind of work that a model engine is used for.
type Role string

// Roles of a model engine.
const (
	RoleServe   Role = "serve"
	RolePrefill Role = "prefill"
	RoleStandby Role = "standby"
)

// AdapterVersion identifies one version of one adapter. String returns its name at the engines.
type AdapterVersion struct {
	Adapter string
	Version string
}

// String returns the name under which an engine serves the adapter version.
func (a AdapterVersion) String() string { return a.Adapter + ":" + a.Version }

// Order authorizes a command that changes the state of an engine: load or unload an adapter, change the role,
// or import a KV cache.
type Order struct {
	// Holder is the VM that sends the order. It holds the lease on the endpoint's group.
	Holder string
	// Fencing is the fencing number of that lease. The engine refuses numbers older than the newest that it
	// has seen, so that a VM which has lost the lease cannot change the engine any more.
	Fencing uint64
}

// Request is one attempt to run a caller's request on an endpoint. The caller's key has been removed.
type Request struct {
	// ID identifies the attempt. The endpoint returns it in every response.
	ID     string
	Method string
	// Path is the request target, with query.
	Path   string
	Header http.Header
	Body   []byte
	// Stream is set if the response should be a stream of server-sent events.
	Stream bool
	// Priority is passed to model engines; lower numbers run first.
	Priority int
}

// Response is what an endpoint returns for a request. Its body is read piece by piece.
type Response interface {
	// Status returns the HTTP status of the response.
	Status() int
	// Header returns the header of the response, without hop-by-hop fields.
	Header() http.Header
	// Next returns the next piece: the data of one event for a stream, otherwise part of the body.
	// It returns io.EOF at the end of a complete response, and ErrTruncated if the response ended early.
	Next() ([]byte, error)
	// Close releases the connection.
	Close() error
}

// LoadReport is an engine's report of its load. It describes a moment in the past; see Age.
type LoadReport struct {
	// Incarnation changes when the engine restarts.
	Incarnation string
	// Age is how long before the response the report was made.
	Age time.Duration
	// Running and Waiting are numbers of requests.
	Running  int
	Waiting  int
	Role     Role
	Draining bool
	// Slots is the number of adapter slots, taken or free.
	Slots  int
	Loaded []LoadedAdapter
}

// LoadedAdapter is one loaded adapter version in a LoadReport.
type LoadedAdapter struct {
	AdapterVersion
	// Running is the number of requests that use the adapter version.
	Running int
}

// CacheEvent reports that an engine stored a prompt prefix in its KV cache or evicted it.
type CacheEvent struct {
	// Seq is the number of the event. Numbers increase and may have gaps.
	Seq uint64
	// Stored is set if the prefix was stored, not evicted.
	Stored  bool
	Adapter AdapterVersion
	// Prefix is the hash of the cached prompt prefix.
	Prefix uint64
}

// Service is an endpoint that runs requests.
type Service interface {
	// Do sends the request and returns once the status line and header of the response have arrived.
	Do(ctx context.Context, req Request) (Response, error)
}

// Engine is an endpoint that runs a model and can load adapters of it.
type Engine interface {
	Service
	// Resume continues the stream of request id at event number next. The first event has number 0, so
	// next is the number of events already received. Resume returns ErrNotFound if the engine no longer has the
	// request.
	Resume(ctx context.Context, id string, next uint64) (Response, error)
	// Cancel stops request id. It is not an error if the engine does not know the request.
	Cancel(ctx context.Context, id string) error
	// Load loads an adapter version. It is not an error if the version is loaded already.
	Load(ctx context.Context, order Order, adapter AdapterVersion) error
	// Unload unloads an adapter version. It is not an error if the version is not loaded.
	Unload(ctx context.Context, order Order, adapter AdapterVersion) error
	// SetRole changes the role of the engine.
	SetRole(ctx context.Context, order Order, role Role) error
	// Report returns the engine's load report.
	Report(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the cache events after number since, oldest first. Numbers may have gaps.
	CacheEvents(ctx context.Context, since uint64) ([]CacheEvent, error)
	// ExportKV returns the KV cache of the prompt prefix with the given hash, or ErrNotFound if the engine has none.
	ExportKV(ctx context.Context, prefix uint64) ([]byte, error)
	// ImportKV stores the KV cache of a prompt prefix that another engine exported.
	ImportKV(ctx context.Context, order Order, prefix uint64, data []byte) error
}

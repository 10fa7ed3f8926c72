// Package request drives callers' requests on the VM that received them (the entry). For each
// request it checks the key and the quota, writes the at-most-once record, sends attempts to the VM
// that owns an endpoint group (the owner), retries or resumes after failures, and delivers exactly
// one final answer or error. The states and transitions of a request are defined in request.chart.
package request

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/ledger"
	"github.com/mallowlink/mallowlink/pkg/quota"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/retry"
	"github.com/mallowlink/mallowlink/pkg/suspect"
	"github.com/mallowlink/mallowlink/pkg/work"
)

// Call is a caller's request after authentication. It does not contain the caller's API key.
type Call struct {
	ID      string
	Account string
	Weight  float64
	Class   bundle.Class
	// Route is the name of the route; it is part of the at-most-once record's key.
	Route string
	// Groups lists the endpoint groups that can serve the request in order of preference. It has at
	// least one element.
	Groups []string
	// Adapter is empty for requests to plain services, which are not model engines.
	Adapter    endpoint.AdapterVersion
	PrefixHash uint64
	// Tokens is the number of tokens charged on admission: those of the prompt plus the upper bound of
	// the answer.
	Tokens int64
	// PromptTokens is the part of Tokens that is due to the prompt.
	PromptTokens int64
	Idempotent   bool
	// IdempotencyKey is the Idempotency-Key that the caller sent with a non-idempotent request; empty
	// if it sent none.
	IdempotencyKey string
	// BodyHash is the hexadecimal SHA-256 of method, path and body.
	BodyHash    string
	Fingerprint uint64
	// RetryPercent is the fleet's retry budget in percent of all requests.
	RetryPercent float64
	Deadline     time.Time
	Endpoint     endpoint.Request
	// Authorized reports whether the caller's API key is still valid for the request.
	Authorized func() bool
}

// Sink delivers the answer to the caller. An error from any method means that the caller has
// disconnected.
type Sink interface {
	// Begin sends the status and headers of a stream.
	Begin(status int, header http.Header) error
	// Event sends one event of the stream.
	Event(data []byte) error
	// Finish sends the end marker of the stream.
	Finish() error
	// Response sends a complete answer that is not a stream.
	Answer(status int, header http.Header, body []byte) error
}

// Recorder stores the at-most-once records of non-idempotent requests. ledger.Ledger implements it.
type Recorder interface {
	Begin(ctx context.Context, key ledger.Key, bodyHash string, holder ledger.Holder) (*ledger.Handle, *ledger.Response, error)
	Rebind(ctx context.Context, h *ledger.Handle, holder ledger.Holder) error
	Complete(ctx context.Context, h *ledger.Handle, answer ledger.Response) error
	Release(ctx context.Context, h *ledger.Handle) error
}

// Suspects tracks the requests that have crashed endpoints, by fingerprint.
type Suspects interface {
	Admit(fingerprint uint64) (suspect.Decision, time.Duration)
	CrashSeen(fingerprint uint64, crash string)
	Cleared(fingerprint uint64)
}

// ResponseMemory limits the total size of the answers that are buffered until they are complete.
type ResponseMemory interface {
	// Reserve reserves n bytes. It returns false, and reserves nothing, if the limit would be exceeded.
	Reserve(n int64) bool
	// Release releases n reserved bytes.
	Release(n int64)
}

// Side says whether a Hook is called before or after a step.
type Side uint8

// Sides of a step.
const (
	Before Side = iota
	After
)

// Hook is called before and after each step, for fault injection in tests. If it returns an error,
// the work on the request stops at once without any cleanup, as in a crash of the VM.
type Hook func(id string, state chart.State, side Side) error

// Config holds the dependencies of a Service.
type Config struct {
	Directory work.Directory
	Quota     quota.Admitter
	Ledger    Recorder
	Suspects  Suspects
	Retries   *retry.Budget
	Memory    ResponseMemory
	Metrics   metrics.Registry
	Log       logrus.FieldLogger
	// Hook is nil outside tests.
	Hook Hook
}

// Service drives the requests that arrive at this VM. It is safe for concurrent use.
type Service struct {
	cfg     Config
	metrics counters

	mu   sync.Mutex
	open map[string]*execution
	idle chan struct{} // closed and replaced whenever open becomes empty
}

// NewService returns a Service.
func NewService(cfg Config) *Service {
	return &Service{
		cfg:     cfg,
		metrics: newCounters(cfg.Metrics),
		open:    map[string]*execution{},
		idle:    make(chan struct{}),
	}
}

// Run drives the call to its end. It returns nil once the whole answer was delivered to sink, or else
// the final error, which must be delivered to the caller. If the caller of a non-idempotent call
// disconnects or its deadline passes while an attempt may be running, Run returns, and a goroutine
// follows the attempt to its end to complete the at-most-once record.
func (s *Service) Run(ctx context.Context, call *Call, sink Sink) *result.Error {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	s.cfg.Retries.Deposit(call.RetryPercent)
	r := &execution{
		s:       s,
		call:    call,
		sink:    sink,
		ctx:     ctx,
		machine: chart.NewMachine(requestChart),
		state:   received,
		began:   time.Now(),
		log:     s.cfg.Log.WithField("request", call.ID),
		jitter:  rand.Float64,
	}
	s.register(r)
	return r.drive()
}

func (s *Service) register(r *execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[r.call.ID] = r
}

func (s *Service) unregister(r *execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, r.call.ID)
	if len(s.open) == 0 {
		close(s.idle)
		s.idle = make(chan struct{})
	}
}

// Wait waits until no request is open or ctx ends, and returns the number of requests still open.
// Records of completed answers may still be in the course of being written; see ledger.Ledger.Flush.
func (s *Service) Wait(ctx context.Context) int {
	for {
		s.mu.Lock()
		left, idle := len(s.open), s.idle
		s.mu.Unlock()
		if left == 0 {
			return 0
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return left
		}
	}
}

// OpenRequest describes an open request for the state dump.
type OpenRequest struct {
	ID       string        `json:"id"`
	State    chart.State   `json:"state"`
	Account  string        `json:"account"`
	Group    string        `json:"group"`
	Attempt  int           `json:"attempt"`
	Endpoint string        `json:"endpoint"`
	Age      time.Duration `json:"age_ns"`
}

// Open returns the open requests in no particular order.
func (s *Service) Open() []OpenRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]OpenRequest, 0, len(s.open))
	for _, r := range s.open {
		list = append(list, r.describe())
	}
	return list
}

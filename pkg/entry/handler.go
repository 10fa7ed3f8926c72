package entry

import (
	"context"
	"io"
	"log"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/httpheader"
	"github.com/mallowlink/mallowlink/pkg/memory"
	"github.com/mallowlink/mallowlink/pkg/request"
	"github.com/mallowlink/mallowlink/pkg/result"
)

// Runner runs a request until its final response or error. request.Service implements it.
type Runner interface {
	Run(ctx context.Context, call *request.Call, sink request.Sink) *result.Error
}

// Config holds the dependencies and settings of a Handler.
type Config struct {
	Source Source
	Runner Runner
	Limits Limits
	// Memory is the budget for bodies and unfinished responses. The Runner shares it.
	Memory  *memory.Budget
	Metrics metrics.Registry
	Log     logrus.FieldLogger
	// Ready returns the reason why the VM is not ready for callers, or nil if it is ready.
	Ready func() error
}

// Handler is the HTTP handler for callers' requests.
type Handler struct {
	source  Source
	runner  Runner
	limits  Limits
	memory  *memory.Budget
	log     logrus.FieldLogger
	ready   func() error
	metrics counters
	router  *mux.Router

	// current is the index used last; indexMu serializes the building of a new one.
	current  atomic.Pointer[index]
	indexMu  sync.Mutex
	draining atomic.Bool
	refusing atomic.Bool
}

// NewHandler returns a Handler.
func NewHandler(cfg Config) *Handler {
	h := &Handler{
		source:  cfg.Source,
		runner:  cfg.Runner,
		limits:  cfg.Limits,
		memory:  cfg.Memory,
		log:     cfg.Log,
		ready:   cfg.Ready,
		metrics: newCounters(cfg.Metrics),
	}
	metrics.NewRegisteredFunctionalGauge(MetricMemoryUsed, cfg.Metrics, cfg.Memory.Used)
	h.router = mux.NewRouter().SkipClean(true)
	h.router.Path("/healthz").Methods(http.MethodGet).HandlerFunc(h.healthz)
	h.router.Path("/readyz").Methods(http.MethodGet).HandlerFunc(h.readyz)
	h.router.Path("/v1/models").Methods(http.MethodGet).Handler(h.guard(h.models))
	h.router.Path("/v1/chat/completions").Methods(http.MethodPost).Handler(h.guard(h.chatCompletion))
	h.router.Path("/v1/completions").Methods(http.MethodPost).Handler(h.guard(h.textCompletion))
	h.router.NotFoundHandler = h.guard(h.service)
	h.router.MethodNotAllowedHandler = h.guard(h.wrongMethod)
	return h
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// SetDraining makes the readiness probe fail, and closes each caller's connection after its next response.
func (h *Handler) SetDraining() { h.draining.Store(true) }

// SetRefusing makes the handler refuse new requests with the outcome not-run, at the end of a planned stop.
func (h *Handler) SetRefusing() { h.refusing.Store(true) }

func (h *Handler) healthz(w http.ResponseWriter, _ *http.Request) {
	io.WriteString(w, "ok\n")
}

func (h *Handler) readyz(w http.ResponseWriter, _ *http.Request) {
	reason := ""
	if h.draining.Load() {
		reason = "draining"
	} else if err := h.ready(); err != nil {
		reason = err.Error()
	}
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// exchange is one request with its response, after the checks that are common to all requests.
type exchange struct {
	w           *writer
	r           *http.Request
	index       *index
	credentials credentials
	// account is empty if the caller sent no valid key.
	account string
}

// guard returns a handler that makes the checks common to all requests and then calls step. The step
// returns the error that ends the request, or nil if it has written the response.
func (h *Handler) guard(step func(*exchange) *result.Error) http.Handler {
	return http.HandlerFunc(func(raw http.ResponseWriter, r *http.Request) {
		w := newWriter(raw, uuid.NewString(), h.limits.WriteTimeout)
		if h.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		x, e := h.check(w, r)
		if e == nil {
			e = step(x)
		}
		if e == nil {
			return
		}
		h.refuse(w, r, e)
	})
}

// run passes the call to the Runner, which also logs how the call ended.
func (h *Handler) run(x *exchange, call *request.Call) {
	if e := h.runner.Run(x.r.Context(), call, x.w); e != nil {
		h.metrics.result(e.Code).Inc(1)
		x.w.fail(e)
	}
}

// refuse ends a request that was not passed to the Runner, with an error response.
func (h *Handler) refuse(w *writer, r *http.Request, e *result.Error) {
	h.metrics.refused.Inc(1)
	h.metrics.result(e.Code).Inc(1)
	if e.Code == result.WrongKey || e.Code == result.MissingKey {
		h.metrics.keyRefused.Inc(1)
	}
	h.log.WithFields(logrus.Fields{
		"event": "request_refused", "request": w.id, "method": r.Method,
		"code": int(e.Code), "name": e.Code.Name(), "outcome": e.Outcome,
	}).Info("request refused")
	w.fail(e)
}

// check makes the checks that are common to all requests.
func (h *Handler) check(w *writer, r *http.Request) (*exchange, *result.Error) {
	if h.refusing.Load() {
		return nil, result.New(result.Draining, "this VM stops")
	}
	x := h.currentIndex()
	if x == nil {
		return nil, result.New(result.NoBundle, "no bundle is known yet")
	}
	if httpheader.Size(r) > h.limits.MaxHeader {
		return nil, result.New(result.BadHeader, "the header is too large")
	}
	if clean := path.Clean(r.URL.Path); clean != r.URL.Path && clean+"/" != r.URL.Path {
		return nil, result.New(result.UnknownRoute, "the path is not in its shortest form")
	}
	c, e := readCredentials(r, x.isKey)
	if e != nil {
		return nil, e
	}
	account, _ := x.account(c.hash())
	return &exchange{w: w, r: r, index: x, credentials: c, account: account}, nil
}

// currentIndex returns the index of the current bundle, or nil if there is no bundle yet. It builds the index if
// the bundle has changed.
func (h *Handler) currentIndex() *index {
	b := h.source.Current()
	x := h.current.Load()
	if b == nil {
		return nil
	}
	if x != nil && x.bundle == b {
		return x
	}
	h.indexMu.Lock()
	defer h.indexMu.Unlock()
	b = h.source.Current()
	if x = h.current.Load(); x != nil && x.bundle == b {
		return x
	}
	x = newIndex(b)
	h.current.Store(x)
	return x
}

// requireAccount returns an error if the request has no valid key.
func (x *exchange) requireAccount() *result.Error {
	switch {
	case x.credentials.key == "":
		return result.New(result.MissingKey, "the request has no key")
	case x.account == "":
		return result.New(result.WrongKey, "the key is not valid")
	}
	return nil
}

// authorizer returns a function that reports whether the caller's key is still valid for its client account.
func (h *Handler) authorizer(x *exchange) func() bool {
	sum, account := x.credentials.hash(), x.account
	return func() bool {
		now := h.currentIndex()
		if now == nil {
			return false
		}
		found, ok := now.account(sum)
		return ok && found == account
	}
}

// class returns the priority class that the caller asks for, or the fallback if it names none.
func (x *exchange) class(fallback bundle.Class) (bundle.Class, *result.Error) {
	value := bundle.Class(x.r.Header.Get(HeaderClass))
	switch value {
	case "":
		return fallback, nil
	case bundle.Interactive, bundle.Batch:
		return value, nil
	}
	return "", result.New(result.BadHeader, HeaderClass+" must be interactive or batch")
}

// deadline returns the deadline of a request that arrives now. The fallback applies if the caller names no
// timeout; 0 stands for the default timeout.
func (h *Handler) deadline(x *exchange, fallback time.Duration) (time.Time, *result.Error) {
	timeout := fallback
	if timeout <= 0 {
		timeout = h.limits.DefaultTimeout
	}
	if value := x.r.Header.Get(HeaderTimeout); value != "" {
		named, ok := parseTimeout(value)
		if !ok {
			return time.Time{}, result.New(result.BadHeader, HeaderTimeout+" must be a positive duration")
		}
		timeout = named
	}
	return time.Now().Add(min(timeout, h.limits.MaxTimeout)), nil
}

// parseTimeout parses a Go duration or a number of seconds. It reports false unless the value is positive.
func parseTimeout(value string) (time.Duration, bool) {
	if d, err := time.ParseDuration(value); err == nil {
		return d, d > 0
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) || seconds > time.Duration(1<<62).Seconds() {
		return 0, false
	}
	d := time.Duration(seconds * float64(time.Second))
	return d, d > 0
}

func (h *Handler) wrongMethod(x *exchange) *result.Error {
	x.w.Header().Set("Allow", strings.Join(h.fixedMethods(x.r), ", "))
	return result.New(result.WrongMethod, "the path does not take this method")
}

func (h *Handler) fixedMethods(r *http.Request) []string {
	var allowed []string
	for _, method := range routeMethods {
		probe := *r
		probe.Method = method
		var m mux.RouteMatch
		if h.router.Match(&probe, &m) && m.MatchErr == nil {
			allowed = append(allowed, method)
		}
	}
	return allowed
}

// errorLog returns a logger for net/http's messages about broken connections. They are logged at debug level.
func (h *Handler) errorLog() *log.Logger {
	return log.New(errorLogWriter{h.log}, "", 0)
}

type errorLogWriter struct {
	log logrus.FieldLogger
}

// Write logs one message of net/http.
func (l errorLogWriter) Write(p []byte) (int, error) {
	l.log.WithField("event", "connection_error").Debug(strings.TrimSpace(string(p)))
	return len(p), nil
}

// Package engine is a stand-in of a model engine: it speaks the OpenAI protocol, batches
// continuously, holds adapters in a few slots, and takes the orders of package
// pkg/endpoint/rest/wire. Its text is deterministic; see Text.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/endpoint/rest/wire"
	"github.com/mallowlink/mallowlink/pkg/standin"
	"github.com/mallowlink/mallowlink/pkg/standin/fault"
)

// Paths beside those of the engine protocol.
const (
	// RanPath lists the requests that ran, in order of their start, over all incarnations.
	RanPath = "/ran"
	// RestartPath restarts the engine on POST: connections are cut and everything is forgotten.
	RestartPath = "/restart"
	// DrainPath makes the engine report on POST that it is draining. It goes on taking work.
	DrainPath = "/drain"
)

// Defaults of Options.
const (
	DefaultSlots         = 8
	DefaultMaxRunning    = 16 // requests
	DefaultMaxWaiting    = 1024
	DefaultTokenInterval = 5 * time.Millisecond
	DefaultResumeTimeout = 10 * time.Second
	DefaultCachePrefixes = 256
	DefaultPrefixBytes   = 1024
	DefaultTokens        = 16
)

// Options configure a Server. Zero values mean the defaults.
type Options struct {
	// Slots is the number of adapters that the engine holds at once.
	Slots int
	// MaxRunning bounds the requests of one batch, MaxWaiting those that wait for it.
	MaxRunning int
	MaxWaiting int
	// TokenInterval is the time between two tokens of a request.
	TokenInterval time.Duration
	// PrefillPerKB is the time to the first token per 1024 bytes of prompt whose prefix is not cached.
	PrefillPerKB time.Duration
	// WeightsURL is the base URL of the weight store. If it is empty, a load takes LoadTime.
	WeightsURL string
	LoadTime   time.Duration
	// ResumeTimeout is how long a stream that nobody reads goes on, and how long it is kept after its
	// end, to be resumed.
	ResumeTimeout time.Duration
	// IgnoreFencing makes the engine accept orders with old fencing numbers.
	IgnoreFencing bool
	// ReportLag is how old load reports are, EventLag how old cache events are when they are shown.
	ReportLag time.Duration
	EventLag  time.Duration
	// CachePrefixes is the number of prompt prefixes that the engine caches. It names each by the
	// PrefixHash of PrefixBytes bytes, unless the request's PrefixHeader names it.
	CachePrefixes int
	PrefixBytes   int
}

func (o Options) withDefaults() Options {
	setDefault(&o.Slots, DefaultSlots)
	setDefault(&o.MaxRunning, DefaultMaxRunning)
	setDefault(&o.MaxWaiting, DefaultMaxWaiting)
	setDefault(&o.TokenInterval, DefaultTokenInterval)
	setDefault(&o.ResumeTimeout, DefaultResumeTimeout)
	setDefault(&o.CachePrefixes, DefaultCachePrefixes)
	setDefault(&o.PrefixBytes, DefaultPrefixBytes)
	return o
}

func setDefault[T comparable](value *T, otherwise T) {
	var zero T
	if *value == zero {
		*value = otherwise
	}
}

// Server is a model engine. It serves HTTP.
type Server struct {
	// Faults holds the faults that the engine shows.
	Faults  *fault.Set
	handler http.Handler
	opts    Options
	ran     record

	mu sync.Mutex
	// state is replaced by a restart.
	state *state
}

// state is what an engine forgets when it restarts. Server.mu guards it.
type state struct {
	incarnation string
	// ctx ends with the incarnation.
	ctx      context.Context
	stop     context.CancelFunc
	role     endpoint.Role
	draining bool
	// fencing is the highest fencing number that an order has carried.
	fencing  uint64
	adapters map[endpoint.AdapterVersion]*adapter
	jobs     map[string]*job
	running  int
	waiting  queue
	arrivals uint64
	cache    cache
	reports  []report
}

// New returns an engine with no adapter loaded.
func New(opts Options) *Server {
	s := &Server{Faults: fault.NewSet(), opts: opts.withDefaults()}
	s.state = s.newState()
	router := mux.NewRouter()
	router.HandleFunc(wire.ChatPath, s.complete).Methods(http.MethodPost)
	router.HandleFunc(wire.CompletionsPath, s.complete).Methods(http.MethodPost)
	router.HandleFunc(wire.LoadPath, s.load).Methods(http.MethodPost)
	router.HandleFunc(wire.UnloadPath, s.unload).Methods(http.MethodPost)
	router.HandleFunc(wire.RolePath, s.setRole).Methods(http.MethodPost)
	router.HandleFunc(wire.ReportPath, s.serveReport).Methods(http.MethodGet)
	router.HandleFunc(wire.CacheEventsPath, s.serveCacheEvents).Methods(http.MethodGet)
	router.HandleFunc(wire.CancelPath, s.cancel).Methods(http.MethodPost)
	router.HandleFunc(wire.ResumePath, s.resume).Methods(http.MethodGet)
	router.HandleFunc(wire.KVPath, s.exportKV).Methods(http.MethodGet)
	router.HandleFunc(wire.KVPath, s.importKV).Methods(http.MethodPut)
	router.HandleFunc(RanPath, s.ran.serve).Methods(http.MethodGet)
	router.HandleFunc(RestartPath, s.restart).Methods(http.MethodPost)
	router.HandleFunc(DrainPath, s.drain).Methods(http.MethodPost)
	identified := s.identify(router)
	paths := mux.NewRouter()
	paths.PathPrefix("/v1/").Handler(s.Faults.WrapAnswers(identified))
	paths.PathPrefix("/").Handler(identified)
	s.handler = s.Faults.Wrap(paths)
	return s
}

func (s *Server) newState() *state {
	ctx, stop := context.WithCancel(context.Background())
	return &state{
		incarnation: uuid.NewString(),
		ctx:         ctx,
		stop:        stop,
		role:        endpoint.RoleServe,
		adapters:    map[endpoint.AdapterVersion]*adapter{},
		jobs:        map[string]*job{},
		cache:       cache{limit: s.opts.CachePrefixes, lose: s.loseEvent},
	}
}

// loseEvent reports whether the next cache event is lost.
func (s *Server) loseEvent() bool {
	_, lost := s.Faults.Take(fault.EventGap, "")
	return lost
}

// ServeHTTP serves the engine.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// identify echoes the request's identifier and tells the incarnation.
func (s *Server) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(wire.RequestID)
		if id == "" {
			id = uuid.NewString()
			r.Header.Set(wire.RequestID, id)
		}
		w.Header().Set(wire.RequestID, id)
		w.Header().Set(wire.Incarnation, s.current().incarnation)
		next.ServeHTTP(w, r)
	})
}

// current returns the state of the present incarnation.
func (s *Server) current() *state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Restart forgets everything but the faults and the record of what ran, and cuts the connections of
// the requests in flight.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.stop()
	s.state = s.newState()
}

// Ran returns the requests that ran.
func (s *Server) Ran() []Run { return s.ran.list() }

func (s *Server) restart(w http.ResponseWriter, _ *http.Request) {
	s.Restart()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.state.draining = true
	s.noteReport(s.state)
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// refuse answers with an error in the form of the OpenAI protocol.
func refuse(w http.ResponseWriter, status int, code wire.Code, message string) {
	kind := "invalid_request_error"
	if status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	standin.WriteJSON(w, status, wire.Failure{
		Error: wire.FailureDetail{Message: message, Type: kind, Code: code},
	})
}

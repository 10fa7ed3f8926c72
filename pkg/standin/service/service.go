// Package service is a stand-in of the plain services that are served beside model engines: an asset
// ledger and a booking desk. It records every call, so that doubled ones show.
package service

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/mallowlink/mallowlink/pkg/endpoint/rest/wire"
	"github.com/mallowlink/mallowlink/pkg/standin"
	"github.com/mallowlink/mallowlink/pkg/standin/fault"
)

// Paths of the service.
const (
	// AssetsPath answers GET with the calls that named the asset tag that follows.
	AssetsPath = "/assets/"
	// ToolsPath answers GET with the calls that named the tool that follows.
	ToolsPath = "/tools/"
	// IssuesPath, HoldsPath and ReturnsPath take POST and are not idempotent.
	IssuesPath  = "/issues"
	HoldsPath   = "/holds"
	ReturnsPath = "/returns"
	// EchoPath answers any method with the body of the request.
	EchoPath = "/echo"
	// RanPath lists the calls that ran.
	RanPath = "/ran"
)

// maxBody bounds the body of a call.
const maxBody = 16 << 20 // bytes

// Options configure a Server.
type Options struct {
	// Delay is how long a call takes.
	Delay time.Duration
}

// Run is the record of one call that ran.
type Run struct {
	Seq       int         `json:"seq"`
	RequestID string      `json:"request_id"`
	Method    string      `json:"method"`
	Target    string      `json:"target"`
	Header    http.Header `json:"header"`
	Body      string      `json:"body"`
}

// Item is the body of the calls that are not idempotent.
type Item struct {
	// Tag names the asset or the tool.
	Tag string `json:"tag"`
	// To names the person.
	To string `json:"to"`
}

// Receipt is the answer to such a call.
type Receipt struct {
	// ID is unique to the call.
	ID        string `json:"id"`
	RequestID string `json:"request_id"`
	Item
}

// Holding is what is known of an asset or a tool.
type Holding struct {
	Tag      string    `json:"tag"`
	Receipts []Receipt `json:"receipts"`
}

// Server is a plain service. It serves HTTP.
type Server struct {
	// Faults holds the faults that the service shows.
	Faults  *fault.Set
	handler http.Handler
	opts    Options

	mu       sync.Mutex
	ran      []Run
	receipts map[string][]Receipt
}

// New returns a service that knows of no calls.
func New(opts Options) *Server {
	s := &Server{Faults: fault.NewSet(), opts: opts, receipts: map[string][]Receipt{}}
	calls := mux.NewRouter()
	calls.HandleFunc(AssetsPath+"{tag}", s.lookUp).Methods(http.MethodGet)
	calls.HandleFunc(ToolsPath+"{tag}", s.lookUp).Methods(http.MethodGet)
	for _, path := range []string{IssuesPath, HoldsPath, ReturnsPath} {
		calls.HandleFunc(path, s.record).Methods(http.MethodPost)
	}
	calls.HandleFunc(EchoPath, s.echo)
	router := mux.NewRouter()
	router.HandleFunc(RanPath, s.serveRan).Methods(http.MethodGet)
	router.PathPrefix("/").Handler(s.Faults.WrapAnswers(s.identify(calls)))
	s.handler = s.Faults.Wrap(router)
	return s
}

// ServeHTTP serves the service.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Ran returns the calls that ran.
func (s *Server) Ran() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.ran...)
}

// identify echoes the request's identifier, if there is one, and takes the service's delay.
func (s *Server) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(wire.RequestID); id != "" {
			w.Header().Set(wire.RequestID, id)
		}
		time.Sleep(s.opts.Delay)
		next.ServeHTTP(w, r)
	})
}

// note records a call. It cuts the connection afterwards if the call is one that crashes the service.
func (s *Server) note(r *http.Request, body string) int {
	s.mu.Lock()
	run := Run{
		Seq:       len(s.ran) + 1,
		RequestID: r.Header.Get(wire.RequestID),
		Method:    r.Method,
		Target:    r.URL.RequestURI(),
		Header:    r.Header.Clone(),
		Body:      body,
	}
	s.ran = append(s.ran, run)
	s.mu.Unlock()
	if _, ok := s.Faults.Take(fault.Crash, body); ok {
		fault.Cut()
	}
	return run.Seq
}

func (s *Server) lookUp(w http.ResponseWriter, r *http.Request) {
	s.note(r, "")
	tag := mux.Vars(r)["tag"]
	s.mu.Lock()
	out := Holding{Tag: tag, Receipts: append([]Receipt{}, s.receipts[tag]...)}
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, out)
}

func (s *Server) record(w http.ResponseWriter, r *http.Request) {
	var item Item
	if !standin.ReadJSON(w, r, &item) {
		return
	}
	seq := s.note(r, item.Tag+" "+item.To)
	receipt := Receipt{
		ID:        fmt.Sprintf("%s-%d", r.URL.Path[1:], seq),
		RequestID: r.Header.Get(wire.RequestID),
		Item:      item,
	}
	s.mu.Lock()
	s.receipts[item.Tag] = append(s.receipts[item.Tag], receipt)
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusCreated, receipt)
}

func (s *Server) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.note(r, string(body))
	if kind := r.Header.Get("Content-Type"); kind != "" {
		w.Header().Set("Content-Type", kind)
	}
	_, _ = w.Write(body)
}

func (s *Server) serveRan(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Ran())
}

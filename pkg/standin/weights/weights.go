// Package weights is a stand-in of the rate-limited weight store from which engines load adapters.
package weights

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/mallowlink/mallowlink/pkg/standin"
	"github.com/mallowlink/mallowlink/pkg/standin/fault"
)

// Paths of the store.
const (
	// AdapterPath precedes the name of an adapter version.
	AdapterPath = "/weights/"
	// StatsPath is the resource that counts the transfers.
	StatsPath = "/stats"
)

// Options configure a Server.
type Options struct {
	// LoadsPerSecond bounds the transfers started a second; 0 means no bound.
	LoadsPerSecond float64
	// AtOnce is the number of transfers that may start together before LoadsPerSecond holds them up.
	AtOnce int
	// TransferTime is how long a transfer takes at full speed.
	TransferTime time.Duration
	// FullSpeed is the number of transfers in flight, waiting ones included, beyond which each takes
	// proportionally longer; 0 means no bound.
	FullSpeed int
}

// Kolkata returns the options of the smaller of today's weight stores.
func Kolkata() Options {
	return Options{LoadsPerSecond: 5, AtOnce: 2, TransferTime: 250 * time.Millisecond, FullSpeed: 16}
}

// Kyushu returns the options of the larger of today's weight stores.
func Kyushu() Options {
	return Options{LoadsPerSecond: 6, AtOnce: 3, TransferTime: 250 * time.Millisecond, FullSpeed: 24}
}

// Stats counts transfers.
type Stats struct {
	Transfers   int64 `json:"transfers"`
	InFlight    int   `json:"in_flight"`
	MaxInFlight int   `json:"max_in_flight"`
}

// Server is a weight store that has every adapter version. It serves HTTP.
type Server struct {
	// Faults holds the faults that the server shows over HTTP.
	Faults  *fault.Set
	handler http.Handler
	opts    Options

	mu    sync.Mutex
	stats Stats
	// due is when the next transfer would start if none could start early.
	due time.Time
}

// New returns a weight store.
func New(opts Options) *Server {
	s := &Server{Faults: fault.NewSet(), opts: opts}
	router := mux.NewRouter()
	router.HandleFunc(AdapterPath+"{adapter}", s.transfer).Methods(http.MethodGet)
	router.HandleFunc(StatsPath, s.serveStats).Methods(http.MethodGet)
	s.handler = s.Faults.Wrap(router)
	return s
}

// ServeHTTP serves the store.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Stats returns the counts of transfers.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Server) transfer(w http.ResponseWriter, r *http.Request) {
	wait := s.begin(time.Now())
	defer s.end()
	if !sleep(r.Context(), wait) || !sleep(r.Context(), s.duration()) {
		return
	}
	fmt.Fprintf(w, "weights of %s\n", mux.Vars(r)["adapter"])
}

// begin counts a transfer in, and returns how long it waits before it starts.
func (s *Server) begin(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Transfers++
	s.stats.InFlight++
	s.stats.MaxInFlight = max(s.stats.MaxInFlight, s.stats.InFlight)
	if s.opts.LoadsPerSecond <= 0 {
		return 0
	}
	interval := time.Duration(float64(time.Second) / s.opts.LoadsPerSecond)
	early := time.Duration(max(s.opts.AtOnce-1, 0)) * interval
	start := s.due.Add(-early)
	if start.Before(now) {
		start = now
	}
	if s.due.Before(start) {
		s.due = start
	}
	s.due = s.due.Add(interval)
	return start.Sub(now)
}

// duration returns how long a transfer that starts now takes.
func (s *Server) duration() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.FullSpeed == 0 || s.stats.InFlight <= s.opts.FullSpeed {
		return s.opts.TransferTime
	}
	return s.opts.TransferTime * time.Duration(s.stats.InFlight) / time.Duration(s.opts.FullSpeed)
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.InFlight--
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Stats())
}

// sleep waits, and reports false if the context ends first.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

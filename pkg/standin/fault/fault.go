// Package fault holds the faults that a stand-in shows on request, and the HTTP resource that
// switches them on and off.
package fault

import (
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/standin"
)

// Path is the resource of the faults: GET lists the faults that are on, POST switches one on or
// replaces it, DELETE switches off the kind in the parameter "kind", or all.
const Path = "/faults"

// Kind names a fault.
type Kind string

// Kinds of fault.
const (
	// Latency delays every request by Delay.
	Latency Kind = "latency"
	// Outage refuses every request with status 503.
	Outage Kind = "outage"
	// LostReply carries out a write and then cuts the connection.
	LostReply Kind = "lost-reply"
	// FailLoads fails adapter loads.
	FailLoads Kind = "fail-loads"
	// Crash restarts an engine when it runs a request whose body contains Marker.
	Crash Kind = "crash"
	// IgnoreFencing makes an engine accept orders with old fencing numbers.
	IgnoreFencing Kind = "ignore-fencing"
	// ReportLag makes load reports, or the list of VMs, older by Delay.
	ReportLag Kind = "report-lag"
	// EventLag holds cache events back by Delay.
	EventLag Kind = "event-lag"
	// EventGap loses cache events.
	EventGap Kind = "event-gap"
	// SwapAnswers answers each of two concurrent requests with the other's answer.
	SwapAnswers Kind = "swap-answers"
	// CutStream cuts a stream after Events events.
	CutStream Kind = "cut-stream"
	// DuplicateAnswer answers the next request on a connection with the previous answer again.
	DuplicateAnswer Kind = "duplicate-answer"
)

var kinds = []Kind{
	Latency, Outage, LostReply, FailLoads, Crash, IgnoreFencing, ReportLag, EventLag, EventGap,
	SwapAnswers, CutStream, DuplicateAnswer,
}

// Fault is one fault that is on.
type Fault struct {
	Kind Kind `json:"kind"`
	// Count is how many more times the fault shows; 0 means until it is switched off.
	Count int `json:"count,omitempty"`
	// Marker confines Crash to bodies, FailLoads to adapter versions and other faults to paths that
	// contain it.
	Marker  string `json:"marker,omitempty"`
	DelayMS int64  `json:"delay_ms,omitempty"`
	Events  int    `json:"events,omitempty"`
}

// Delay returns the fault's delay.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// Set holds the faults of one stand-in that are on. It is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	faults map[Kind]Fault
	// waiting is the recorded answer that waits for another to be swapped with.
	waiting *swap
}

// NewSet returns a set in which no fault is on.
func NewSet() *Set { return &Set{faults: map[Kind]Fault{}} }

// Put switches a fault on, or replaces it.
func (s *Set) Put(f Fault) error {
	for _, kind := range kinds {
		if f.Kind == kind {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.faults[kind] = f
			return nil
		}
	}
	return errors.Errorf("unknown kind of fault %q", f.Kind)
}

// Clear switches a fault off.
func (s *Set) Clear(kind Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.faults, kind)
}

// ClearAll switches every fault off.
func (s *Set) ClearAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.faults)
}

// List returns the faults that are on, ordered by kind.
func (s *Set) List() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Fault, 0, len(s.faults))
	for _, f := range s.faults {
		out = append(out, f)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Kind < out[j].Kind })
	return out
}

// Active returns a fault that is on, without counting it down.
func (s *Set) Active(kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.faults[kind]
	return f, ok
}

// Take returns a fault that is on and applies to the subject, and counts it down.
func (s *Set) Take(kind Kind, subject string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.faults[kind]
	if !ok || !strings.Contains(subject, f.Marker) {
		return Fault{}, false
	}
	switch f.Count {
	case 0:
	case 1:
		delete(s.faults, kind)
	default:
		left := f
		left.Count--
		s.faults[kind] = left
	}
	return f, true
}

// ServeHTTP serves the resource of the faults.
func (s *Set) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodDelete:
		if kind := r.URL.Query().Get("kind"); kind != "" {
			s.Clear(Kind(kind))
		} else {
			s.ClearAll()
		}
	case http.MethodPost:
		var f Fault
		if !standin.ReadJSON(w, r, &f) {
			return
		}
		if err := s.Put(f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	standin.WriteJSON(w, http.StatusOK, s.List())
}

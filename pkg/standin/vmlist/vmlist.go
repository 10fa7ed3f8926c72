// Package vmlist is a stand-in of the platform's list of VMs, which lags behind the truth.
package vmlist

import (
	"context"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/platform/rest/wire"
	"github.com/mallowlink/mallowlink/pkg/standin"
	"github.com/mallowlink/mallowlink/pkg/standin/fault"
)

// maxHistory bounds the older states that are kept for the lag.
const maxHistory = 4096 // states

// Options configure a Server.
type Options struct {
	// Lag is how old the list is when it is read. fault.ReportLag adds to it.
	Lag time.Duration
}

// state is the list at a moment.
type state struct {
	since time.Time
	vms   []platform.VM
}

// Server is an in-memory list of VMs. It serves HTTP, and can be used directly as a
// platform.VMLister.
type Server struct {
	// Faults holds the faults that the server shows.
	Faults  *fault.Set
	handler http.Handler
	opts    Options

	mu  sync.Mutex
	vms map[string]platform.VM
	// history holds the states in order of time. The last is the truth.
	history []state
}

var _ platform.VMLister = (*Server)(nil)

// New returns an empty list.
func New(opts Options) *Server {
	s := &Server{
		Faults:  fault.NewSet(),
		opts:    opts,
		vms:     map[string]platform.VM{},
		history: []state{{}},
	}
	router := mux.NewRouter()
	router.HandleFunc(wire.VMsPath, s.list).Methods(http.MethodGet)
	router.HandleFunc(wire.VMsPath+"/{id}", s.register).Methods(http.MethodPut)
	router.HandleFunc(wire.VMsPath+"/{id}", s.remove).Methods(http.MethodDelete)
	router.HandleFunc(wire.VMsPath+"/{id}/leaving", s.leave).Methods(http.MethodPost)
	s.handler = s.Faults.Wrap(router)
	return s
}

// ServeHTTP serves the list.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// ListVMs returns the list as it was before the lag.
func (s *Server) ListVMs(context.Context) ([]platform.VM, error) {
	lag := s.opts.Lag
	if f, ok := s.Faults.Active(fault.ReportLag); ok {
		lag += f.Delay()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	moment := time.Now().Add(-lag)
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].since.After(moment) {
			return slices.Clone(s.history[i].vms), nil
		}
	}
	return slices.Clone(s.history[0].vms), nil
}

// Register adds a VM, or replaces it.
func (s *Server) Register(vm platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[vm.ID] = vm
	s.changed()
}

// MarkLeaving says that the platform is about to stop the VM.
func (s *Server) MarkLeaving(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm, ok := s.vms[id]
	if !ok {
		return false
	}
	vm.Leaving = true
	s.vms[id] = vm
	s.changed()
	return true
}

// Remove takes a VM off the list.
func (s *Server) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, id)
	s.changed()
}

// changed appends the present state to the history. The caller holds mu.
func (s *Server) changed() {
	vms := make([]platform.VM, 0, len(s.vms))
	for _, vm := range s.vms {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	s.history = append(s.history, state{since: time.Now(), vms: vms})
	if len(s.history) > maxHistory {
		s.history = slices.Delete(s.history, 0, len(s.history)-maxHistory)
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	vms, _ := s.ListVMs(r.Context())
	out := wire.VMs{VMs: make([]wire.VM, len(vms))}
	for i, vm := range vms {
		out.VMs[i] = wire.VM(vm)
	}
	standin.WriteJSON(w, http.StatusOK, out)
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var vm wire.VM
	if !standin.ReadJSON(w, r, &vm) {
		return
	}
	vm.ID = mux.Vars(r)["id"]
	s.Register(platform.VM(vm))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) leave(w http.ResponseWriter, r *http.Request) {
	if !s.MarkLeaving(mux.Vars(r)["id"]) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.Remove(mux.Vars(r)["id"])
	w.WriteHeader(http.StatusNoContent)
}

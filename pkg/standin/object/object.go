// Package object is a stand-in of the platform's object store.
package object

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/platform/rest/wire"
	"github.com/mallowlink/mallowlink/pkg/standin/fault"
)

// maxObject bounds an object.
const maxObject = 64 << 20 // bytes

// Server is an in-memory object store. It serves HTTP, and can be used directly as a
// platform.ObjectStore.
type Server struct {
	// Faults holds the faults that the server shows over HTTP.
	Faults  *fault.Set
	handler http.Handler

	mu      sync.RWMutex
	objects map[string][]byte
}

var _ platform.ObjectStore = (*Server)(nil)

// New returns an empty object store.
func New() *Server {
	s := &Server{Faults: fault.NewSet(), objects: map[string][]byte{}}
	router := mux.NewRouter().SkipClean(true)
	objects := router.PathPrefix(wire.ObjectsPath).Subrouter()
	objects.PathPrefix("/").Methods(http.MethodGet).HandlerFunc(s.get)
	objects.PathPrefix("/").Methods(http.MethodPut).HandlerFunc(s.put)
	s.handler = s.Faults.Wrap(router)
	return s
}

// ServeHTTP serves the object store.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Get returns an object. The caller does not change it.
func (s *Server) Get(_ context.Context, name string) ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	data, ok := s.objects[name]
	if !ok {
		return nil, errors.Wrap(platform.ErrNotFound, name)
	}
	return data, nil
}

// PutIfAbsent stores an object unless it exists.
func (s *Server) PutIfAbsent(_ context.Context, name string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[name]; ok {
		return errors.Wrap(platform.ErrConflict, name)
	}
	s.objects[name] = append([]byte{}, data...)
	return nil
}

// Put stores an object, in place of an older one if there is one.
func (s *Server) Put(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = append([]byte{}, data...)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	data, err := s.Get(r.Context(), objectName(r))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObject))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	name := objectName(r)
	if r.Header.Get("If-None-Match") != "*" {
		s.Put(name, data)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if err := s.PutIfAbsent(r.Context(), name, data); err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
		return
	}
	w.WriteHeader(http.StatusCreated)
}

func objectName(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, wire.ObjectsPath) }

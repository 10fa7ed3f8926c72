// Package table is a stand-in of the platform's transactional table service.
package table

import (
	"context"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/platform/rest/wire"
	"github.com/mallowlink/mallowlink/pkg/standin"
	"github.com/mallowlink/mallowlink/pkg/standin/fault"
)

// StatsPath is the resource that counts the operations.
const StatsPath = "/stats"

// Stats counts the operations that were carried out.
type Stats struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Conflicts int64 `json:"conflicts"`
}

// Server is an in-memory table. It serves HTTP, and can be used directly as a platform.Table.
type Server struct {
	// Faults holds the faults that the server shows over HTTP.
	Faults  *fault.Set
	handler http.Handler

	mu      sync.RWMutex
	rows    map[string]platform.Row
	version uint64

	reads     atomic.Int64
	writes    atomic.Int64
	conflicts atomic.Int64
}

var _ platform.Table = (*Server)(nil)

// New returns an empty table.
func New() *Server {
	s := &Server{Faults: fault.NewSet(), rows: map[string]platform.Row{}}
	router := mux.NewRouter()
	router.HandleFunc(wire.RowPath, s.getRow).Methods(http.MethodGet)
	router.HandleFunc(wire.RowsPath, s.listRows).Methods(http.MethodGet)
	router.HandleFunc(wire.CommitPath, s.commit).Methods(http.MethodPost)
	router.HandleFunc(StatsPath, s.stats).Methods(http.MethodGet)
	s.handler = s.Faults.Wrap(router)
	return s
}

// ServeHTTP serves the table.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Get returns one row.
func (s *Server) Get(_ context.Context, key string) (platform.Row, error) {
	s.reads.Add(1)
	s.mu.RLock()
	defer s.mu.RUnlock()
	row, ok := s.rows[key]
	if !ok {
		return platform.Row{}, errors.Wrap(platform.ErrNotFound, key)
	}
	return row, nil
}

// List returns the rows whose keys begin with prefix.
func (s *Server) List(_ context.Context, prefix string) ([]platform.Row, error) {
	s.reads.Add(1)
	s.mu.RLock()
	defer s.mu.RUnlock()
	rows := []platform.Row{}
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// Commit applies a transaction.
func (s *Server) Commit(_ context.Context, txn platform.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Conditions {
		if s.rows[c.Key].Version != c.Version {
			s.conflicts.Add(1)
			return 0, errors.Wrapf(platform.ErrConflict, "%s is at version %d", c.Key, s.rows[c.Key].Version)
		}
	}
	s.writes.Add(1)
	s.version++
	for _, write := range txn.Writes {
		if write.Delete {
			delete(s.rows, write.Key)
			continue
		}
		value := append([]byte{}, write.Value...)
		s.rows[write.Key] = platform.Row{
			Key:     write.Key,
			Version: s.version,
			Attempt: txn.Attempt,
			Value:   value,
		}
	}
	return s.version, nil
}

// Stats returns the counts of operations.
func (s *Server) Stats() Stats {
	return Stats{Reads: s.reads.Load(), Writes: s.writes.Load(), Conflicts: s.conflicts.Load()}
}

func (s *Server) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := s.Get(r.Context(), r.URL.Query().Get(wire.KeyParam))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	standin.WriteJSON(w, http.StatusOK, wire.Row(row))
}

func (s *Server) listRows(w http.ResponseWriter, r *http.Request) {
	rows, err := s.List(r.Context(), r.URL.Query().Get(wire.PrefixParam))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	out := wire.Rows{Rows: make([]wire.Row, len(rows))}
	for i, row := range rows {
		out.Rows[i] = wire.Row(row)
	}
	standin.WriteJSON(w, http.StatusOK, out)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var txn wire.Txn
	if !standin.ReadJSON(w, r, &txn) {
		return
	}
	version, err := s.Commit(r.Context(), txn.Txn())
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	standin.WriteJSON(w, http.StatusOK, wire.Committed{Version: version})
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Stats())
}

// Generation implements platform.Table. The stand-in has no generations.
func (s *Server) Generation() uint64 { return 0 }

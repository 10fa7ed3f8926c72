// Package admin provides the HTTP handler for operators: metrics, a dump of the process's state, a
// health check and profiles.
package admin

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
)

// StateFunc returns the process's state as a value that encodes to JSON. The value must not contain the
// API key of any caller.
type StateFunc func() any

// NewHandler returns the handler for the admin listener. It serves GET requests for /state, /metrics
// (Prometheus text format), /metrics.json, /healthz and /debug/pprof.
func NewHandler(state StateFunc, registry metrics.Registry) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/state", serveState(state)).Methods(http.MethodGet)
	router.HandleFunc("/metrics", servePrometheus(registry)).Methods(http.MethodGet)
	router.HandleFunc("/metrics.json", serveJSON(registry)).Methods(http.MethodGet)
	router.HandleFunc("/healthz", serveHealth).Methods(http.MethodGet)
	router.HandleFunc("/debug/pprof/profile", pprof.Profile).Methods(http.MethodGet)
	router.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index).Methods(http.MethodGet)
	return router
}

func serveState(state StateFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(state())
	}
}

func servePrometheus(registry metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = WritePrometheus(w, registry)
	}
}

func serveJSON(registry metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(registry, w)
	}
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

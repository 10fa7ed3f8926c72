// Package admin provides the HTTP handler for operators: metrics, a dump of the process's state, a
// health check and profiles.
package admin

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"net/url"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
)

// StateFunc returns the process's state as a value that encodes to JSON. The value must not contain the
// API key of any caller.
type StateFunc func() any

// Command is a change of the process's state that an operator can make with a POST request.
type Command struct {
	Path string
	// Run carries the command out with the parameters of the request. Its error is reported with status 404.
	Run func(parameters url.Values) error
}

// NewHandler returns the handler for the admin listener. It serves GET requests for /state, /metrics
// (Prometheus text format), /metrics.json, /healthz and /debug/pprof, and POST requests for the commands.
func NewHandler(state StateFunc, registry metrics.Registry, commands ...Command) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/state", serveState(state)).Methods(http.MethodGet)
	router.HandleFunc("/metrics", servePrometheus(registry)).Methods(http.MethodGet)
	router.HandleFunc("/metrics.json", serveJSON(registry)).Methods(http.MethodGet)
	router.HandleFunc("/healthz", serveHealth).Methods(http.MethodGet)
	router.HandleFunc("/debug/pprof/profile", pprof.Profile).Methods(http.MethodGet)
	router.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index).Methods(http.MethodGet)
	for _, command := range commands {
		router.HandleFunc(command.Path, serveCommand(command)).Methods(http.MethodPost)
	}
	return router
}

func serveCommand(command Command) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := command.Run(r.URL.Query()); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
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

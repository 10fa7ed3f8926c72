package engine

import (
	"net/http"
	"sync"

	"github.com/mallowlink/mallowlink/pkg/standin"
)

// Run is the record of one request that ran.
type Run struct {
	RequestID   string      `json:"request_id"`
	Adapter     string      `json:"adapter"`
	Path        string      `json:"path"`
	Incarnation string      `json:"incarnation"`
	Header      http.Header `json:"header"`
	Body        string      `json:"body"`
	// Tokens is the number of tokens that were made.
	Tokens int `json:"tokens"`
	// Ended is "done", "cancelled", "restarted" or empty while the request runs.
	Ended string `json:"ended"`
}

// record holds the requests that ran. It is safe for concurrent use.
type record struct {
	mu   sync.Mutex
	runs []*Run
}

func (r *record) add(run Run) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, &run)
	return &run
}

func (r *record) token(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Tokens++
}

func (r *record) end(run *Run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Ended = how
}

func (r *record) list() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Run, len(r.runs))
	for i, run := range r.runs {
		out[i] = *run
	}
	return out
}

func (r *record) serve(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, r.list())
}

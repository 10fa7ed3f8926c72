package engine

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/endpoint/rest/wire"
	"github.com/mallowlink/mallowlink/pkg/standin"
	"github.com/mallowlink/mallowlink/pkg/standin/fault"
)

// maxBody bounds a completion request.
const maxBody = 16 << 20 // bytes

// complete serves completions, plain and as streams.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		refuse(w, http.StatusBadRequest, wire.CodeInvalid, err.Error())
		return
	}
	a, err := parseAsk(r, data, s.opts.PrefixBytes)
	if err != nil {
		refuse(w, http.StatusBadRequest, wire.CodeInvalid, err.Error())
		return
	}
	st, j, refusal := s.accept(r.Header.Get(wire.RequestID), a)
	if refusal != nil {
		refuse(w, refusal.status, refusal.code, refusal.message)
		return
	}
	defer s.unfollow(j)
	if a.stream {
		s.stream(w, r, st, j, 0)
		return
	}
	s.whole(w, r, st, j)
}

// refusal is why a request or an order is refused.
type refusal struct {
	status  int
	code    wire.Code
	message string
}

// accept queues a request and follows it.
func (s *Server) accept(id string, a ask) (*state, *job, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state
	ad := st.adapters[a.model]
	switch {
	case ad == nil || !ad.ready:
		return nil, nil, &refusal{http.StatusNotFound, wire.CodeNotLoaded, a.model.String() + " is not loaded"}
	case st.role == endpoint.RoleStandby:
		return nil, nil, &refusal{http.StatusServiceUnavailable, wire.CodeBusy, "on standby"}
	case st.waiting.Len() >= s.opts.MaxWaiting:
		return nil, nil, &refusal{http.StatusServiceUnavailable, wire.CodeBusy, "queue is full"}
	}
	j := s.submit(st, id, a.priority, a, ad)
	j.followers++
	return st, j, nil
}

// whole answers with the whole text.
func (s *Server) whole(w http.ResponseWriter, r *http.Request, st *state, j *job) {
	for {
		s.mu.Lock()
		changed, ended, tokens := j.changed, j.ended, j.tokens
		s.mu.Unlock()
		switch ended {
		case "":
		case endedDone:
			standin.WriteJSON(w, http.StatusOK, j.ask.whole(j.id, tokens))
			return
		default:
			fault.Cut()
		}
		select {
		case <-changed:
		case <-st.ctx.Done():
			fault.Cut()
		case <-r.Context().Done():
			return
		}
	}
}

// stream answers with the events from number next on.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, st *state, j *job, next int) {
	cutAfter := -1
	if f, ok := s.Faults.Take(fault.CutStream, r.URL.Path); ok {
		cutAfter = next + f.Events
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for {
		_ = flusher.Flush()
		s.mu.Lock()
		changed, ended, events := j.changed, j.ended, j.events
		s.mu.Unlock()
		for ; next < len(events); next++ {
			if next == cutAfter {
				_ = flusher.Flush()
				fault.Cut()
			}
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", next, events[next])
		}
		switch ended {
		case "":
		case endedDone:
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
			return
		default:
			fault.Cut()
		}
		_ = flusher.Flush()
		select {
		case <-changed:
		case <-st.ctx.Done():
			fault.Cut()
		case <-r.Context().Done():
			return
		}
	}
}

// resume continues a stream.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	next, err := strconv.Atoi(query.Get(wire.NextParam))
	if err != nil || next < 0 {
		refuse(w, http.StatusBadRequest, wire.CodeInvalid, "next is not a number")
		return
	}
	st := s.current()
	s.mu.Lock()
	j := st.jobs[query.Get(wire.IDParam)]
	known := j != nil && j.ask.stream && (j.ended == "" || j.ended == endedDone) && next <= len(j.events)
	s.mu.Unlock()
	if !known {
		refuse(w, http.StatusNotFound, wire.CodeGone, "request is not known")
		return
	}
	s.follow(j)
	defer s.unfollow(j)
	s.stream(w, r, st, j, next)
}

// cancel ends a request.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if j := s.state.jobs[r.URL.Query().Get(wire.IDParam)]; j != nil {
		j.cancel()
	}
	s.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

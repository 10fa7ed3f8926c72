package fault

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"
)

// refusal is the body of a refusal by Outage. Its code tells clients that nothing ran.
const refusal = `{"error":{"message":"outage","type":"server_error","code":"busy"}}`

// partnerTimeout bounds the wait of SwapAnswers for a second request.
const partnerTimeout = 2 * time.Second

// duplicateTimeout bounds the wait of DuplicateAnswer for the next request on the connection.
const duplicateTimeout = 2 * time.Second

// Wrap returns a handler that shows Latency, Outage and LostReply, and serves Path.
func (s *Set) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == Path {
			s.ServeHTTP(w, r)
			return
		}
		if f, ok := s.Take(Latency, r.URL.Path); ok && !sleep(r, f.Delay()) {
			return
		}
		if _, ok := s.Take(Outage, r.URL.Path); ok {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(refusal))
			return
		}
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			if _, ok := s.Take(LostReply, r.URL.Path); ok {
				next.ServeHTTP(newRecorder(), r)
				Cut()
			}
		}
		next.ServeHTTP(w, r)
	})
}

// WrapAnswers returns a handler that shows SwapAnswers and DuplicateAnswer.
func (s *Set) WrapAnswers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f, ok := s.Active(SwapAnswers); ok && strings.Contains(r.URL.Path, f.Marker) {
			answer := newRecorder()
			next.ServeHTTP(answer, r)
			s.exchange(r, answer).copyTo(w)
			return
		}
		if _, ok := s.Take(DuplicateAnswer, r.URL.Path); ok {
			answer := newRecorder()
			next.ServeHTTP(answer, r)
			answer.sendTwice(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Cut closes the connection of the request that is being served. It does not return.
func Cut() { panic(http.ErrAbortHandler) }

// sleep waits, and reports false if the client has gone. It reads the body first, because net/http
// notices only then that a client goes.
func sleep(r *http.Request, delay time.Duration) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// swap is an answer that waits for another.
type swap struct {
	answer *recorder
	other  chan *recorder
}

// exchange returns the answer of a concurrent request, or this one's own if none comes in time or the
// fault has shown often enough.
func (s *Set) exchange(r *http.Request, answer *recorder) *recorder {
	s.mu.Lock()
	if first := s.waiting; first != nil {
		s.waiting = nil
		s.mu.Unlock()
		if _, ok := s.Take(SwapAnswers, r.URL.Path); !ok {
			first.other <- first.answer
			return answer
		}
		first.other <- answer
		return first.answer
	}
	mine := &swap{answer: answer, other: make(chan *recorder, 1)}
	s.waiting = mine
	s.mu.Unlock()
	return s.awaitPartner(r, mine)
}

// awaitPartner returns the answer that a partner gives, or the swap's own if none comes in time.
func (s *Set) awaitPartner(r *http.Request, mine *swap) *recorder {
	timer := time.NewTimer(partnerTimeout)
	defer timer.Stop()
	select {
	case other := <-mine.other:
		return other
	case <-timer.C:
	case <-r.Context().Done():
	}
	s.mu.Lock()
	alone := s.waiting == mine
	if alone {
		s.waiting = nil
	}
	s.mu.Unlock()
	if alone {
		return mine.answer
	}
	return <-mine.other
}

// recorder keeps an answer.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newRecorder() *recorder { return &recorder{header: http.Header{}, status: http.StatusOK} }

// Header returns the answer's header.
func (a *recorder) Header() http.Header { return a.header }

// WriteHeader keeps the status.
func (a *recorder) WriteHeader(status int) { a.status = status }

// Write keeps a part of the body.
func (a *recorder) Write(p []byte) (int, error) { return a.body.Write(p) }

// Flush does nothing. It lets streams be recorded.
func (a *recorder) Flush() {}

func (a *recorder) copyTo(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes())
}

// sendTwice answers the request, and the next one on the same connection, with the same answer. Then
// it closes the connection.
func (a *recorder) sendTwice(w http.ResponseWriter) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		a.copyTo(w)
		return
	}
	defer conn.Close()
	if a.send(conn) != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(duplicateTimeout))
	next, err := http.ReadRequest(buffered.Reader)
	if err != nil {
		return
	}
	// Data that is left unread would have the connection reset before the client reads the answer.
	if _, err := io.Copy(io.Discard, next.Body); err != nil {
		return
	}
	_ = a.send(conn)
}

func (a *recorder) send(w io.Writer) error {
	resp := &http.Response{
		StatusCode:    a.status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        a.header,
		Body:          io.NopCloser(bytes.NewReader(a.body.Bytes())),
		ContentLength: int64(a.body.Len()),
	}
	return resp.Write(w)
}

package entry

import (
	"crypto/tls"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/result"
)

// Limits bound what callers can make a VM hold.
type Limits struct {
	// MaxBody bounds the bytes of a request body.
	MaxBody int64
	// MaxHeader bounds the bytes of a request header.
	MaxHeader int
	// MaxConnections bounds the callers' connections.
	MaxConnections int
	// MaxMemory bounds the bytes of all bodies and unfinished answers together.
	MaxMemory int64
	// HeaderTimeout bounds the time in which a header arrives.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time in which a body arrives.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time that one write of an answer may take.
	WriteTimeout time.Duration
	// IdleTimeout bounds the time that a connection is kept without a request.
	IdleTimeout time.Duration
	// DefaultTimeout is the deadline of a request that names none.
	DefaultTimeout time.Duration
	// MaxTimeout bounds the deadline that a caller may name.
	MaxTimeout time.Duration
}

// DefaultLimits suit a small VM.
func DefaultLimits() Limits {
	return Limits{
		MaxBody:        4 << 20,
		MaxHeader:      32 << 10,
		MaxConnections: 4096,
		MaxMemory:      256 << 20,
		HeaderTimeout:  5 * time.Second,
		BodyTimeout:    30 * time.Second,
		WriteTimeout:   10 * time.Second,
		IdleTimeout:    90 * time.Second,
		DefaultTimeout: 2 * time.Minute,
		MaxTimeout:     5 * time.Minute,
	}
}

// Memory bounds the bytes held for callers. It is safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a Memory of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Take reserves n bytes, or reports false.
func (m *Memory) Take(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// Give gives n bytes back.
func (m *Memory) Give(n int64) { m.used.Add(-n) }

// Used returns the bytes reserved.
func (m *Memory) Used() int64 { return m.used.Load() }

const (
	// firstRead is the buffer with which the reading of a body begins.
	firstRead = 4 << 10
	// memoryRetryAfter is when a caller is told to come back if there is no memory for its request.
	memoryRetryAfter = time.Second
)

// errTooLarge says that a body exceeds Limits.MaxBody.
var errTooLarge = errors.New("entry: body too large")

// readBody reads the request's body. The memory that it takes, held, is given back by the caller.
func (h *Handler) readBody(w *writer, r *http.Request) (body []byte, held int64, e *result.Error) {
	if r.ContentLength > h.limits.MaxBody {
		return nil, 0, result.New(result.BodyTooLarge, "the body is too large")
	}
	if encoding := r.Header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return nil, 0, result.New(result.BadHeader, "Content-Encoding is not supported")
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0, nil
	}
	// A connection without deadlines is a test's recorder.
	_ = w.control.SetReadDeadline(time.Now().Add(h.limits.BodyTimeout))
	body, held, err := h.grow(r.Body)
	_ = w.control.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		return body, held, nil
	case errors.Is(err, errNoMemory):
		e = result.New(result.QueueFull, "no memory for the body")
		e.RetryAfter = memoryRetryAfter
	case errors.Is(err, errTooLarge):
		e = result.New(result.BodyTooLarge, "the body is too large")
	default:
		e = result.New(result.MalformedBody, "the body did not arrive whole")
	}
	w.Header().Set("Connection", "close")
	return nil, held, e
}

// errNoMemory says that the memory for callers is used up.
var errNoMemory = errors.New("entry: no memory")

// grow reads all of src. The buffer grows with what has arrived, not with what was announced.
func (h *Handler) grow(src io.Reader) (body []byte, held int64, err error) {
	for {
		if len(body) == cap(body) {
			more := max(firstRead, cap(body))
			if !h.memory.Take(int64(more)) {
				return nil, held, errNoMemory
			}
			held += int64(more)
			next := make([]byte, len(body), len(body)+more)
			copy(next, body)
			body = next
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > h.limits.MaxBody {
			return nil, held, errTooLarge
		}
		if err == io.EOF {
			return body, held, nil
		}
		if err != nil {
			return nil, held, err
		}
	}
}

// NewHTTPServer returns the server of the callers' connections. It is served on a listener of callers.Limit.
func NewHTTPServer(h *Handler, tlsConfig *tls.Config) *http.Server {
	return &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: h.limits.HeaderTimeout,
		IdleTimeout:       h.limits.IdleTimeout,
		// The handler refuses smaller headers with a result code; net/http cuts off the larger ones.
		MaxHeaderBytes: 2 * h.limits.MaxHeader,
		ErrorLog:       h.errorLog(),
	}
}

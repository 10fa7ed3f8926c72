package entry

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/memory"
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

// memoryRetryAfter is when a caller is told to come back if there is no memory for its request.
const memoryRetryAfter = time.Second

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
	body, held, err := h.memory.ReadAll(r.Body, r.ContentLength, h.limits.MaxBody)
	_ = w.control.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		return body, held, nil
	case errors.Is(err, memory.ErrExhausted):
		e = result.New(result.QueueFull, "no memory for the body")
		e.RetryAfter = memoryRetryAfter
	case errors.Is(err, memory.ErrTooLarge):
		e = result.New(result.BodyTooLarge, "the body is too large")
	default:
		e = result.New(result.MalformedBody, "the body did not arrive whole")
	}
	w.Header().Set("Connection", "close")
	return nil, held, e
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

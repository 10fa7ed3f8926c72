package entry

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/memory"
	"github.com/mallowlink/mallowlink/pkg/result"
)

// Limits bounds the resources that callers can make a VM hold.
type Limits struct {
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64
	// MaxHeader is the maximum size of a request's target and header in bytes.
	MaxHeader int
	// MaxConnections is the maximum number of open connections of callers.
	MaxConnections int
	// MaxMemory is the maximum total size in bytes of all bodies and unfinished responses.
	MaxMemory int64
	// HeaderTimeout is the maximum time for receiving a request header.
	HeaderTimeout time.Duration
	// BodyTimeout is the maximum time for receiving a request body.
	BodyTimeout time.Duration
	// WriteTimeout is the maximum time for one write of a response.
	WriteTimeout time.Duration
	// IdleTimeout is the maximum time that a connection is kept open without a request.
	IdleTimeout time.Duration
	// DefaultTimeout is the timeout of a request if neither the caller nor the route names one.
	DefaultTimeout time.Duration
	// MaxTimeout is the maximum timeout of a request. Longer ones are reduced to it.
	MaxTimeout time.Duration
}

// DefaultLimits returns limits for a small VM.
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

// memoryRetryAfter is the Retry-After value sent if there is no memory for a request.
const memoryRetryAfter = time.Second

// readBody reads the request's body. It reserves held bytes of the memory budget; its caller must release
// them, also after an error.
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
	// The error is ignored: only the response recorders of tests lack deadlines.
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

// NewHTTPServer returns the HTTP server for callers' connections. It is to be served on a listener made by
// connlimit.LimitListener, which bounds their number.
func NewHTTPServer(h *Handler, tlsConfig *tls.Config) *http.Server {
	return &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: h.limits.HeaderTimeout,
		IdleTimeout:       h.limits.IdleTimeout,
		// Headers over MaxHeader up to this size are refused by the handler with a result code. net/http
		// itself rejects larger ones, without a result code.
		MaxHeaderBytes: 2 * h.limits.MaxHeader,
		ErrorLog:       h.errorLog(),
	}
}

// Package rest implements HTTP clients of the platform's table, object store and list of VMs.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/mallowlink/mallowlink/pkg/httponce"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// Defaults of Options.
const (
	DefaultTimeout          = 2 * time.Second
	DefaultMaxResponseBytes = 64 << 20
)

// maxErrorTextBytes limits how much of the body of an error response is copied into an error text.
const maxErrorTextBytes = 256

// Options configure the clients. Zero values select the defaults.
type Options struct {
	// Timeout limits the duration of one operation, including reading the response.
	Timeout time.Duration
	// MaxResponseBytes limits the size of a response body.
	MaxResponseBytes int64
	// Registry receives the counters platform.<service>.{reads,writes,unavailable,unknown}. If it is
	// nil, the counters are not published.
	Registry metrics.Registry
	HTTP     httponce.Options
}

// Error is a failed operation. It wraps one of the errors of package platform and the cause.
type Error struct {
	// Kind is one of the errors of package platform, such as platform.ErrUnavailable.
	Kind  error
	Cause error
}

// Error returns the texts of the kind and the cause.
func (e *Error) Error() string { return e.Kind.Error() + ": " + e.Cause.Error() }

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error { return []error{e.Kind, e.Cause} }

// client sends operations to one service and counts them.
type client struct {
	base             string
	http             *httponce.Client
	timeout          time.Duration
	maxResponseBytes int64
	counters         counters
}

type counters struct {
	reads       metrics.Counter
	writes      metrics.Counter
	unavailable metrics.Counter
	unknown     metrics.Counter
}

// newClient returns a client of the service at the base URL. The name of the service is part of the names
// of its counters.
func newClient(service, base string, opts Options) *client {
	registry := opts.Registry
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	c := &client{
		base:             strings.TrimRight(base, "/"),
		http:             httponce.New(opts.HTTP),
		timeout:          opts.Timeout,
		maxResponseBytes: opts.MaxResponseBytes,
		counters: counters{
			reads:       metrics.GetOrRegisterCounter("platform."+service+".reads", registry),
			writes:      metrics.GetOrRegisterCounter("platform."+service+".writes", registry),
			unavailable: metrics.GetOrRegisterCounter("platform."+service+".unavailable", registry),
			unknown:     metrics.GetOrRegisterCounter("platform."+service+".unknown", registry),
		},
	}
	if c.timeout == 0 {
		c.timeout = DefaultTimeout
	}
	if c.maxResponseBytes == 0 {
		c.maxResponseBytes = DefaultMaxResponseBytes
	}
	return c
}

// operation is one request to a service.
type operation struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
	// write reports whether the operation may change data: if its response is lost, its outcome is
	// unknown.
	write bool
}

// do performs and counts an operation. It returns the body of a successful response, else an
// *Error. Exceptions are a request that cannot be built and a status below 500 that stands for none of
// the errors of package platform: their error is not an *Error.
func (c *client) do(ctx context.Context, op operation) ([]byte, error) {
	if op.write {
		c.counters.writes.Inc(1)
	} else {
		c.counters.reads.Inc(1)
	}
	body, err := c.send(ctx, op)
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		c.counters.unavailable.Inc(1)
	case errors.Is(err, platform.ErrUnknown):
		c.counters.unknown.Inc(1)
	}
	return body, err
}

func (c *client) send(ctx context.Context, op operation) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := c.base + op.path
	if len(op.query) > 0 {
		target += "?" + op.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, op.method, target, bytes.NewReader(op.body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	for name, values := range op.header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, noResponseError(op, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxResponseBytes+1))
	if err != nil {
		return nil, partialResponseError(op, resp.StatusCode, err)
	}
	if int64(len(body)) > c.maxResponseBytes {
		err = errors.Errorf("response body exceeds %d bytes", c.maxResponseBytes)
		return nil, partialResponseError(op, resp.StatusCode, err)
	}
	return body, statusError(op, resp.StatusCode, body)
}

// noResponseError returns the error of an operation that received no response. A write that was
// sent may have been applied, so that its outcome is unknown.
func noResponseError(op operation, err error) error {
	var failed *httponce.Error
	if op.write && errors.As(err, &failed) && failed.Sent {
		return &Error{Kind: platform.ErrUnknown, Cause: err}
	}
	return &Error{Kind: platform.ErrUnavailable, Cause: err}
}

// partialResponseError returns the error of an operation whose response has a status but no usable body.
// The status of an error response is trusted, also where it means that nothing was written.
func partialResponseError(op operation, status int, err error) error {
	if status >= http.StatusMultipleChoices {
		return statusError(op, status, []byte(err.Error()))
	}
	if op.write {
		return &Error{Kind: platform.ErrUnknown, Cause: err}
	}
	return &Error{Kind: platform.ErrUnavailable, Cause: err}
}

// statusError returns the error that a status stands for, or nil if it is a success. A write that failed
// with a status of 500 or above, other than 503, may have been applied, so that its outcome is unknown.
func statusError(op operation, status int, body []byte) error {
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		return nil
	}
	text := string(body[:min(len(body), maxErrorTextBytes)])
	cause := errors.Errorf("%s %s: status %d: %s", op.method, op.path, status, text)
	switch status {
	case http.StatusNotFound:
		return &Error{Kind: platform.ErrNotFound, Cause: cause}
	case http.StatusConflict, http.StatusPreconditionFailed:
		return &Error{Kind: platform.ErrConflict, Cause: cause}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return &Error{Kind: platform.ErrUnavailable, Cause: cause}
	}
	if status < http.StatusInternalServerError {
		return cause
	}
	if op.write {
		return &Error{Kind: platform.ErrUnknown, Cause: cause}
	}
	return &Error{Kind: platform.ErrUnavailable, Cause: cause}
}

// decode parses a JSON response. A response that is not valid is treated as lost.
func decode(op operation, body []byte, out any) error {
	if err := json.Unmarshal(body, out); err != nil {
		return partialResponseError(op, http.StatusOK, errors.Wrap(err, "decode response"))
	}
	return nil
}

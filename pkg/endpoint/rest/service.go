// Package rest implements package endpoint over HTTP/1.1: clients of model engines and of plain services.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/endpoint/rest/wire"
	"github.com/mallowlink/mallowlink/pkg/httpheader"
	"github.com/mallowlink/mallowlink/pkg/httponce"
)

// Defaults of Options.
const (
	DefaultMaxResponse = 64 << 20 // bytes
	DefaultMaxEvent    = 1 << 20  // bytes
)

// maxFailureBody bounds the part of an error response that is read to find its code.
const maxFailureBody = 16 << 10 // bytes

// Options configure a Service or an Engine. Zero values mean the defaults.
type Options struct {
	// MaxResponse bounds the body of a response, in bytes.
	MaxResponse int64
	// MaxEvent bounds one event of a stream, in bytes.
	MaxEvent int
	// RequireRequestID makes responses without an X-Request-Id fail. Those with the identifier of another request
	// always fail.
	RequireRequestID bool
	// HTTP configures the underlying HTTP clients.
	HTTP httponce.Options
}

// Error is the failure of a call to an endpoint. It wraps one of the errors of package endpoint and
// the cause.
type Error struct {
	// Kind is one of the errors of package endpoint.
	Kind error
	// Cause is the error of the HTTP client or of the parser.
	Cause error
}

// Error describes the failure.
func (e *Error) Error() string { return e.Kind.Error() + ": " + e.Cause.Error() }

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error { return []error{e.Kind, e.Cause} }

// Service is a client of one plain service. It is safe for concurrent use.
type Service struct {
	// base is the URL before the paths of requests, without a slash at its end.
	base string
	// pooled sends requests on kept connections.
	pooled *httponce.Client
	// fresh sends each request on a new connection. It is used for requests that must not be lost on a kept
	// connection that the endpoint is just closing.
	fresh *httponce.Client
	opts  Options
}

var _ endpoint.Service = (*Service)(nil)

// NewService returns a client of the plain service at the base URL. Each request with a method other
// than GET and HEAD uses a new connection, so that none is lost on a kept one that the service is just
// closing.
func NewService(base string, opts Options) *Service {
	s := newPooled(base, opts)
	freshOptions := opts.HTTP
	freshOptions.FreshConnections = true
	s.fresh = httponce.New(freshOptions)
	return s
}

// newPooled returns a client that uses pooled connections for every request.
func newPooled(base string, opts Options) *Service {
	if opts.MaxResponse == 0 {
		opts.MaxResponse = DefaultMaxResponse
	}
	if opts.MaxEvent == 0 {
		opts.MaxEvent = DefaultMaxEvent
	}
	pooled := httponce.New(opts.HTTP)
	return &Service{base: strings.TrimRight(base, "/"), pooled: pooled, fresh: pooled, opts: opts}
}

// CloseIdle closes the connections that are not in use.
func (s *Service) CloseIdle() {
	s.pooled.CloseIdle()
	s.fresh.CloseIdle()
}

// Do sends the request. Only a response with status 503 and code "busy" is returned as
// endpoint.ErrBusy: unlike an engine, a service may have run a request that it answers with another
// 503.
func (s *Service) Do(ctx context.Context, req endpoint.Request) (endpoint.Response, error) {
	resp, err := s.send(ctx, req, httpheader.StripHopByHop(req.Header))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		return s.newResponse(resp, req.Stream, 0), nil
	}
	response, failure := s.readFailure(resp)
	if failure.Code == wire.CodeBusy {
		response.Close()
		return nil, errors.Wrap(endpoint.ErrBusy, failure.Message)
	}
	return response, nil
}

// send sends the request with the given header, which it may change, and returns the response if that
// belongs to the request.
func (s *Service) send(ctx context.Context, req endpoint.Request, header http.Header) (*http.Response, error) {
	hreq, err := http.NewRequestWithContext(ctx, req.Method, s.base+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	header.Set(wire.RequestID, req.ID)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	hreq.Header = header
	client := s.fresh
	if req.Method == http.MethodGet || req.Method == http.MethodHead {
		client = s.pooled
	}
	resp, err := client.Do(hreq)
	if err != nil {
		return nil, sendError(ctx, err)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		resp.Body.Close()
		return nil, errors.Wrap(endpoint.ErrTruncated, "endpoint switched protocols unasked")
	}
	if err := s.checkRequestID(resp, req.ID); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkRequestID returns endpoint.ErrMismatch if the response carries the identifier of another
// request, or none although Options.RequireRequestID is set.
func (s *Service) checkRequestID(resp *http.Response, id string) error {
	echo := resp.Header.Get(wire.RequestID)
	if echo == id || echo == "" && !s.opts.RequireRequestID {
		return nil
	}
	return errors.Wrapf(endpoint.ErrMismatch, "want %q, got %q", id, echo)
}

// sendError classifies an error of the HTTP client by how far the request went. Once any part of it
// was sent, the endpoint may have run it.
func sendError(ctx context.Context, err error) error {
	var failed *httponce.Error
	switch {
	case !errors.As(err, &failed) || failed.Sent:
		return &Error{Kind: endpoint.ErrTruncated, Cause: err}
	case ctx.Err() != nil:
		return &Error{Kind: endpoint.ErrNotSent, Cause: err}
	}
	return &Error{Kind: endpoint.ErrRefused, Cause: err}
}

// newResponse wraps resp for reading. If the request asked for a stream and the endpoint sent one,
// next is the number of its first event.
func (s *Service) newResponse(resp *http.Response, stream bool, next uint64) endpoint.Response {
	mediaType, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if stream && mediaType == "text/event-stream" {
		return newStreamResponse(resp, next, s.opts.MaxResponse, s.opts.MaxEvent)
	}
	return newBodyResponse(resp, s.opts.MaxResponse)
}

// readFailure wraps an error response, whose body can still be read from the start, and returns the
// detail of its wire.Failure. The detail is empty if the body has another form or breaks off.
func (s *Service) readFailure(resp *http.Response) (endpoint.Response, wire.FailureDetail) {
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxFailureBody))
	var failure wire.Failure
	if err == nil {
		// A body of another form has no code, so that the error does not matter.
		_ = json.Unmarshal(head, &failure)
	}
	resp.Body = replayedBody{Reader: io.MultiReader(bytes.NewReader(head), resp.Body), Closer: resp.Body}
	return s.newResponse(resp, false, 0), failure.Error
}

// replayedBody is a body whose beginning, read before, is returned again.
type replayedBody struct {
	io.Reader
	io.Closer
}

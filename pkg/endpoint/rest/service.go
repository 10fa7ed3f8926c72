// Package rest speaks to model engines and plain services over HTTP/1.1.
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
	DefaultMaxAnswer = 64 << 20 // bytes
	DefaultMaxEvent  = 1 << 20  // bytes
)

// maxFailure bounds the part of an error answer that is read to find its code.
const maxFailure = 16 << 10 // bytes

// Options configure the clients. Zero values mean the defaults.
type Options struct {
	// MaxAnswer bounds an answer, in bytes.
	MaxAnswer int64
	// MaxEvent bounds one event of a stream, in bytes.
	MaxEvent int
	// RequireEcho refuses answers that carry no X-Request-Id, as well as those with another's.
	RequireEcho bool
	HTTP        httponce.Options
}

// Error is a failure of a call. It wraps one of endpoint's errors and the cause.
type Error struct {
	// Kind is one of endpoint's errors.
	Kind  error
	Cause error
}

// Error describes the failure.
func (e *Error) Error() string { return e.Kind.Error() + ": " + e.Cause.Error() }

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error { return []error{e.Kind, e.Cause} }

// Service is a plain service.
type Service struct {
	base   string
	pooled *httponce.Client
	// fresh sends the requests that may not be lost on a connection that the server is closing.
	fresh *httponce.Client
	opts  Options
}

var _ endpoint.Service = (*Service)(nil)

// NewService returns a client of the plain service at the base URL. Requests with methods other than
// GET and HEAD each use a connection of their own, so that none is lost on a stale one.
func NewService(base string, opts Options) *Service {
	s := newPooled(base, opts)
	freshOptions := opts.HTTP
	freshOptions.FreshConnections = true
	s.fresh = httponce.New(freshOptions)
	return s
}

// newPooled returns a client that uses pooled connections for every request.
func newPooled(base string, opts Options) *Service {
	if opts.MaxAnswer == 0 {
		opts.MaxAnswer = DefaultMaxAnswer
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

// Do sends the request.
func (s *Service) Do(ctx context.Context, req endpoint.Request) (endpoint.Answer, error) {
	resp, err := s.send(ctx, req, httpheader.StripHopByHop(req.Header))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		return s.answer(resp, req.Stream, 0), nil
	}
	answer, failure := s.peek(resp)
	if failure.Code == wire.CodeBusy {
		answer.Close()
		return nil, errors.Wrap(endpoint.ErrBusy, failure.Message)
	}
	return answer, nil
}

// send sends the request with the header, which it may change, and checks whose answer comes back.
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
		return nil, errors.Wrap(endpoint.ErrCut, "endpoint switched protocols unasked")
	}
	if err := s.checkEcho(resp, req.ID); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkEcho refuses another request's answer.
func (s *Service) checkEcho(resp *http.Response, id string) error {
	echo := resp.Header.Get(wire.RequestID)
	if echo == id || echo == "" && !s.opts.RequireEcho {
		return nil
	}
	return errors.Wrapf(endpoint.ErrMismatch, "want %q, got %q", id, echo)
}

func sendError(ctx context.Context, err error) error {
	var failed *httponce.Error
	switch {
	case !errors.As(err, &failed) || failed.Sent:
		return &Error{Kind: endpoint.ErrCut, Cause: err}
	case ctx.Err() != nil:
		return &Error{Kind: endpoint.ErrNotSent, Cause: err}
	}
	return &Error{Kind: endpoint.ErrRefused, Cause: err}
}

// answer returns the answer of a response. If a stream was asked for, next is the number of its first
// event.
func (s *Service) answer(resp *http.Response, asked bool, next uint64) endpoint.Answer {
	kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if asked && kind == "text/event-stream" {
		return newStream(resp, next, s.opts.MaxAnswer, s.opts.MaxEvent)
	}
	return newBody(resp, s.opts.MaxAnswer)
}

// peek returns an error answer and, if its body is a wire.Failure, the detail of that.
func (s *Service) peek(resp *http.Response) (endpoint.Answer, wire.FailureDetail) {
	head, _ := io.ReadAll(io.LimitReader(resp.Body, maxFailure))
	var failure wire.Failure
	// Another form of body has no code.
	_ = json.Unmarshal(head, &failure)
	resp.Body = replayed{Reader: io.MultiReader(bytes.NewReader(head), resp.Body), Closer: resp.Body}
	return s.answer(resp, false, 0), failure.Error
}

// replayed is a body whose beginning was read before.
type replayed struct {
	io.Reader
	io.Closer
}

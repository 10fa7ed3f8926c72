package rest

import (
	"io"
	"net/http"
	"slices"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/endpoint/rest/sse"
	"github.com/mallowlink/mallowlink/pkg/httpheader"
)

// maxPiece is the largest piece of a plain body that Next returns.
const maxPiece = 32 << 10 // bytes

// maxTrailing bounds what Close reads of a stream after its end marker.
const maxTrailing = 4 << 10 // bytes

// bodyResponse is a response whose body is returned as it arrives, without parsing.
type bodyResponse struct {
	resp   *http.Response
	header http.Header
	// remaining is the number of bytes that may still arrive before the response exceeds its limit.
	remaining int64
	// framed is set if the end of the body can be recognized: its length is known or it is sent in chunks.
	framed bool
	// err is what Next returns from now on: io.EOF after the end.
	err error
}

func newBodyResponse(resp *http.Response, maxResponse int64) *bodyResponse {
	framed := resp.ContentLength >= 0 || resp.Body == http.NoBody ||
		slices.Contains(resp.TransferEncoding, "chunked")
	return &bodyResponse{resp: resp, header: httpheader.StripHopByHop(resp.Header), remaining: maxResponse, framed: framed}
}

// Status returns the HTTP status.
func (b *bodyResponse) Status() int { return b.resp.StatusCode }

// Header returns the header without hop-by-hop fields.
func (b *bodyResponse) Header() http.Header { return b.header }

// Next returns the next part of the body.
func (b *bodyResponse) Next() ([]byte, error) {
	if b.err != nil {
		return nil, b.err
	}
	piece := make([]byte, maxPiece)
	for {
		n, err := b.resp.Body.Read(piece)
		b.err = b.readError(err)
		if b.remaining -= int64(n); b.remaining < 0 {
			b.err = errors.Wrap(endpoint.ErrTooLarge, "body")
			return nil, b.err
		}
		if n > 0 {
			return piece[:n], nil
		}
		if b.err != nil {
			return nil, b.err
		}
	}
}

// readError translates an error of a read from the body. An end of the connection is the end of the
// response only if the body is framed; otherwise part of the body may be missing.
func (b *bodyResponse) readError(err error) error {
	switch {
	case err == nil:
		return nil
	case err == io.EOF && b.framed:
		return io.EOF
	case err == io.EOF:
		return errors.Wrap(endpoint.ErrTruncated, "body has no mark of its end")
	}
	return &Error{Kind: endpoint.ErrTruncated, Cause: err}
}

// Close releases the connection.
func (b *bodyResponse) Close() error { return b.resp.Body.Close() }

// streamResponse is a response that is a stream of server-sent events.
type streamResponse struct {
	resp   *http.Response
	header http.Header
	parser *sse.Parser
	// nextID is the number of the next event to return.
	nextID uint64
	// remaining is the number of bytes of data that may still arrive before the response exceeds its limit.
	remaining int64
	// err is what Next returns from now on: io.EOF after the end marker.
	err error
}

func newStreamResponse(resp *http.Response, first uint64, maxResponse int64, maxEvent int) *streamResponse {
	return &streamResponse{
		resp:      resp,
		header:    httpheader.StripHopByHop(resp.Header),
		parser:    sse.NewParser(resp.Body, maxEvent),
		nextID:    first,
		remaining: maxResponse,
	}
}

// Status returns the HTTP status.
func (s *streamResponse) Status() int { return s.resp.StatusCode }

// Header returns the header without hop-by-hop fields.
func (s *streamResponse) Header() http.Header { return s.header }

// Next returns the data of the next event. It skips events that were received already, and fails with
// endpoint.ErrTruncated if an event is missing.
func (s *streamResponse) Next() ([]byte, error) {
	for s.err == nil {
		ev, err := s.parser.Next()
		switch {
		case errors.Is(err, sse.ErrTooLarge):
			s.err = &Error{Kind: endpoint.ErrTooLarge, Cause: err}
		case err != nil:
			s.err = &Error{Kind: endpoint.ErrTruncated, Cause: err}
		case string(ev.Data) == sse.EndMarker:
			s.err = io.EOF
		case ev.Numbered && ev.ID < s.nextID:
			continue
		case ev.Numbered && ev.ID > s.nextID:
			s.err = errors.Wrapf(endpoint.ErrTruncated, "event %d missing", s.nextID)
		default:
			return s.deliver(ev.Data)
		}
	}
	return nil, s.err
}

// deliver counts the event and returns its data, or ErrTooLarge if the stream has exceeded its limit.
func (s *streamResponse) deliver(data []byte) ([]byte, error) {
	s.nextID++
	if s.remaining -= int64(len(data)); s.remaining < 0 {
		s.err = errors.Wrap(endpoint.ErrTooLarge, "stream")
		return nil, s.err
	}
	return data, nil
}

// Close releases the connection. After the end marker it first reads the rest of the body, because net/http
// reuses only connections whose response was read to its end.
func (s *streamResponse) Close() error {
	if s.err == io.EOF {
		_, _ = io.CopyN(io.Discard, s.resp.Body, maxTrailing)
	}
	return s.resp.Body.Close()
}

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

// pieceSize bounds the pieces in which a plain body is returned.
const pieceSize = 32 << 10 // bytes

// maxRest bounds what is read of a stream after its end marker.
const maxRest = 4 << 10 // bytes

// body is a plain answer.
type body struct {
	resp   *http.Response
	header http.Header
	// left is the number of bytes that may still come.
	left int64
	// framed says that the connection marks the end of the body, by length or chunks.
	framed bool
	err    error
}

func newBody(resp *http.Response, maxAnswer int64) *body {
	framed := resp.ContentLength >= 0 || resp.Body == http.NoBody ||
		slices.Contains(resp.TransferEncoding, "chunked")
	return &body{resp: resp, header: httpheader.StripHopByHop(resp.Header), left: maxAnswer, framed: framed}
}

// Status returns the HTTP status.
func (b *body) Status() int { return b.resp.StatusCode }

// Header returns the header without hop-by-hop fields.
func (b *body) Header() http.Header { return b.header }

// Next returns the next part of the body.
func (b *body) Next() ([]byte, error) {
	if b.err != nil {
		return nil, b.err
	}
	piece := make([]byte, pieceSize)
	for {
		n, err := b.resp.Body.Read(piece)
		b.err = b.end(err)
		if b.left -= int64(n); b.left < 0 {
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

// end returns what the end of the body means.
func (b *body) end(err error) error {
	switch {
	case err == nil:
		return nil
	case err == io.EOF && b.framed:
		return io.EOF
	case err == io.EOF:
		return errors.Wrap(endpoint.ErrCut, "body has no mark of its end")
	}
	return &Error{Kind: endpoint.ErrCut, Cause: err}
}

// Close releases the connection.
func (b *body) Close() error { return b.resp.Body.Close() }

// stream is an answer of server-sent events.
type stream struct {
	resp   *http.Response
	header http.Header
	parser *sse.Parser
	// expected is the number of the next event.
	expected uint64
	left     int64
	err      error
}

func newStream(resp *http.Response, first uint64, maxAnswer int64, maxEvent int) *stream {
	return &stream{
		resp:     resp,
		header:   httpheader.StripHopByHop(resp.Header),
		parser:   sse.NewParser(resp.Body, maxEvent),
		expected: first,
		left:     maxAnswer,
	}
}

// Status returns the HTTP status.
func (s *stream) Status() int { return s.resp.StatusCode }

// Header returns the header without hop-by-hop fields.
func (s *stream) Header() http.Header { return s.header }

// Next returns the data of the next event. Events that were seen already are skipped, and a missing
// one cuts the stream.
func (s *stream) Next() ([]byte, error) {
	for s.err == nil {
		ev, err := s.parser.Next()
		switch {
		case errors.Is(err, sse.ErrTooLarge):
			s.err = &Error{Kind: endpoint.ErrTooLarge, Cause: err}
		case err != nil:
			s.err = &Error{Kind: endpoint.ErrCut, Cause: err}
		case string(ev.Data) == sse.EndMarker:
			s.err = io.EOF
		case ev.Numbered && ev.ID < s.expected:
			continue
		case ev.Numbered && ev.ID > s.expected:
			s.err = errors.Wrapf(endpoint.ErrCut, "event %d missing", s.expected)
		default:
			return s.take(ev.Data)
		}
	}
	return nil, s.err
}

func (s *stream) take(data []byte) ([]byte, error) {
	s.expected++
	if s.left -= int64(len(data)); s.left < 0 {
		s.err = errors.Wrap(endpoint.ErrTooLarge, "stream")
		return nil, s.err
	}
	return data, nil
}

// Close releases the connection. The rest of a whole stream is read, so that the connection can be
// used again.
func (s *stream) Close() error {
	if s.err == io.EOF {
		_, _ = io.CopyN(io.Discard, s.resp.Body, maxRest)
	}
	return s.resp.Body.Close()
}

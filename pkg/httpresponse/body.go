package httpresponse

import (
	"io"
	"net/http"
)

// Body returns the body of a response. It ends with an error that wraps ErrMalformed if a name in the trailer is not a token.
func Body(resp *http.Response) io.ReadCloser { return &body{ReadCloser: resp.Body, resp: resp} }

type body struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		for name := range b.resp.Trailer {
			if !isToken(name) {
				return n, malformed("trailer field %.80q", name)
			}
		}
	}
	return n, err
}

package upstream

import (
	"io"
	"syscall"

	"github.com/go-faster/errors"
)

// Ended reports whether a request has failed because the endpoint's side of its connection has ended: closed or reset.
// Either the endpoint has ended, or only the connection has.
func Ended(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

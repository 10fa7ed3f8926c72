package upstream

import (
	"io"
	"syscall"

	"github.com/go-faster/errors"
)

// ConnectionClosed reports whether a request has failed because the endpoint closed or reset the connection. The endpoint's
// process may have ended, or only the connection.
func ConnectionClosed(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

package connlimit

import (
	"io"
	"net/http"
	"time"
)

// unreadBodyTimeout bounds the time for which a server reads the rest of a body that its handler has not read to the end, so that the
// connection can be reused.
const unreadBodyTimeout = 5 * time.Second

// LimitUnreadBodies returns a handler that calls next and bounds the time for which the rest of the request's body is awaited
// afterwards. net/http sets no limit for that by itself, so that a body that stops arriving would hold its connection.
func LimitUnreadBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body := &trackedBody{ReadCloser: r.Body}
		r.Body = body
		next.ServeHTTP(w, r)
		if !body.ended {
			// It fails only for response recorders and connections that have been taken over.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
		}
	})
}

// trackedBody is a body that records whether it has been read to its end. Once it has, net/http watches the connection for its end, and
// a read deadline would count as that.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Package standin runs the stand-ins: small in-memory replacements of the platform's services and of
// endpoints, for development, tests and the standalone mode. They keep nothing and check no keys.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Timeouts of the stand-ins' servers.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
	// shutdownTimeout is how long running requests may take to end once the context is done.
	shutdownTimeout = time.Second
)

// maxMessage bounds the bodies that ReadJSON reads.
const maxMessage = 16 << 20 // bytes

// Run listens on the address and serves the handler until the context is done. It calls ready, which
// may be nil, with the bound address.
func Run(ctx context.Context, address string, handler http.Handler, ready func(net.Addr)) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if ready != nil {
		ready(listener.Addr())
	}
	return Serve(ctx, listener, handler)
}

// Serve serves the handler on the listener, which it closes, until the context is done.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdown) != nil {
			server.Close()
		}
	})
	err := server.Serve(listener)
	if !stop() {
		<-stopped
	}
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// ReadJSON decodes the body of a request. If it cannot, it answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessage)).Decode(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON answers with a JSON message.
func WriteJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client is gone if this fails.
	_ = json.NewEncoder(w).Encode(message)
}

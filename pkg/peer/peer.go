// Package peer is the RPC transport between VMs: net/rpc over mutual TLS, with a pooling client (Pool)
// and a Server.
package peer

import (
	"context"

	"github.com/go-faster/errors"
)

// Errors that Call returns, possibly wrapped. Any other error comes from the called method.
var (
	// ErrRefused means that no connection could be opened, so that the peer has not received the call. Its process may
	// have exited, or the network rejects connections to a peer that still runs.
	ErrRefused = errors.New("peer: connection refused")
	// ErrUnreachable means that the call failed or timed out. The peer may still have executed it.
	ErrUnreachable = errors.New("peer: unreachable")
)

// Client calls RPC methods of other VMs.
type Client interface {
	// Call invokes method (in net/rpc's form, "Service.Method") at the peer address.
	Call(ctx context.Context, address, method string, args, reply any) error
}

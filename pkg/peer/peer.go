// Package peer is the RPC transport between VMs: net/rpc over mutual TLS, with a pooling client (Pool)
// and a Server.
package peer

import (
	"context"

	"github.com/go-faster/errors"
)

// Errors that Call returns, possibly wrapped. Any other error comes from the called method.
var (
	// ErrRefused means that nothing listens at the address: the process there has exited.
	ErrRefused = errors.New("peer: connection refused")
	// ErrUnreachable means that the call failed or timed out. The peer may still have executed it.
	ErrUnreachable = errors.New("peer: unreachable")
)

// Client calls RPC methods of other VMs.
type Client interface {
	// Call invokes method (in net/rpc's form, "Service.Method") at the peer address.
	Call(ctx context.Context, address, method string, args, reply any) error
}

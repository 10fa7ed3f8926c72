package gateway

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// callerSendBuffer is the size of the send buffer of a caller's connection in bytes; the kernel doubles it. Without a limit,
// the kernel held 2.3 to 3.9 MB for a caller on a loopback connection that did not read.
const callerSendBuffer = 128 << 10

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// ConnContext limits the send buffer of a caller's connection, and makes the connection known to the gateway, which checks on it
// whether a caller reads its response. It is meant for http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	raw := unwrap(conn)
	if c, ok := raw.(interface{ SetWriteBuffer(bytes int) error }); ok {
		// The connection may have been reset already.
		_ = c.SetWriteBuffer(callerSendBuffer)
	}
	if c, ok := raw.(syscall.Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// unwrap returns the connection that others wrap, as tls.Conn does.
func unwrap(conn net.Conn) net.Conn {
	for {
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = outer.NetConn()
	}
}

// acknowledged returns the number of bytes of which the caller's kernel has acknowledged the receipt on the connection of a
// request's context, or 0 if that is not known.
func acknowledged(ctx context.Context) uint64 {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	var bytes uint64
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			bytes = info.Bytes_acked
		}
	})
	return bytes
}

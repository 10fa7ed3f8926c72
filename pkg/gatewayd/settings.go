package gatewayd

import "time"

// Settings are the static settings of one VM's process.
type Settings struct {
	// VM identifies the VM.
	VM            string
	FailureDomain string
	Listen        Listen
	Limits        Limits
	Bounds        Bounds
	// Store is the address of the platform's metadata store, as IP and port.
	Store string
	// FirstStart says that the whole deployment starts for the first time.
	FirstStart bool
	// LogLevel is a level of logrus; info if empty.
	LogLevel string
}

// Listen holds the addresses that the process listens on, as IP and port.
type Listen struct {
	// Callers takes callers' requests.
	Callers string
	// Readiness answers whether new connections of callers should come here.
	Readiness string
	// Peer takes calls of other VMs.
	Peer string
	// Metrics serves metrics and the dump of the process's state.
	Metrics string
	// PeerPublic is where other VMs reach Peer, if something stands between; empty otherwise.
	PeerPublic string
}

// peerAddress returns where other VMs reach this one.
func (l Listen) peerAddress() string {
	if l.PeerPublic != "" {
		return l.PeerPublic
	}
	return l.Peer
}

// Limits are what the VM gives the process.
type Limits struct {
	// MemoryBytes bounds the process's memory.
	MemoryBytes int64
	// Descriptors bounds its open files and sockets.
	Descriptors int
	// Cores is its share of a core.
	Cores float64
}

// Bounds are the deployment's figures that the process works by.
type Bounds struct {
	// KeyWithdrawal is the time within which a withdrawn key must stop working on every VM.
	KeyWithdrawal time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// OrderTurns is the least time between orders of two VMs that take turns at an endpoint.
	OrderTurns time.Duration
	Retry      RetryBounds
	Quota      QuotaBounds
}

// RetryBounds bound the repeated requests to a group, by all VMs together, within a window: to a share of
// the requests, and a number on top.
type RetryBounds struct {
	Share   float64
	Reserve float64
	Window  time.Duration
}

// QuotaBounds say what a client account may exceed its limit by within a window: a share of the limit, and
// tokens on top.
type QuotaBounds struct {
	Overage float64
	Slack   float64
	Window  time.Duration
}

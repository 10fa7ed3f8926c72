package gatewayd

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mallowlink/mallowlink/pkg/connlimit"
	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/memory"
	"github.com/mallowlink/mallowlink/pkg/peer"
)

// Shares of a VM's memory. docs/design/caller-limits.md adds them up.
const (
	// headMemoryShare is the share that heads of callers' requests may use beyond what each connection has free, and
	// defaultHeadMemory their limit in bytes if the settings do not limit the VM's memory.
	headMemoryShare   = 0.125
	defaultHeadMemory = 64 << 20
	// callerConnectionShare and peerConnectionShare are the shares for open connections, at connectionBytes each: buffers, goroutines and
	// the first part of a head. Measured are 12 KB for a connection of a caller that stops in the first line.
	callerConnectionShare = 0.25
	peerConnectionShare   = 0.1
	connectionBytes       = 16 << 10
	// peerMessageShare is the share for messages of other VMs that are larger than a few kilobytes. minPeerMemory lets one of the
	// largest size arrive.
	peerMessageShare = 0.125
	minPeerMemory    = 2*maxPeerMessage + 1<<20
	// peerCallShare is the share for running calls of other VMs, at callBytes each.
	peerCallShare = 0.1
	callBytes     = 8 << 10
	// maxPeerMessage is the most bytes of one message of another VM. The largest is a full update of the relay: about 100 bytes for each of
	// 12,000 endpoints, and the configuration.
	maxPeerMessage = 8 << 20
)

const (
	// headSeparatorFactor and headSlackBytes set how many bytes a head may have as sent: max_header_bytes counts neither the separators
	// between names and values nor the ends of lines. A head above max_header_bytes and below this is refused by the gateway, with a
	// result code.
	headSeparatorFactor = 2
	headSlackBytes      = 4 << 10
	// peerDescriptorShare is the share of descriptors for connections of other VMs. A VM that finds no open connection opens one for each
	// call at that moment, so more are open for a while than there are VMs.
	peerDescriptorShare = 1.0 / 3
	// statusHeadBytes and statusConnections bound the heads and the connections of the readiness and metrics servers, and
	// readinessTimeout and metricsTimeout the time from the begin of a request to the end of its answer. A CPU profile takes 30 s by
	// default, and net/http ends its context when a read timeout passes.
	statusHeadBytes   = 4 << 10
	statusConnections = 32
	statusIdleTimeout = time.Minute
	readinessTimeout  = 10 * time.Second
	metricsTimeout    = 3 * time.Minute
)

// maxCallerConnections returns the number of callers' connections that the VM's descriptors and memory allow.
func maxCallerConnections(l Limits) int {
	byDescriptors := max(l.Descriptors-reservedDescriptors, reservedDescriptors)
	if l.Descriptors > 0 && l.Descriptors < 2*reservedDescriptors {
		byDescriptors = l.Descriptors / 2
	}
	return limitByMemory(byDescriptors, callerConnectionShare, connectionBytes, l)
}

// maxPeerConnections returns the number of connections of other VMs that the VM's descriptors and memory allow.
func maxPeerConnections(l Limits) int {
	byDescriptors := peer.MaxConnections
	if l.Descriptors > 0 {
		byDescriptors = min(byDescriptors, int(peerDescriptorShare*float64(l.Descriptors)))
	}
	return limitByMemory(byDescriptors, peerConnectionShare, connectionBytes, l)
}

// limitByMemory returns n, or fewer if n times size bytes would exceed the share of the VM's memory.
func limitByMemory(n int, share float64, size int64, l Limits) int {
	if l.MemoryBytes <= 0 {
		return n
	}
	return max(1, min(n, int(share*float64(l.MemoryBytes))/int(size)))
}

// peerLimits returns the bounds of connections of other VMs.
func peerLimits(l Limits) peer.Limits {
	limits := peer.Limits{Connections: maxPeerConnections(l), MessageBytes: maxPeerMessage}
	if l.MemoryBytes > 0 {
		limits.Memory = memory.NewBudget(max(minPeerMemory, int64(peerMessageShare*float64(l.MemoryBytes))))
		limits.Calls = int(peerCallShare*float64(l.MemoryBytes)) / callBytes
	}
	return limits
}

// metricHeadMemory is the name of the gauge of the memory that heads of callers' requests use, in bytes.
const metricHeadMemory = "gateway.head_memory_held"

// newHeadLimiter returns the limits of callers' heads.
func newHeadLimiter(s Settings, view *fleetView, registry metrics.Registry, refusals *connlimit.Refusals) *connlimit.HeadLimiter {
	limit := int64(headMemoryShare * float64(s.Limits.MemoryBytes))
	if limit == 0 {
		limit = defaultHeadMemory
	}
	budget := memory.NewBudget(limit)
	metrics.NewRegisteredFunctionalGauge(metricHeadMemory, registry, budget.Used)
	return &connlimit.HeadLimiter{
		MaxBytes: func() int64 { return maxHeadBytes(view.rules.Load()) },
		Memory:   budget, Refusals: refusals,
	}
}

// maxHeadBytes returns how many bytes a head may have as sent, by the configuration in force, which may be nil.
func maxHeadBytes(rules *gateway.Rules) int64 {
	if rules == nil || rules.Bundle.Callers.HeaderBytes <= 0 {
		return defaultHeaderBytes
	}
	return min(defaultHeaderBytes, headSeparatorFactor*int64(rules.Bundle.Callers.HeaderBytes)+headSlackBytes)
}

// callerTimeouts returns the timeouts for callers by the configuration in force, which may be nil.
func callerTimeouts(rules *gateway.Rules) connlimit.Timeouts {
	timeouts := connlimit.Timeouts{Header: defaultHeaderTimeout, Idle: defaultIdleTimeout}
	if rules == nil {
		return timeouts
	}
	if limit := rules.Bundle.Callers.HeaderTimeout; limit > 0 {
		timeouts.Header = limit
	}
	if limit := rules.Bundle.Callers.IdleTimeout; limit > 0 {
		timeouts.Idle = limit
	}
	return timeouts
}

// newStatusServer returns a server for readiness or metrics, whose requests are small.
func newStatusServer(handler http.Handler, timeout time.Duration) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: statusHeadBytes, ReadHeaderTimeout: defaultHeaderTimeout, ReadTimeout: timeout,
		WriteTimeout: timeout, IdleTimeout: statusIdleTimeout,
	}
}

package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/gateway"
)

// Guards against limits by memory that lower the number of connections on the VMs of today's deployments, and against more connections
// than a VM has descriptors or memory for.
func TestConnectionLimits(t *testing.T) {
	for _, test := range []struct {
		memoryMB       int64
		descriptors    int
		callers, peers int
	}{
		{144, 3075, 1575, 921},
		{536, 10250, 8576, 2048},
		{0, 0, 1500, 2048},
		{0, 5000, 3500, 1666},
		{64, 600, 300, 200},
		{32, 3075, 512, 204},
	} {
		l := Limits{MemoryBytes: test.memoryMB << 20, Descriptors: test.descriptors}
		require.Equal(t, test.callers, maxCallerConnections(l), "%+v", test)
		require.Equal(t, test.peers, maxPeerConnections(l), "%+v", test)
	}
}

// Guards against a full update of the relay that never fits into the memory for messages.
func TestLargestPeerMessageFits(t *testing.T) {
	limits := peerLimits(Limits{MemoryBytes: 32 << 20})
	require.True(t, limits.Memory.Reserve(2*maxPeerMessage))
}

// Guards against limits of callers that do not follow the configuration, and against an answer that is given up before its time limit.
func TestCallerLimitsFollowTheConfiguration(t *testing.T) {
	require.EqualValues(t, defaultHeaderBytes, maxHeadBytes(nil))
	rules := &gateway.Rules{Bundle: &bundle.Bundle{
		Callers: bundle.CallerLimits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes:  map[string]bundle.Route{"long": {Timeout: time.Minute}},
	}}
	require.EqualValues(t, 36<<10, maxHeadBytes(rules))
	timeouts := callerTimeouts(rules)
	require.Equal(t, 3*time.Second, timeouts.Header)
	require.Equal(t, 15*time.Second, timeouts.Idle)
	require.Equal(t, defaultIdleTimeout, callerTimeouts(nil).Idle)
}

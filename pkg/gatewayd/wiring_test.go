package gatewayd

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/membership"
)

// fakeFleet is a fleet of that many VMs, as seen from one of them.
type fakeFleet int

func (n *fakeFleet) Members() []membership.Member { return make([]membership.Member, int(*n)) }

// VMs that are cut off from each other expire from each other's view. All VMs together must still make no more
// retries without traffic than the reserve of the whole fleet allows.
func TestVMsThatLoseSightOfEachOtherKeepToTheFleetRetryReserve(t *testing.T) {
	const fleet, reserve = 83, 54.0
	members := fakeFleet(fleet)
	r := newRetryLimiter(RetryBounds{Share: 0.2, Reserve: reserve, Window: 10 * time.Second}, &members)
	retries := func() int {
		n := 0
		for window := r.window("g"); window.AllowRetry(time.Unix(1_700_000_000, 0)) && n < 100; n++ {
		}
		return n
	}
	require.LessOrEqual(t, fleet*retries(), int(reserve))
	members = 1
	require.LessOrEqual(t, fleet*retries(), int(reserve))
	small := fakeFleet(1)
	r = newRetryLimiter(RetryBounds{Share: 0.2, Reserve: reserve, Window: 10 * time.Second}, &small)
	require.EqualValues(t, maxRetryReserve, retries(), "one VM that has never known another one")
}

// Guards against a gateway that cannot find out whether callers read their responses.
func TestGatewayKnowsTheConnectionsOfCallers(t *testing.T) {
	require.NotNil(t, newServers(Settings{}, nil, nil, metrics.NewRegistry()).callers.ConnContext)
}

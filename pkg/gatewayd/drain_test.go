package gatewayd

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// grace is the time between SIGTERM and SIGKILL in the tests.
const grace = 7 * time.Second

// A stopping process must stop accepting requests after balancerDelay even if its leases cannot be handed over.
// A request that it accepted shortly before SIGKILL would be interrupted.
func TestDrainStopsAcceptingRequestsWhileLeasesCannotBeHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := test.NewNullLogger()
		begun := time.Now()
		var refused, closed time.Duration
		ctx, cancel := context.WithTimeout(t.Context(), grace)
		defer cancel()
		drainer{
			handOver: func(ctx context.Context) error {
				<-ctx.Done()
				return ctx.Err()
			},
			shutDown: func(context.Context) error {
				closed = time.Since(begun)
				require.Equal(t, closed, refused, "requests must be refused before idle connections are closed")
				return nil
			},
			refuse:    func() { refused = time.Since(begun) },
			interrupt: func() { t.Error("no request was left to interrupt") },
			log:       log,
		}.run(ctx)
		require.Equal(t, balancerDelay, closed)
		require.Equal(t, grace, time.Since(begun), "the handover of the leases must be tried until the grace period ends")
	})
}

// A VM without leases has nothing to hand over, so its drain returns at once. It must not become a steward
// while it stops.
func TestVMWithoutLeasesDrainsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := test.NewNullLogger()
		s := &stewardSet{log: log, vms: map[string]knownVM{}}
		begun := time.Now()
		require.NoError(t, s.drain(t.Context()))
		require.Zero(t, time.Since(begun))
		require.False(t, s.becomeSteward())
		require.False(t, s.isSteward())
	})
}

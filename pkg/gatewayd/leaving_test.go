package gatewayd

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

// A run of an endpoint that has said in an answer that it leaves gets no new requests, whatever older or newer lists say;
// its next run does.
func TestEndpointsThatSayThatTheyLeaveGetNoNewRequests(t *testing.T) {
	log, lines := test.NewNullLogger()
	b := newBeliefs(Platform{}, log)
	changes := 0
	b.changed = func() { changes++ }
	now := time.Now()
	draining := func(id string) bool {
		e, listed := b.roster.View().Endpoint(id)
		require.True(t, listed)
		return e.Draining
	}
	b.takeEndpoints([]roster.Endpoint{listed("a", false), listed("b", false)}, 10, now)
	require.True(t, b.takeLeaving(listed("a", false).Incarnation))
	require.Equal(t, 2, changes, "order givers hear of it")
	require.False(t, b.takeLeaving(listed("a", false).Incarnation), "it was known")
	require.Equal(t, "endpoint_leaves", lines.AllEntries()[2].Data["event"])
	require.True(t, draining("a"))
	require.False(t, draining("b"))

	b.takeEndpoints([]roster.Endpoint{listed("a", false), listed("b", false)}, 11, now)
	require.True(t, draining("a"), "the list has not heard of it")
	b.takeEndpoints([]roster.Endpoint{listed("b", false)}, 12, now)
	b.takeEndpoints([]roster.Endpoint{listed("a", false), listed("b", false)}, 13, now)
	require.True(t, draining("a"), "its entry had lapsed")

	again := listed("a", false)
	again.Started++
	b.takeEndpoints([]roster.Endpoint{again, listed("b", false)}, 14, now)
	require.False(t, draining("a"))
}

package gatewayd

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/relay"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// updatesOf returns the entries of a board with that list of endpoints.
func updatesOf(t *testing.T, position uint64, list ...roster.Endpoint) []relay.Entry {
	t.Helper()
	entries := []relay.Entry{{
		Topic: relay.Positions, Key: string(relay.Endpoints), Value: []byte(strconv.FormatUint(position, 10)),
	}}
	for _, e := range list {
		data, err := json.Marshal(e)
		require.NoError(t, err)
		entries = append(entries, relay.Entry{Topic: relay.Endpoints, Key: e.ID, Value: data})
	}
	return entries
}

func listedEndpoint(id string, draining bool) roster.Endpoint {
	return roster.Endpoint{Incarnation: roster.Incarnation{ID: id, Started: 1}, Group: "g", Draining: draining}
}

// A VM turns to another one that has read the store long ago, and not since: the endpoints that have come and
// gone meanwhile stay as they are known.
func TestOutdatedUpdateDoesNotReplaceEndpointList(t *testing.T) {
	log, _ := test.NewNullLogger()
	v := newFleetView(Platform{}, log)
	a := newUpdateApplier(v, &stewardSet{log: log, vms: map[string]knownVM{}}, log)
	now := time.Now()

	a.apply(updatesOf(t, 350, listedEndpoint("a", false), listedEndpoint("b", false), listedEndpoint("leaving", true)), true, now, now)
	a.apply(updatesOf(t, 360, listedEndpoint("c", false)), false, now, now)
	require.Len(t, v.roster.View().All(), 4)

	old := now.Add(-14 * time.Second)
	a.apply(updatesOf(t, 31, listedEndpoint("a", false), listedEndpoint("leaving", false), listedEndpoint("gone", false)), true, old, old)
	require.Equal(t, []string{"a", "b", "c", "leaving"}, ids(v.roster.View().All()))
	leaving, _ := v.roster.View().Endpoint("leaving")
	require.True(t, leaving.Draining)

	// The other VM reads the store again.
	later := now.Add(time.Second)
	a.apply(updatesOf(t, 370, listedEndpoint("b", false)), false, later, later)
	require.Equal(t, []string{"a", "b", "gone", "leaving"}, ids(v.roster.View().All()), "all that it has listed")
}

// A VM that was cut off from the store has lost sight of an endpoint that has left meanwhile, and keeps it for a
// while. The others have seen it go.
func TestRemovedEndpointIsNotListedAgainByVMThatMissedTheRemoval(t *testing.T) {
	log, _ := test.NewNullLogger()
	now := time.Now()
	kept := listedEndpoint("gone", false)
	kept.Kept = true

	saw := newFleetView(Platform{}, log)
	saw.applyEndpoints([]roster.Endpoint{listedEndpoint("a", false), listedEndpoint("gone", false)}, 350, now)
	saw.applyEndpoints([]roster.Endpoint{listedEndpoint("a", false)}, 360, now)
	saw.applyEndpoints([]roster.Endpoint{listedEndpoint("a", false), kept}, 370, now)
	require.Equal(t, []string{"a"}, ids(saw.roster.View().All()))
	saw.applyEndpoints([]roster.Endpoint{listedEndpoint("a", false), listedEndpoint("gone", false)}, 380, now)
	require.Equal(t, []string{"a", "gone"}, ids(saw.roster.View().All()), "it is on the list again")

	// For this one the store was away as well.
	missed := newFleetView(Platform{}, log)
	missed.applyEndpoints([]roster.Endpoint{listedEndpoint("a", false), listedEndpoint("gone", false)}, 350, now)
	missed.applyEndpoints([]roster.Endpoint{listedEndpoint("a", false), kept}, 370, now)
	require.Equal(t, []string{"a", "gone"}, ids(missed.roster.View().All()))

	started := newFleetView(Platform{}, log)
	started.applyEndpoints([]roster.Endpoint{listedEndpoint("a", false), kept}, 370, now)
	require.Equal(t, []string{"a", "gone"}, ids(started.roster.View().All()))
}

// A table that was made anew starts at lower positions.
func TestLowerPositionConfirmedLaterIsAccepted(t *testing.T) {
	log, _ := test.NewNullLogger()
	v := newFleetView(Platform{}, log)
	now := time.Now()
	v.applyEndpoints([]roster.Endpoint{listedEndpoint("a", false)}, 350, now)
	v.confirm(now, now)
	v.applyEndpoints([]roster.Endpoint{listedEndpoint("b", false)}, 2, now.Add(time.Second))
	require.Equal(t, []string{"b"}, ids(v.roster.View().All()))
}

func ids(list []roster.Endpoint) []string {
	var names []string
	for _, e := range list {
		names = append(names, e.ID)
	}
	return names
}

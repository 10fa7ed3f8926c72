package gatewayd

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/ratelimit"
	"github.com/mallowlink/mallowlink/pkg/relay"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// publishedCold returns what other VMs get from this one about the cold time of an endpoint.
func (vm *readingVM) publishedCold(id string) roster.Cold {
	vm.t.Helper()
	entries, _, _ := vm.updateLog.Since("", 0)
	for _, e := range entries {
		if e.Topic == relay.Endpoints && e.Key == id && !e.Removed {
			var endpoint roster.Endpoint
			require.NoError(vm.t, json.Unmarshal(e.Value, &endpoint))
			return endpoint.Cold
		}
	}
	vm.t.Fatalf("endpoint %s is not published", id)
	return roster.Cold{}
}

// coldRow returns a row of an endpoint that states a cold time.
func (vm *readingVM) coldRow(generation uint64, left time.Duration) platform.Row {
	return vm.row(generation, roster.Endpoint{
		Incarnation: roster.Incarnation{ID: "e", Started: 1}, Group: "g", Cold: roster.Cold{Stated: true, Left: left},
	})
}

// The version of an entry shows other VMs whether a cold time was stated again. Entries of warm endpoints are published
// without it: all of them would be sent to all VMs with each heartbeat.
func TestColdTimeIsPublishedWithItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := newReadingVM(t, nil)
		row := vm.coldRow(1, 4*time.Second)
		vm.readEndpoints(1, map[string]platform.Row{"e": row})
		require.Equal(t, roster.Cold{Stated: true, Left: 4 * time.Second, Version: row.Version}, vm.publishedCold("e"))

		vm.readEndpoints(1, map[string]platform.Row{"e": vm.coldRow(1, 0)})
		require.Equal(t, roster.Cold{Stated: true}, vm.publishedCold("e"))
		own, _ := vm.view.roster.View().Endpoint("e")
		require.NotZero(t, own.Cold.Version, "a VM that reads the list knows each version")

		time.Sleep(time.Second)
		cold := map[string]platform.Row{"e": vm.coldRow(1, 9*time.Second)}
		vm.readEndpoints(1, cold)
		vm.readEndpoints(2, restore(cold, 2))
		require.Equal(t, roster.Cold{}, vm.publishedCold("e"), "a row that an older copy brings back says nothing of the present")
	})
}

// A request must not go to a new endpoint before the limiter knows that it is cold, neither on a VM that reads the list nor on
// one that gets it from there.
func TestLimiterGetsTheListBeforeRequestsUseIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := newReadingVM(t, nil)
		log, _ := test.NewNullLogger()
		other := newFleetView(Platform{}, log)
		applier := newUpdateApplier(other, &stewardSet{log: log, vms: map[string]knownVM{}}, log)
		told := map[*fleetView]roster.Cold{}
		for _, v := range []*fleetView{vm.view, other} {
			v.onEndpoints = func(list []roster.Endpoint, _ time.Time) {
				require.Zero(t, v.roster.View().Len())
				for _, e := range list {
					told[v] = e.Cold
				}
			}
		}
		row := vm.coldRow(1, 4*time.Second)
		vm.readEndpoints(1, map[string]platform.Row{"e": row})
		entries, _, _ := vm.updateLog.Since("", 0)
		applier.apply(entries, true, time.Now(), time.Now())
		want := roster.Cold{Stated: true, Left: 4 * time.Second, Version: row.Version}
		require.Equal(t, map[*fleetView]roster.Cold{vm.view: want, other: want}, told)
	})
}

// The limits of cold endpoints follow the configuration; groups without a rate have none.
func TestColdLimitsOfTheConfiguration(t *testing.T) {
	log, _ := test.NewNullLogger()
	v := newFleetView(Platform{}, log)
	require.Empty(t, v.coldLimits())
	config := func(version uint64, rate float64) *bundle.Bundle {
		b := &bundle.Bundle{Version: version, Groups: map[string]bundle.Group{
			"g": {Name: "g", ColdRate: rate, ColdDuration: 8 * time.Second}, "other": {Name: "other", ColdDuration: time.Second},
		}}
		return b.Indexed()
	}
	for version, rate := range []float64{20, 30} {
		v.applyConfig(config(uint64(version+1), rate))
		require.Equal(t, map[string]ratelimit.ColdLimit{"g": {Rate: rate, Duration: 8 * time.Second}}, v.coldLimits())
	}
	v.setEndpoints(v.roster.View(), []roster.Endpoint{listedEndpoint("e", false)})
	group, ok := v.groupOf("e")
	require.True(t, ok)
	require.Equal(t, "g", group)
	_, ok = v.groupOf("none")
	require.False(t, ok)
}

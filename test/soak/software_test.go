package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// softwareTroubles are those of a fleet in which endpoints of new software versions replace others.
var softwareTroubles = []trouble{
	{"kill", (*chaos).kill},
	{"freeze", (*chaos).freeze},
	{"kill_all", (*chaos).killAll},
	{"store_cut", func(x *chaos, d time.Duration) { v := x.vm(); x.cut("store_cut", v.name, v.store, d) }},
	{"peer_cut", func(x *chaos, d time.Duration) { v := x.vm(); x.cut("peer_cut", v.name, v.peer, d) }},
	{"endpoint_crash", (*chaos).crash},
	{"endpoint_leaves", (*chaos).leave},
	{"endpoint_leaves", (*chaos).leave},
	{"endpoint_leaves", (*chaos).leave},
}

// Guards against streams that go on at another software version (docs/incidents/streams-of-two-software-versions.md), with real
// processes: endpoints of three versions come and go while VMs are killed, frozen and cut off, and callers take up at any VM what
// has broken off. The stand-in's endpoints check what they are handed.
func TestStreamsOfSeveralSoftwareVersions(t *testing.T) {
	t.Parallel()
	for _, seed := range chosenSeeds(6400) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			broken, w, c := play(t, plan{
				seed: seed, vms: *vmsFlag, callers: 24, calm: 4 * time.Second, struck: *forFlag, pause: 900 * time.Millisecond,
				software: []string{"v1", "v1", "v2", "v2", "v1", "v3"}, troubles: softwareTroubles,
			})
			taken, wentOn := 0, 0
			for _, a := range c.all() {
				if a.resumes != "" {
					taken++
					if a.status == 200 {
						wentOn++
					}
				}
			}
			t.Logf("streams taken up: %d, went on: %d", taken, wentOn)
			require.NotZero(t, taken)
			report(t, withoutKnownRed(t, seed, broken), w, c)
		})
	}
}

package soak

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/mallowlink/mallowlink/platform/standin"
)

// returnTroubles are those of a store that returns from an older copy.
var returnTroubles = []trouble{
	{"store_returns", func(x *chaos, d time.Duration) { x.returnStore(d, nil) }},
	{"store_returns_to_new_vm", func(x *chaos, d time.Duration) { x.returnStore(d, x.vm()) }},
}

// maxStoreOutage is the longest outage before the store returns from an older copy.
const maxStoreOutage = time.Second

// returnStore lets the store return from a copy as old as d. The operator and the endpoints write again a moment later. stopped,
// if not nil, is a VM that is stopped before the outage and starts before they do.
func (x *chaos) returnStore(d time.Duration, stopped *vm) {
	defer x.w.faults.begin("store_returns", "store", false)()
	saved := x.w.store.Copy()
	x.hold(d)
	restart := func() {}
	if stopped != nil && stopped.take() {
		defer x.w.faults.begin("stopped_at_return", stopped.name, false)()
		<-stopped.signal(syscall.SIGKILL)
		restart = func() {
			x.w.writeSettings(stopped, false)
			x.w.start(stopped)
		}
	}
	x.w.store.SetFaults(standin.StoreFaults{Down: true})
	x.hold(min(d/4, maxStoreOutage))
	x.w.store.Restore(saved)
	x.w.store.SetFaults(standin.StoreFaults{})
	restart()
	x.hold(d / 3)
	x.w.store.RewriteOwned()
}

// A store that returns again and again from copies that are some seconds old, beside faults of VMs, endpoints and the store, breaks
// no promise.
func TestFaultsBesideReturnsOfTheStore(t *testing.T) {
	t.Parallel()
	// 3204: all VMs were killed while the store had lost their latest records of accounts.
	for _, seed := range chosenSeeds(3200, 3204) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			broken, w, c := play(t, plan{
				seed: seed, vms: *vmsFlag, callers: 16, calm: 2 * time.Second, struck: *forFlag, pause: 800 * time.Millisecond,
				troubles: slices.Concat(troubles, slices.Repeat(returnTroubles, len(troubles)/4)),
			})
			report(t, withoutKnownRed(t, seed, broken), w, c)
		})
	}
}

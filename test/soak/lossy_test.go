package soak

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"
)

// lossShare is the share of the packets to engines that are lost, and retransmission the time after which a lost packet is sent again.
const (
	lossShare      = 0.2
	retransmission = 200 * time.Millisecond
)

// lossTroubles are lost packets on the way to engines and planned stops in series.
var lossTroubles = []trouble{
	{"lossy", (*chaos).lossy},
	{"roll", (*chaos).roll},
}

// lossy makes the ways to all engines lose packets.
func (x *chaos) lossy(d time.Duration) {
	defer x.w.faults.begin("lossy", "engines", false)()
	for _, e := range x.w.alive(engineGroup) {
		e.proxy.set(way{lost: lossShare})
		defer e.proxy.set(way{})
	}
	x.hold(2 * d)
}

// roll stops and starts VMs one after the other.
func (x *chaos) roll(time.Duration) {
	for _, v := range x.w.vms {
		if x.ctx.Err() != nil {
			return
		}
		if !v.take() {
			continue
		}
		end := x.w.faults.begin("roll", v.name, true)
		select {
		case <-v.signal(syscall.SIGTERM):
		case <-time.After(grace):
			<-v.signal(syscall.SIGKILL)
		}
		x.w.writeSettings(v, false)
		x.w.start(v)
		end()
	}
}

// Guards against orders of a VM that stops and arrive after those of the engines' next owner, because the first packet was lost
// (review/11). No other promise is broken either.
func TestStopsBesideLostPackets(t *testing.T) {
	t.Parallel()
	for _, seed := range chosenSeeds(6701) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			broken, w, c := play(t, plan{
				seed: seed, vms: *vmsFlag, callers: 24, calm: 2 * time.Second, struck: *forFlag, pause: 1500 * time.Millisecond,
				troubles: lossTroubles,
			})
			report(t, broken, w, c)
		})
	}
}

// The same amid all other faults.
func TestFaultsBesideLostPackets(t *testing.T) {
	t.Parallel()
	for _, seed := range chosenSeeds(6751) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			broken, w, c := play(t, plan{
				seed: seed, vms: *vmsFlag, callers: 16, calm: 2 * time.Second, struck: *forFlag, pause: 1200 * time.Millisecond,
				troubles: slices.Concat(troubles, slices.Repeat(lossTroubles, len(troubles)/len(lossTroubles))),
			})
			report(t, withoutKnownRed(t, seed, broken), w, c)
		})
	}
}

package fleettest

import (
	"context"
	"fmt"
	"math/rand"
	"time"
)

// Chaos injects random faults into a fleet. The choice and the length of the faults depend on a
// seed, and faults may overlap in time. A Chaos is not safe for concurrent use.
type Chaos struct {
	fleet  *Fleet
	rnd    *rand.Rand
	spares int
	// Returns makes every third fault an outage of the table from which it returns from an older copy.
	Returns bool
	// Trace holds one line for each injected fault, with the time since the start in seconds.
	Trace   []string
	started time.Time
}

// NewChaos returns a fault injector for the fleet. The given seed determines the sequence of faults.
func NewChaos(f *Fleet, seed int64) *Chaos {
	return &Chaos{fleet: f, rnd: rand.New(rand.NewSource(seed)), started: time.Now()}
}

// Bounds of the random delays before faults and of the random lengths of faults.
const (
	minDelay         = 200 * time.Millisecond
	maxFaultInterval = 6 * time.Second
	maxShortFault    = 5 * time.Second
	maxLongFault     = 15 * time.Second
	maxOutage        = 60 * time.Second
	maxCopyAge       = 10 * time.Second
	// settlingTime is how long the platform's list of VMs and the leases may need to become
	// stable again after the last fault has ended.
	settlingTime = 100 * time.Second
)

// Run injects n faults at random intervals, waits until the longest of them must have ended, and
// then for the settling time.
func (c *Chaos) Run(n int) {
	faults := []func(*VM){
		c.pause, c.kill, c.vanish, c.cut, c.isolate, c.loss,
		c.storeDown, c.storeDownForOne, c.loseReplies, c.delayWrites, c.drain, c.reject,
	}
	for i := range n {
		time.Sleep(c.randomDuration(minDelay, maxFaultInterval))
		if c.Returns && i%3 == 0 {
			c.storeReturns()
			continue
		}
		if v := c.pickRunningVM(); v != nil {
			faults[c.rnd.Intn(len(faults))](v)
		}
	}
	time.Sleep(maxOutage)
	time.Sleep(settlingTime)
}

func (c *Chaos) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rnd.Int63n(int64(high-low)))
}

func (c *Chaos) record(format string, args ...any) {
	line := fmt.Sprintf("%8.3fs ", time.Since(c.started).Seconds()) + fmt.Sprintf(format, args...)
	c.Trace = append(c.Trace, line)
}

// pickRunningVM returns a random VM whose process is running, or nil if there is none.
func (c *Chaos) pickRunningVM() *VM {
	var running []*VM
	for _, v := range c.fleet.VMs() {
		if !v.Dead() {
			running = append(running, v)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return running[c.rnd.Intn(len(running))]
}

func (c *Chaos) pause(v *VM) {
	d := c.randomDuration(minDelay, maxLongFault)
	c.record("pause %s for %v", v.ID, d)
	v.Gate.Close()
	time.AfterFunc(d, v.Gate.Open)
}

func (c *Chaos) kill(v *VM) {
	d := c.randomDuration(minDelay, maxLongFault)
	c.record("kill %s, restart after %v", v.ID, d)
	c.fleet.Kill(v)
	time.AfterFunc(d, func() { c.restart(v.ID) })
}

func (c *Chaos) restart(id string) {
	if c.fleet.Ctx.Err() == nil {
		c.fleet.Start(id)
		c.fleet.Publish()
	}
}

func (c *Chaos) vanish(v *VM) {
	lag := c.randomDuration(0, maxLongFault)
	c.spares++
	id := fmt.Sprintf("spare%d", c.spares)
	c.record("vanish %s, replaced by %s, list lags %v", v.ID, id, lag)
	c.fleet.Vanish(v)
	time.AfterFunc(c.randomDuration(0, maxLongFault), func() {
		if c.fleet.Ctx.Err() == nil {
			c.fleet.Start(id)
		}
	})
	time.AfterFunc(maxLongFault+lag, c.fleet.Publish)
}

func (c *Chaos) cut(v *VM) {
	w := c.pickRunningVM()
	d := c.randomDuration(minDelay, maxLongFault)
	c.record("cut %s from %s for %v", v.ID, w.ID, d)
	c.fleet.Net.SetCut(v.Address, w.Address, v != w)
	time.AfterFunc(d, func() { c.fleet.Net.SetCut(v.Address, w.Address, false) })
}

func (c *Chaos) isolate(v *VM) {
	d := c.randomDuration(minDelay, maxLongFault)
	c.record("isolate %s from its peers for %v", v.ID, d)
	for _, w := range c.fleet.VMs() {
		if v.ID != w.ID {
			c.fleet.Net.SetCut(v.Address, w.Address, true)
			time.AfterFunc(d, func() { c.fleet.Net.SetCut(v.Address, w.Address, false) })
		}
	}
}

// reject cuts a VM off from the table and from its peers by a network that refuses connections.
func (c *Chaos) reject(v *VM) {
	d := c.randomDuration(minDelay, maxLongFault)
	c.record("refuse connections between %s and its peers for %v, store down for it", v.ID, d)
	c.fleet.Table.SetFaults(v.ID, TableFaults{Down: true})
	time.AfterFunc(d, func() { c.fleet.Table.SetFaults(v.ID, TableFaults{}) })
	for _, w := range c.fleet.VMs() {
		if v.ID != w.ID {
			c.fleet.Net.SetRefused(v.Address, w.Address, true)
			time.AfterFunc(d, func() { c.fleet.Net.SetRefused(v.Address, w.Address, false) })
		}
	}
}

func (c *Chaos) loss(*VM) {
	d := c.randomDuration(minDelay, maxShortFault)
	share := c.rnd.Float64() / 3
	c.record("lose %.0f %% of requests and of replies between VMs for %v", 100*share, d)
	c.fleet.Net.SetLoss(share)
	time.AfterFunc(d, func() { c.fleet.Net.SetLoss(0) })
}

func (c *Chaos) storeDown(*VM) {
	d := c.randomDuration(minDelay, maxOutage)
	c.record("store down for %v", d)
	c.fleet.Table.SetDown(true)
	time.AfterFunc(d, func() { c.fleet.Table.SetDown(false) })
}

func (c *Chaos) storeReturns() {
	d, age := c.randomDuration(0, maxShortFault), c.randomDuration(0, maxCopyAge)
	c.record("store down for %v, returns from a copy %v older", d, age)
	c.fleet.Table.SetDown(true)
	time.AfterFunc(d, func() {
		c.fleet.Table.Return(d + age)
		c.fleet.Table.SetDown(false)
	})
}

func (c *Chaos) storeDownForOne(v *VM) {
	c.tableFaults(v, TableFaults{Down: true}, maxLongFault, "store down for %s for %v")
}

func (c *Chaos) loseReplies(v *VM) {
	c.tableFaults(v, TableFaults{LoseReplies: 0.5}, maxShortFault, "store's replies to %s lost for %v")
}

func (c *Chaos) delayWrites(v *VM) {
	c.tableFaults(v, TableFaults{DelayWrites: 0.5}, maxShortFault, "writes of %s delayed for %v")
}

func (c *Chaos) tableFaults(v *VM, faults TableFaults, limit time.Duration, format string) {
	d := c.randomDuration(minDelay, limit)
	c.record(format, v.ID, d)
	c.fleet.Table.SetFaults(v.ID, faults)
	time.AfterFunc(d, func() { c.fleet.Table.SetFaults(v.ID, TableFaults{}) })
}

func (c *Chaos) drain(v *VM) {
	c.record("planned stop of %s", v.ID)
	restart := c.randomDuration(minDelay, maxLongFault)
	go func() {
		ctx, cancel := context.WithTimeout(v.Ctx, maxLongFault)
		defer cancel()
		_ = v.Manager.Drain(ctx)
		if !v.Dead() {
			c.fleet.End(v)
			time.AfterFunc(restart, func() { c.restart(v.ID) })
		}
	}()
}

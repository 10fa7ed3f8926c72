package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/platform/standin"
)

const (
	// leaseTime is the bound lease_ms: holders that take turns at one server within it break the rule ONE.
	leaseTime = 3 * time.Second
	// copyInterval is the time between two copies of the store, copyAge the age of the copy from which it returns.
	copyInterval = 100 * time.Millisecond
	copyAge      = 2 * time.Second
	// drillDelay is the time from a hand-over to the moment at which the store goes away, outage how long it is away.
	drillDelay = 300 * time.Millisecond
	outage     = 100 * time.Millisecond
	// drillPhase is how long hand-overs are watched for, drillPause the least time between two drills.
	drillPhase = 80 * time.Second
	drillPause = 8 * time.Second
	// drillInterval is the time between two requests, so that engines get orders all the time.
	drillInterval = 5 * time.Millisecond
)

// storeDrill: a machine is added, and leases are handed over to it. Shortly after a hand-over the store is away for a moment
// and returns from a copy that is some seconds old.
func storeDrill(w *world, trouble bool) bool {
	const accounts = 5
	w.engines, w.interval = 18, drillInterval
	w.start(3, accounts)
	copies := newCopies(w.store)
	defer copies.stop()
	added := newVM(w, 3)
	w.mu.Lock()
	w.vms = append(w.vms, added)
	w.mu.Unlock()
	added.start()
	var traffic sync.WaitGroup
	traffic.Go(func() { w.send("drills", drillPhase, accounts) })
	w.runDrills(copies, trouble)
	traffic.Wait()
	return w.oneHolder()
}

// runDrills plays a drill after hand-overs until the phase ends.
func (w *world) runDrills(copies *copies, trouble bool) {
	end := time.After(drillPhase)
	var last time.Time
	for {
		select {
		case <-end:
			return
		case h := <-w.handovers:
			w.logf("store: %s handed over to %s", h.lease, h.to)
			if !trouble || time.Since(last) < drillPause || !w.hasEngine(h.lease) {
				continue
			}
			last = time.Now()
			time.Sleep(drillDelay)
			w.store.SetFaults(standin.StoreFaults{Down: true})
			time.Sleep(outage)
			age, saved := copies.before(time.Now().Add(-copyAge))
			w.store.Restore(saved)
			w.store.RewriteOwned()
			w.store.SetFaults(standin.StoreFaults{})
			w.logf("store: returned from a copy that is %s old, after an outage of %s", age.Round(time.Millisecond), outage)
		}
	}
}

// handover is a lease that its holder has handed over to another VM.
type handover struct{ lease, to string }

// leasePrefix is the prefix of the keys of leases of engines.
const leasePrefix = "lease/name/engines/"

// noteHandover reports a row that hands a lease over.
func (w *world) noteHandover(key string, stored []byte) {
	lease, ok := strings.CutPrefix(key, leasePrefix)
	if !ok {
		return
	}
	var row struct {
		Value struct {
			Holder string `json:"holder"`
			For    string `json:"for"`
		} `json:"value"`
	}
	if err := json.Unmarshal(stored, &row); err != nil || row.Value.Holder != "" || row.Value.For == "" {
		return
	}
	select {
	case w.handovers <- handover{lease, row.Value.For}:
	default:
	}
}

// oneHolder checks the rule ONE by the orders that the engines have received: no holder's orders before and after another's
// lie within leaseTime, and no fencing number is below an earlier one or that of another holder.
func (w *world) oneHolder() bool {
	byEngine := map[string][]standin.ReceivedOrder{}
	for _, o := range w.audit.Orders() {
		key := fmt.Sprintf("%s/%d", o.Endpoint, o.Started)
		byEngine[key] = append(byEngine[key], o)
	}
	broken, closest := 0, time.Hour
	report := func(rule string, orders ...standin.ReceivedOrder) {
		if broken++; broken > 5 {
			return
		}
		w.logf("ONE: %s", rule)
		for _, o := range orders {
			w.logf("    %8.3f s  order to %s: holder %s, fence %d", o.At.Sub(w.begun).Seconds(), o.Endpoint, o.Holder, o.Fencing)
		}
	}
	for _, orders := range byEngine {
		last := map[string]standin.ReceivedOrder{}
		highest := standin.ReceivedOrder{}
		for i, o := range orders {
			if before, known := last[o.Holder]; known && orders[i-1].Holder != o.Holder {
				closest = min(closest, o.At.Sub(before.At))
				if o.At.Sub(before.At) < leaseTime {
					report("two holders acted in turn inside 3000 ms", before, orders[i-1], o)
				}
			}
			if o.Fencing < highest.Fencing {
				report("a lower fencing number after a higher one", highest, o)
			}
			if o.Fencing == highest.Fencing && o.Holder != highest.Holder {
				report("two holders with one fencing number", highest, o)
			}
			if o.Fencing > highest.Fencing {
				highest = o
			}
			last[o.Holder] = o
		}
	}
	total := len(w.audit.Orders())
	w.logf("ONE: %d orders, broken %d times; the closest turn took %s", total, broken, closest.Round(time.Millisecond))
	fmt.Printf("%d orders, ONE broken %d times\n", total, broken)
	if total == 0 {
		panic("no engine got an order")
	}
	return broken == 0
}

// copies holds copies of the store of the last seconds, oldest first.
type copies struct {
	done chan struct{}
	mu   sync.Mutex
	list []datedCopy // guarded by mu
}

type datedCopy struct {
	at   time.Time
	copy standin.Copy
}

// newCopies begins to make copies.
func newCopies(store *standin.Store) *copies {
	c := &copies{done: make(chan struct{})}
	go func() {
		ticker := time.NewTicker(copyInterval)
		defer ticker.Stop()
		for {
			select {
			case <-c.done:
				return
			case <-ticker.C:
			}
			c.mu.Lock()
			c.list = append(c.list, datedCopy{time.Now(), store.Copy()})
			if len(c.list) > 2*int(copyAge/copyInterval) {
				c.list = c.list[1:]
			}
			c.mu.Unlock()
		}
	}()
	return c
}

func (c *copies) stop() { close(c.done) }

// before returns the newest copy made before a time, and its age.
func (c *copies) before(at time.Time) (time.Duration, standin.Copy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.list[0]
	for _, d := range c.list {
		if d.at.Before(at) {
			found = d
		}
	}
	return time.Since(found.at), found.copy
}

package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mallowlink/mallowlink/platform/standin"
)

const (
	handoverTime    = 95 * time.Second
	handoverClients = 48
	// handoverAdapters is more than the engines have places for, so that they are ordered to load and evict all the time.
	handoverAdapters = 300
	// leaseTime is bounds.lease_ms.
	leaseTime = 3 * time.Second
)

// playHandover stops and starts the VMs in turn while the links to the servers lose packets, and looks at the orders that each
// server gets.
func playHandover(w *world, trouble bool) int {
	var links losses
	for i := range engineCount {
		if err := w.startEngineBehind(i, &links); err != nil {
			w.rec.printf("could not run: %v", err)
			return failed
		}
	}
	err := w.configure([]map[string]any{
		route("ask", "streaming", "engines", "/ask/", 1, map[string]any{"sticky": true}),
	}, []map[string]any{engineService("engines", 64)})
	if err == nil {
		err = w.startAll()
	}
	if err != nil {
		w.rec.printf("could not run: %v", err)
		return failed
	}
	if !w.awaitAnswers() {
		w.rec.printf("could not run: ordinary requests are not answered")
		return failed
	}
	w.rec.printf("%d VMs ready, %d engines", len(w.vms), engineCount)
	begun := time.Now()
	if trouble {
		go links.run(w.rec, begun.Add(handoverTime))
	}
	var next, answered atomic.Int64
	var clients sync.WaitGroup
	for range handoverClients {
		clients.Go(func() {
			for time.Since(begun) < handoverTime {
				n := int(next.Add(1))
				id := fmt.Sprintf("ask-%d", n)
				if w.ask(w.pickReady(n), id, fmt.Sprintf("a%d", 1+xsum(id)%handoverAdapters), ordinaryParts(n)) == 200 {
					answered.Add(1)
				}
			}
		})
	}
	stops := 0
	for i := 0; time.Since(begun) < handoverTime-8*time.Second; i++ {
		v := w.vms[i%len(w.vms)]
		w.rec.printf("SIGTERM to %s", v.name)
		if !v.terminate() {
			w.rec.printf("%s has not ended within its grace: SIGKILL", v.name)
			v.kill()
		}
		stops++
		if err := w.start(v, false); err != nil {
			w.rec.printf("could not run: %v", err)
			return failed
		}
		w.awaitReady(v, 5*time.Second)
		time.Sleep(500 * time.Millisecond)
	}
	clients.Wait()
	w.rec.printf("requests: %d, answered: %d; planned stops: %d; orders that came with a retransmission: %d", next.Load(), answered.Load(), stops, links.lost.Load())
	return w.judgeOrders(&links)
}

// startEngineBehind starts an engine behind a proxy.
func (w *world) startEngineBehind(i int, links *losses) error {
	l, err := listen()
	if err != nil {
		return err
	}
	p, err := w.startLossyProxy(l.Addr().String(), domains[i%len(domains)], links)
	if err != nil {
		return err
	}
	standin.StartEndpoint(standin.EndpointConfig{
		ID: fmt.Sprintf("i-%02d", i), Group: "engines", FailureDomain: domains[i%len(domains)], Slots: 64,
		RunTime: 20 * time.Millisecond, Model: modelName, AdapterSlots: 17, LoadTime: 250 * time.Millisecond,
		StreamEvents: 3, EventInterval: 5 * time.Millisecond, HeartbeatInterval: heartbeat,
	}, l, p.address(), w.store, w.audit, uint64(i+1))
	return nil
}

// terminate sends SIGTERM and waits for the end of the process for the grace. It reports whether the process has ended.
func (v *vm) terminate() bool {
	v.mu.Lock()
	cmd, ended := v.cmd, v.ended
	v.wanted = false
	v.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
		return true
	case <-time.After(grace):
		return false
	}
}

// healSlack is bounds.thaw_slack_ms: orders that arrive within it after a link has healed do not count.
const healSlack = 300 * time.Millisecond

// judgeOrders looks for orders with a lower fence number after a higher one, and for holders that take turns within leaseTime.
// The servers do not check fence numbers, so the rule holds for all VMs.
func (w *world) judgeOrders(links *losses) int {
	byServer := map[string][]standin.ReceivedOrder{}
	orders := w.audit.Orders()
	for _, o := range orders {
		if links.justHealed(o.At, healSlack) {
			continue
		}
		byServer[o.Endpoint] = append(byServer[o.Endpoint], o)
	}
	var servers []string
	for id := range byServer {
		servers = append(servers, id)
	}
	sort.Strings(servers)
	describe := func(o standin.ReceivedOrder) string {
		return fmt.Sprintf("%.3f s holder %s fence %d", o.At.Sub(w.rec.begun).Seconds(), o.Holder, o.Fencing)
	}
	lower, turns := 0, 0
	for _, id := range servers {
		list := byServer[id]
		holders := []string{}
		var highest standin.ReceivedOrder
		lastOf := map[string]standin.ReceivedOrder{}
		for i, o := range list {
			if i == 0 || list[i-1].Holder != o.Holder {
				holders = append(holders, describe(o))
			}
			if o.Fencing < highest.Fencing {
				lower++
				w.rec.printf("LOWER FENCE at %s: %s after %s", id, describe(o), describe(highest))
			}
			if o.Fencing > highest.Fencing {
				highest = o
			}
			if before, known := lastOf[o.Holder]; known && list[i-1].Holder != o.Holder && o.At.Sub(before.At) < leaseTime {
				turns++
				w.rec.printf("TURNS at %s: %s, then %s, then %s", id, describe(before), describe(list[i-1]), describe(o))
			}
			lastOf[o.Holder] = o
		}
		w.rec.printf("%s got %d orders; its holders: %s", id, len(list), strings.Join(holders, "; "))
	}
	w.rec.printf("orders: %d; with a lower fence number than one before: %d; holders that took turns within %v: %d", len(orders), lower, leaseTime, turns)
	if lower > 0 || turns > 0 {
		return broken
	}
	return held
}

package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// sharePhase is the time over which the share of served requests is measured before the fault, and afterPhase after the
	// recovery.
	sharePhase = 10 * time.Second
	afterPhase = 30 * time.Second
	// leastShare is the share of requests that have to be served after the recovery, and before the fault for the rule to
	// apply.
	leastShare = 0.25
)

// recovered checks the rule RECOVER: of the requests sent later than recoveryTime after the machines are back, less than a
// quarter is served, though a quarter or more was before the fault.
func recovered(w *world, before, after *outcome) bool {
	w.logf("RECOVER: served before %.3f, after %.3f; a quarter is asked for", before.share(), after.share())
	fmt.Printf("served before the fault %.3f, after the recovery %.3f\n", before.share(), after.share())
	if before.share() < leastShare {
		panic(fmt.Errorf("only %.3f of the requests were served before the fault", before.share()))
	}
	return after.share() >= leastShare
}

// lostMachine: all machines lose power at the same moment, and one of them does not come back.
func lostMachine(w *world, trouble bool) bool {
	const accounts = 5
	w.start(3, accounts)
	before := w.send("before", sharePhase, accounts)
	if trouble {
		w.powerOff(w.vms)
		w.vms[2].goDark()
		time.Sleep(time.Second)
		w.vms[0].restart()
		w.vms[1].restart()
	}
	w.send("recovery", recoveryTime, accounts)
	return recovered(w, before, w.send("after", afterPhase, accounts))
}

// hundredEntries: two of three machines are taken away for good, by plan, and the process of the last one is killed.
func hundredEntries(w *world, trouble bool) bool {
	const accounts = 19
	w.start(3, accounts)
	before := w.send("before", sharePhase, accounts)
	if trouble {
		for _, v := range w.vms[1:] {
			<-v.signal(syscall.SIGTERM)
			w.logf("%s: process has ended; the machine is removed", v.name)
		}
		alone := w.send("one machine left", sharePhase, accounts)
		if alone.share() < leastShare {
			panic(fmt.Errorf("one machine alone serves only %.3f of the requests", alone.share()))
		}
		<-w.vms[0].signal(syscall.SIGKILL)
		time.Sleep(time.Second)
		w.vms[0].restart()
	}
	w.send("recovery", recoveryTime, accounts)
	ok := recovered(w, before, w.send("after", afterPhase, accounts))
	w.logf("the largest transaction had %d entries, %d were rejected for more than %d", w.largest, w.rejected, maxEntries)
	return ok
}

// powerOff kills the processes of VMs at the same moment.
func (w *world) powerOff(list []*vm) {
	var ended []<-chan struct{}
	for _, v := range list {
		ended = append(ended, v.signal(syscall.SIGKILL))
	}
	for _, end := range ended {
		<-end
	}
}

// restart starts the VM's process again. Only the first start of the whole system has bootstrap set.
func (v *vm) restart() {
	v.writeSettings(false)
	v.start()
}

// lostStewards: all VMs that hold leases are lost for good at the same moment, and the others are left. The holders are those
// that write to the store under a condition.
func lostStewards(w *world, trouble bool) bool {
	const accounts, vms = 5, 10
	w.start(vms, accounts)
	before := w.send("before", sharePhase, accounts)
	if trouble {
		lost := w.holders()
		if len(lost) == vms {
			panic(errors.New("all VMs write to the store under a condition"))
		}
		w.powerOff(lost)
		var dark sync.WaitGroup
		for _, v := range lost {
			dark.Go(v.goDark)
		}
		dark.Wait()
	}
	w.send("recovery", recoveryTime, accounts)
	return recovered(w, before, w.send("after", afterPhase, accounts))
}

// holderInterval is the time within which each holder of leases writes its session.
const holderInterval = 3 * time.Second

// holders returns the VMs that have lately written their sessions to the store.
func (w *world) holders() []*vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*vm
	for _, v := range w.vms {
		if time.Since(w.sessions[v.name]) < holderInterval {
			list = append(list, v)
		}
	}
	return list
}

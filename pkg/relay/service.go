package relay

import (
	"encoding/json"
	"time"
)

// Service handles calls from other VMs over net/rpc.
type Service struct{ node *Node }

// Service returns the service to register with net/rpc under ServiceName.
func (n *Node) Service() *Service { return &Service{node: n} }

// Pull responds with the updates since the requested revision, as soon as there are any or the wait of a pull has passed. If they
// are too old, it responds at once, so that the requesting VM tries another source.
func (s *Service) Pull(args *PullArgs, reply *PullReply) error {
	n := s.node
	started := time.Now()
	n.readFor(readLinger)
	n.recordPull(args.From, started)
	n.awaitFirstRead(started)
	updates := n.cfg.UpdateLog
	if args.Board == updates.id && n.readsRecently() {
		timer := time.NewTimer(n.cfg.Timing().PullWait)
		defer timer.Stop()
		select {
		case <-updates.changedSince(args.After):
		case <-timer.C:
		case <-n.ctx.Done():
		}
	}
	reply.Board = updates.id
	reply.Entries, reply.Revision, reply.Full = updates.Since(args.Board, args.After)
	reply.OperatorAge, reply.EndpointsAge = n.cfg.Reader.Ages()
	return nil
}

// readsRecently reports whether the data that this VM has read from the store is recent enough for other VMs.
func (n *Node) readsRecently() bool {
	operator, endpoints := n.cfg.Reader.Ages()
	return max(operator, endpoints) <= n.cfg.Timing().SourceAge
}

// awaitFirstRead waits until the data of the store is recent enough: for at most firstReadTimeout after this VM has begun to read
// the store, or after a pull has started if it has read nothing yet. All VMs may have started together.
func (n *Node) awaitFirstRead(started time.Time) {
	n.mu.Lock()
	until := n.readingSince.Add(firstReadTimeout)
	n.mu.Unlock()
	if _, _, known := n.cfg.Ages(); !known {
		until = started.Add(firstReadTimeout)
	}
	for !n.readsRecently() && time.Now().Before(until) && n.ctx.Err() == nil {
		time.Sleep(firstReadPollInterval)
	}
}

// recordPull records that a VM has polled this one.
func (n *Node) recordPull(vm VM, now time.Time) {
	n.mu.Lock()
	n.lastPull[vm.ID] = now
	vm.Silent = false
	changed := n.pullers[vm.ID] != vm
	n.pullers[vm.ID] = vm
	n.mu.Unlock()
	if changed {
		n.publishVM(vm)
	}
}

// markUnresponsive marks and publishes the VMs that have not polled for a while. A VM that has recently received fresh
// updates from another one only removes them from its records and leaves the marking to that one: VMs that polled here
// before may have switched to it as well.
func (n *Node) markUnresponsive(now time.Time) {
	var unresponsive []VM
	n.mu.Lock()
	servedByOther := now.Sub(n.servedAt) < unresponsiveAfter
	for id, at := range n.lastPull {
		if servedByOther {
			if now.Sub(at) > unresponsiveAfter {
				delete(n.lastPull, id)
				delete(n.pullers, id)
			}
			continue
		}
		vm := n.pullers[id]
		if !vm.Silent && now.Sub(at) > unresponsiveAfter {
			vm.Silent = true
			n.pullers[id] = vm
			unresponsive = append(unresponsive, vm)
		}
	}
	n.mu.Unlock()
	for _, vm := range unresponsive {
		n.publishVM(vm)
	}
}

// publishVM adds the description of a VM to the update log.
func (n *Node) publishVM(vm VM) {
	n.cfg.OnVMChange(vm)
	data, err := json.Marshal(vm)
	if err != nil {
		n.cfg.Log.WithError(err).WithField("event", "vm_not_published").Error("cannot encode the description of a VM")
		return
	}
	n.cfg.UpdateLog.Put(VMs, vm.ID, data)
}

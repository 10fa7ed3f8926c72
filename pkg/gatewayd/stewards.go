package gatewayd

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/relay"
)

const (
	// stewardCount is the number of stewards if there are that many VMs. More stewards would spread the orders
	// to engines over more VMs, but each one adds calls to the store.
	stewardCount = 8
	// candidacyDelay is how long a VM with one whole core waits before it becomes a steward, and candidacyJitter
	// the maximum random time on top. VMs with a smaller share of a core wait longer, so that more powerful VMs
	// become stewards first.
	candidacyDelay  = 150 * time.Millisecond
	candidacyJitter = 300 * time.Millisecond
	// vmExpiry is how long a VM is still counted that is no longer reported by other VMs and does not poll this
	// one.
	vmExpiry = 10 * time.Second
)

// stewardSet tracks the stewards and the other VMs, and makes this VM a steward if there are too few. It
// implements orders.Leases on every VM, steward or not. It is safe for concurrent use.
type stewardSet struct {
	self      relay.VM
	table     rowLister
	members   *membership.Registry
	leases    *lease.Manager
	updateLog *relay.UpdateLog
	log       logrus.FieldLogger

	mu sync.RWMutex
	// The fields below are guarded by mu.

	steward bool
	// draining says that the process is stopping and must not become a steward any more.
	draining       bool
	directory      lease.Directory
	directoryKnown bool
	// unused says that no VM had had a session in the first directory.
	unused bool
	vms    map[string]knownVM
}

// rowLister lists the rows of mallowlink's own table. *follow.Mirror implements it.
type rowLister interface {
	List(ctx context.Context, prefix string) ([]platform.Row, error)
}

// knownVM is a VM with the time when it was last reported.
type knownVM struct {
	relay.VM
	seenAt time.Time
}

// isSteward reports whether this VM has become a steward: it holds leases or claims them.
func (s *stewardSet) isSteward() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.steward
}

// setDirectory replaces the directory of leases by one that was read from the store or received from another
// VM.
func (s *stewardSet) setDirectory(d lease.Directory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.directoryKnown {
		s.unused = d.NeverUsed
	}
	s.directory, s.directoryKnown = d, true
}

// foundUnused reports whether no VM had had a session when this one first read the directory.
func (s *stewardSet) foundUnused() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.unused
}

// currentDirectory returns the newest known directory of leases.
func (s *stewardSet) currentDirectory() lease.Directory {
	if s.isSteward() {
		return s.leases.Directory()
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.directory
}

// list returns the stewards in the order in which other VMs poll them.
func (s *stewardSet) list() []relay.VM {
	directory := s.currentDirectory()
	s.mu.RLock()
	defer s.mu.RUnlock()
	var list []relay.VM
	for _, vm := range directory.VMs {
		list = append(list, relay.VM{
			ID: vm.ID, Incarnation: vm.Incarnation, Address: vm.Address, FailureDomain: s.vms[vm.ID].FailureDomain,
		})
	}
	return list
}

// settled reports whether a generation of the store has settled, as far as this VM knows. See lease.Directory.
func (s *stewardSet) settled(generation uint64) bool {
	s.mu.RLock()
	known := s.directoryKnown
	s.mu.RUnlock()
	return known && s.currentDirectory().Settled(generation)
}

// peerAddress returns the address at which a VM takes calls from other VMs, or false if the VM is unknown or
// gone.
func (s *stewardSet) peerAddress(vm string) (string, bool) {
	for _, m := range s.Members() {
		if m.ID == vm && !m.Gone {
			return m.PeerAddress, true
		}
	}
	return "", false
}

// Held implements lease.View.
func (s *stewardSet) Held(name string) (lease.Grant, bool) {
	if !s.isSteward() {
		return lease.Grant{}, false
	}
	return s.leases.Held(name)
}

// Callable implements orders.Leases.
func (s *stewardSet) Callable(name string) (lease.Grant, time.Time, bool) {
	if !s.isSteward() {
		return lease.Grant{}, time.Time{}, false
	}
	return s.leases.Callable(name)
}

// Settling implements orders.Leases.
func (s *stewardSet) Settling(name string) bool { return s.isSteward() && s.leases.Settling(name) }

// HolderOf implements lease.View.
func (s *stewardSet) HolderOf(name string) (lease.Holder, bool) {
	if s.isSteward() {
		return s.leases.HolderOf(name)
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	holder, ok := s.directory.Holders[name]
	return holder, ok
}

// publishDirectory puts this VM's directory of leases into the update log.
func (s *stewardSet) publishDirectory() {
	d := s.leases.Directory()
	holders := make(map[string][]byte, len(d.Holders))
	for name, holder := range d.Holders {
		holders[name] = s.encode(holder)
	}
	vms := make(map[string][]byte, len(d.VMs))
	for _, vm := range d.VMs {
		vms[vm.ID] = s.encode(vm)
	}
	s.updateLog.Replace(relay.Leases, holders)
	s.updateLog.Replace(relay.Stewards, vms)
}

func (s *stewardSet) encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		s.log.WithError(err).WithField("event", "lease_not_published").Error("cannot encode a lease or a steward for other VMs")
	}
	return data
}

// run makes this VM a steward once there are too few, and then does a steward's work until ctx ends.
func (s *stewardSet) run(ctx context.Context) {
	if !s.awaitVacancy(ctx) || !s.becomeSteward() {
		return
	}
	s.log.WithField("event", "steward").Info("this VM has become a steward")
	var loops sync.WaitGroup
	loops.Go(func() { s.members.Run(ctx) })
	loops.Go(func() { s.leases.Run(ctx) })
	loops.Wait()
}

// awaitVacancy waits until the store shows that this VM is needed as a steward. It returns false if ctx ends
// first.
func (s *stewardSet) awaitVacancy(ctx context.Context) bool {
	s.awaitDirectory(ctx)
	for ctx.Err() == nil {
		if !s.wasSteward() {
			clock.Sleep(ctx, s.candidacyWait())
		}
		if !s.needed() {
			continue
		}
		// The directory that this VM knows may be out of date, and other VMs may have become stewards meanwhile.
		if err := s.readDirectory(ctx); err != nil {
			s.log.WithError(err).WithField("event", "leases_not_read").Warn("cannot read the leases from the store")
		} else if s.needed() {
			return true
		}
		clock.Sleep(ctx, s.candidacyWait())
	}
	return false
}

// needed reports whether this VM should become a steward, as far as it knows.
func (s *stewardSet) needed() bool { return s.wasSteward() || s.hasVacancy() }

// vmCount returns the number of VMs that were reported recently.
func (s *stewardSet) vmCount() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.vms)
}

// readDirectory reads the directory of leases from the store. If that fails, the known directory stays in
// place.
func (s *stewardSet) readDirectory(ctx context.Context) error {
	rows, err := s.table.List(ctx, "")
	if err != nil {
		return errors.Wrap(err, "list leases")
	}
	s.setDirectory(lease.ReadDirectory(rows))
	return nil
}

// becomeSteward makes this VM a steward. It returns false if the process is stopping.
func (s *stewardSet) becomeSteward() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steward = !s.draining
	return s.steward
}

// drain hands over this VM's leases. A VM that is not a steward has none.
func (s *stewardSet) drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	steward := s.steward
	s.mu.Unlock()
	if !steward {
		return nil
	}
	return s.leases.Drain(ctx)
}

// candidacyWait returns how long this VM waits before it checks whether it is needed as a steward.
func (s *stewardSet) candidacyWait() time.Duration {
	return time.Duration(float64(candidacyDelay+rand.N(candidacyJitter)) / max(s.self.Cores, 0.05))
}

// awaitDirectory waits until a directory of leases is known.
func (s *stewardSet) awaitDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.RLock()
		known := s.directoryKnown
		s.mu.RUnlock()
		if known {
			return
		}
		clock.Sleep(ctx, directoryPollInterval)
	}
}

// directoryPollInterval is the interval between two checks whether a directory of leases is known.
const directoryPollInterval = 10 * time.Millisecond

// wasSteward reports whether an earlier incarnation of this VM's process was a steward and its session has not
// ended yet.
func (s *stewardSet) wasSteward() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.ContainsFunc(s.directory.VMs, func(vm lease.SessionVM) bool { return vm.ID == s.self.ID })
}

// hasVacancy reports whether there are fewer than stewardCount stewards that are not draining.
func (s *stewardSet) hasVacancy() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.directoryKnown {
		return false
	}
	notDraining := 0
	for _, vm := range s.directory.VMs {
		if !vm.Draining {
			notDraining++
		}
	}
	return notDraining < stewardCount
}

// recordVM records that a VM has polled this one, or that it has become unresponsive.
func (s *stewardSet) recordVM(vm relay.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[vm.ID] = knownVM{VM: vm, seenAt: time.Now()}
}

// applyVMUpdates applies the reports of VMs that other VMs have sent, and discards expired VMs.
func (s *stewardSet) applyVMUpdates(vms map[string][]byte, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, data := range vms {
		var vm relay.VM
		if err := json.Unmarshal(data, &vm); err != nil {
			s.log.WithError(err).WithFields(logrus.Fields{"event": "vm_malformed", "vm": id}).Warn("cannot decode the record of a VM")
			continue
		}
		s.vms[id] = knownVM{VM: vm, seenAt: now}
	}
	for id, vm := range s.vms {
		if _, still := vms[id]; !still && now.Sub(vm.seenAt) > vmExpiry {
			delete(s.vms, id)
		}
	}
}

// Members implements allowance.Fleet. It returns all VMs that may spend tokens.
func (s *stewardSet) Members() []membership.Member {
	byID := map[string]membership.Member{
		s.self.ID: {ID: s.self.ID, Incarnation: s.self.Incarnation, PeerAddress: s.self.Address},
	}
	s.mu.RLock()
	for id, vm := range s.vms {
		m := membership.Member{ID: id, Incarnation: vm.Incarnation, PeerAddress: vm.Address}
		if vm.Silent {
			m.SilentFor = vmExpiry
		}
		byID[id] = m
	}
	s.mu.RUnlock()
	if s.isSteward() {
		for _, m := range s.members.Members() {
			byID[m.ID] = m
		}
	}
	members := make([]membership.Member, 0, len(byID))
	for _, m := range byID {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b membership.Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

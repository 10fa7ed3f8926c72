package membership

import (
	"context"
	"time"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// SessionUpdate is the state of a VM by its session row in the lease table.
type SessionUpdate struct {
	ID          string
	Incarnation string
	PeerAddress string
	// Renewed says that the VM has written its row since this VM last read it.
	Renewed  bool
	Draining bool
}

// RecordSession records the state of a VM by its session row. In a fleet too large for heartbeats between all
// VMs, the rows are the only sign that most of the VMs are alive.
func (r *Registry) RecordSession(seen SessionUpdate) {
	if seen.ID == r.cfg.ID {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.record(seen.ID)
	if seen.Incarnation > rec.member.Incarnation && !rec.goneIncarnations[seen.Incarnation] {
		if known := rec.member.Incarnation; known != "" {
			rec.goneIncarnations[known] = true
		}
		rec.resetIncarnation()
		rec.machine = chart.NewMachine(vmChart)
		rec.member.Incarnation = seen.Incarnation
		rec.member.PeerAddress = seen.PeerAddress
		// Leases may depend on how soon this VM gets a reply from the new incarnation.
		r.Announce()
	}
	if !seen.Renewed || seen.Incarnation != rec.member.Incarnation || rec.goneIncarnations[seen.Incarnation] {
		return
	}
	rec.lastContact = time.Now()
	rec.member.Draining = seen.Draining
	event := eventAnswered
	if seen.Draining {
		event = eventDrains
	}
	r.fire(rec, event)
}

// markUnresponsive updates the state of the VMs that have not responded within the heartbeat timeout.
func (r *Registry) markUnresponsive() {
	r.mu.Lock()
	changed := false
	for _, rec := range r.records {
		if time.Since(rec.lastContact) > r.cfg.BeatTimeout {
			changed = r.fire(rec, eventMissed) || changed
			changed = r.checkUnlisted(rec) || changed
		}
	}
	r.mu.Unlock()
	if changed {
		r.onChange()
	}
}

// checkUnlisted fires the unlisted event for an unresponsive VM that has left the platform's list. r.mu
// is held.
func (r *Registry) checkUnlisted(rec *record) bool {
	if !rec.unlisted {
		return false
	}
	return r.fire(rec, eventUnlisted)
}

// pollList polls the platform's list, and records the VMs on it and those missing from it.
func (r *Registry) pollList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ListInterval)
	defer cancel()
	vms, err := r.lister.ListVMs(ctx)
	if err != nil {
		r.log.WithError(err).WithField("event", "vm_list_failed").Warn("cannot read the platform's list of VMs")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[string]bool{}
	for _, vm := range vms {
		if vm.ID == r.cfg.ID {
			continue
		}
		listed[vm.ID] = true
		r.recordListed(vm)
	}
	for id, rec := range r.records {
		rec.unlisted = !listed[id] && time.Since(rec.incarnationKnownAt) > r.cfg.ListLag
	}
}

// recordListed records a VM that is on the platform's list. r.mu is held.
func (r *Registry) recordListed(vm platform.VM) {
	rec := r.record(vm.ID)
	if rec.member.PeerAddress == "" {
		rec.member.PeerAddress = vm.PeerAddress
		rec.member.FailureDomain = vm.FailureDomain
	}
}

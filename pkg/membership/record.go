package membership

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/chart"
)

// record is what is known of one other VM. It is guarded by Registry.mu.
type record struct {
	member  Member
	machine *chart.Machine
	// unlisted says that the VM is missing from a platform list that was made after its incarnation
	// became known.
	unlisted bool
	// lastContact is when the VM last gave a sign of life: a heartbeat, a reply or a renewed session row.
	lastContact time.Time
	// claims are the leases that the VM last claimed, in a call or in a reply.
	claims []Claim
	// goneAt is when the VM was last proven gone.
	goneAt time.Time
	// incarnationKnownAt is when the present incarnation became known.
	incarnationKnownAt time.Time
	answer             Reply
	// goneIncarnations are the incarnations of the VM that are proven gone.
	goneIncarnations map[string]bool
	// ended is the last incarnation that has announced its end. Its heartbeats that arrive later are outdated. callsUntil is the
	// time until which its calls may still arrive.
	ended      string
	callsUntil time.Time
	// beatInFlight says that a heartbeat to the VM has been sent and has not ended yet.
	beatInFlight bool
}

// fire applies the event to the record's state machine and reports whether the state changed. r.mu is
// held.
func (r *Registry) fire(rec *record, event chart.Event) bool {
	before := rec.machine.State()
	if err := rec.machine.Fire(event); err != nil {
		r.log.WithError(err).WithField("event", "vm_event_rejected").Error("state chart of the VM rejected an event")
		return false
	}
	after := rec.machine.State()
	if before == after {
		return false
	}
	if after == stateGone {
		rec.goneAt = time.Now()
		rec.goneIncarnations[rec.member.Incarnation] = true
	}
	r.log.WithFields(logrus.Fields{
		"event": "vm_state", "vm": rec.member.ID, "incarnation": rec.member.Incarnation,
		"from": before, "to": after, "cause": event,
	}).Info("state of a VM changed")
	return true
}

// record returns the record of a VM, and creates one if there is none. r.mu is held.
func (r *Registry) record(id string) *record {
	rec := r.records[id]
	if rec == nil {
		rec = &record{
			member:             Member{ID: id},
			machine:            chart.NewMachine(vmChart),
			incarnationKnownAt: time.Now(),
			goneIncarnations:   map[string]bool{},
		}
		r.records[id] = rec
	}
	return rec
}

// resetIncarnation discards what was known of the previous incarnation. It clears unlisted, because the
// latest list may still be about the previous incarnation.
func (rec *record) resetIncarnation() {
	rec.answer = Reply{}
	rec.claims = nil
	rec.incarnationKnownAt = time.Now()
	rec.unlisted = false
}

// outdated reports whether a heartbeat is from an earlier incarnation than the known one. Incarnations
// are ordered by their names, which begin with the time of day at process start. The clock may have been
// set back between two starts. Therefore a process that replies to a heartbeat which was sent after the
// last contact with the known incarnation counts as the later one, whatever its name. callSent is when
// this VM sent that heartbeat, or zero if the heartbeat in question is not a reply.
func (rec *record) outdated(incarnation string, callSent time.Time) bool {
	known := rec.member.Incarnation
	switch {
	case incarnation == rec.ended:
		return true
	case incarnation == known:
		return false
	case rec.goneIncarnations[incarnation]:
		return true
	case incarnation > known:
		return false
	}
	return callSent.IsZero() || !callSent.After(rec.incarnationKnownAt) || !callSent.After(rec.lastContact)
}

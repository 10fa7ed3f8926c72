package membership

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
)

func (r *Registry) ownBeat() Beat {
	status := r.status()
	if end := r.end.Load(); end != nil {
		status.Ended, status.CallsFor = true, max(time.Until(end.callsUntil), 0)
	}
	return Beat{
		ID:            r.cfg.ID,
		Incarnation:   r.cfg.Incarnation,
		FailureDomain: r.cfg.FailureDomain,
		PeerAddress:   r.cfg.PeerAddress,
		Status:        status,
	}
}

// announcedEnd is the end of this process. callsUntil is the time until which its calls may still arrive.
type announcedEnd struct{ callsUntil time.Time }

// AnnounceEnd tells the other VMs that this process has ended all its work, which proves it gone to them. It returns when
// all of them have responded or ctx has ended. Once AnnounceEnd has been called, the process must not use a lease, send a
// request or spend tokens. callsFor is how long calls made under its leases may still arrive; the other VMs consider the process
// gone after that time.
func (r *Registry) AnnounceEnd(ctx context.Context, callsFor time.Duration) {
	r.end.Store(&announcedEnd{callsUntil: time.Now().Add(callsFor)})
	r.mu.Lock()
	var targets []Member
	for _, rec := range r.records {
		if rec.member.PeerAddress != "" && rec.machine.State() != stateGone {
			targets = append(targets, rec.member)
		}
	}
	r.mu.Unlock()
	var group sync.WaitGroup
	for _, target := range targets {
		group.Go(func() {
			var reply Beat
			if err := r.peerClient.Call(ctx, target.PeerAddress, beatMethod, r.ownBeat(), &reply); err != nil {
				r.log.WithError(err).WithFields(logrus.Fields{"event": "end_not_announced", "vm": target.ID}).
					Warn("could not tell the VM that this process has ended; it treats this process as silent")
			}
		})
	}
	group.Wait()
}

// sendBeat sends one heartbeat to the target and records its outcome.
func (r *Registry) sendBeat(ctx context.Context, target Member) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.BeatInterval)
	defer cancel()
	sent := clock.Now()
	var reply Beat
	err := r.peerClient.Call(ctx, target.PeerAddress, beatMethod, r.ownBeat(), &reply)
	switch {
	case err == nil && reply.ID == target.ID:
		r.recordReply(Reply{Beat: reply, Sent: sent})
	case err != nil:
		r.log.WithError(err).WithFields(logrus.Fields{"event": "heartbeat_lost", "vm": target.ID, "sent": sent}).Debug("heartbeat got no reply")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[target.ID]; rec != nil {
		rec.beatInFlight = false
	}
}

// recordReply records the reply to a heartbeat of this VM.
func (r *Registry) recordReply(answer Reply) {
	r.mu.Lock()
	rec, changed := r.recordBeat(answer.Beat, answer.Sent)
	if rec != nil && rec.member.Incarnation == answer.Beat.Incarnation {
		rec.answer = answer
	}
	r.mu.Unlock()
	if changed {
		r.onChange()
	}
}

// recordCall records a heartbeat that another VM has sent. The heartbeat may have been in transit for
// a long time, so it updates the VM's record but does not count as a reply to this VM.
func (r *Registry) recordCall(beat Beat) {
	if beat.ID == r.cfg.ID || beat.ID == "" {
		return
	}
	r.mu.Lock()
	wasDown := r.record(beat.ID).member.StoreDown
	_, changed := r.recordBeat(beat, time.Time{})
	r.mu.Unlock()
	if beat.Status.StoreDown && !wasDown {
		// Leases may depend on how soon this VM gets the other VM's report in a reply to a heartbeat of
		// its own.
		r.Announce()
	}
	if changed {
		r.onChange()
	}
}

// recordBeat records a heartbeat and reports whether the VM's state or incarnation changed. It returns
// a nil record for heartbeats of outdated incarnations. callSent is when the call was sent to which the
// heartbeat is the reply, or zero for a heartbeat that is not a reply. r.mu is held.
func (r *Registry) recordBeat(beat Beat, callSent time.Time) (*record, bool) {
	rec := r.record(beat.ID)
	known := rec.member.Incarnation
	if rec.outdated(beat.Incarnation, callSent) {
		return nil, false
	}
	if known != "" && beat.Incarnation != known {
		rec.goneIncarnations[known] = true
		rec.resetIncarnation()
	}
	rec.member.ID = beat.ID
	rec.member.Incarnation = beat.Incarnation
	rec.member.FailureDomain = beat.FailureDomain
	rec.member.PeerAddress = beat.PeerAddress
	rec.member.Draining = beat.Status.Draining
	rec.member.BundleVersion = beat.Status.BundleVersion
	rec.member.StoreDown = beat.Status.StoreDown
	rec.lastContact = time.Now()
	rec.claims = beat.Status.Claims
	delete(rec.goneIncarnations, beat.Incarnation)
	event := eventAnswered
	switch {
	case beat.Status.Ended:
		rec.ended, rec.callsUntil = beat.Incarnation, rec.lastContact.Add(beat.Status.CallsFor)
		if beat.Status.CallsFor > 0 {
			event, rec.member.Draining = eventDrains, true
			time.AfterFunc(beat.Status.CallsFor, func() { r.recordEnd(beat.ID, beat.Incarnation) })
			break
		}
		rec.goneIncarnations[beat.Incarnation] = true
		event = eventEnded
	case beat.Status.Draining:
		event = eventDrains
	}
	return rec, r.fire(rec, event) || beat.Incarnation != known
}

// recordEnd records that the calls of an incarnation which has announced its end have ended too.
func (r *Registry) recordEnd(id, incarnation string) {
	r.mu.Lock()
	rec := r.record(id)
	rec.goneIncarnations[incarnation] = true
	changed := rec.member.Incarnation == incarnation && r.fire(rec, eventEnded)
	r.mu.Unlock()
	if changed {
		r.onChange()
	}
}

package budget

import "time"

// slots counts the loads that may run at the same time. It reads no clock and is not safe for concurrent
// use.
//
// Invariant: the permits that VMs hold or run loads on never exceed limit, as long as every load ends
// within the time limit of its VM.
type slots struct {
	limit int64
	// used holds the usage of each incarnation of a VM, under the key that key returns.
	used map[string]usage
	// unknown holds the VMs whose usage is unknown. Until unknownUntil each of them may use all slots, so
	// that no slot is free.
	unknown      map[string]bool
	unknownUntil time.Time
}

// usage is the number of slots that one incarnation of a VM uses.
type usage struct {
	// seq is the sequence number of the last request applied, 0 if there was none.
	seq   uint64
	slots int64
	// granted is the part of slots that the last grant added.
	granted int64
	// expires is the time by which the permits are certain to have expired and the loads to have ended.
	expires time.Time
}

func newSlots(limit int64, vms []string, unknownUntil time.Time) *slots {
	s := &slots{limit: limit, used: map[string]usage{}, unknown: map[string]bool{}, unknownUntil: unknownUntil}
	for _, vm := range vms {
		s.unknown[vm] = true
	}
	return s
}

func key(vm, incarnation string) string { return vm + "/" + incarnation }

// advance discards usages that have expired, and the unknown VMs once unknownUntil has passed.
func (s *slots) advance(now time.Time) {
	if !now.Before(s.unknownUntil) {
		clear(s.unknown)
	}
	for k, u := range s.used {
		if !now.Before(u.expires) {
			delete(s.used, k)
		}
	}
}

// applyUsage records the usage that a VM reports to a new home: permits granted by earlier homes.
func (s *slots) applyUsage(vm string, reply UsageReply, expires time.Time) {
	if !s.unknown[vm] {
		return
	}
	if !reply.Young {
		delete(s.unknown, vm)
	}
	k := key(vm, reply.Incarnation)
	if _, ok := s.used[k]; !ok {
		s.used[k] = usage{slots: reply.Idle + reply.Running, expires: expires}
	}
}

// free returns the number of unused slots. It is 0 while the usage of any VM is unknown.
func (s *slots) free() int64 {
	if len(s.unknown) > 0 {
		return 0
	}
	free := s.limit
	for _, u := range s.used {
		free -= u.slots
	}
	return max(free, 0)
}

// applyReport replaces the recorded usage of an incarnation by the one in its request. It returns false if
// the request is not newer than the last one applied.
func (s *slots) applyReport(req TakeRequest, expires time.Time) bool {
	k := key(req.VM, req.Incarnation)
	if old, ok := s.used[k]; ok && req.Seq <= old.seq {
		return false
	}
	if !req.Young {
		delete(s.unknown, req.VM)
	}
	s.used[k] = usage{seq: req.Seq, slots: req.Idle + req.Running, expires: expires}
	return true
}

// addGranted adds granted permits to the usage of the incarnation that sent the request.
func (s *slots) addGranted(req TakeRequest, permits int64) {
	k := key(req.VM, req.Incarnation)
	u := s.used[k]
	u.slots += permits
	u.granted = permits
	s.used[k] = u
}

package scheduler

import (
	"container/heap"
	"time"
)

// loadRank orders the reasons to load an adapter. Lower ranks come first.
type loadRank int

// Ranks of the lanes that need their adapter loaded.
const (
	rankInteractive loadRank = iota
	rankReplica
	rankBatch
	rankCount
)

// loadHeap holds the lanes of one rank that need their adapter loaded, ordered by due time, then by
// the number of queued items of the adapter, largest first.
type loadHeap []*lane

func (h loadHeap) Len() int { return len(h) }

func (h loadHeap) Less(i, j int) bool {
	if !h[i].loadDue.Equal(h[j].loadDue) {
		return h[i].loadDue.Before(h[j].loadDue)
	}
	return h[i].adapter.queued() > h[j].adapter.queued()
}

func (h loadHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].loadIndex, h[j].loadIndex = i, j
}

func (h *loadHeap) Push(x any) {
	l := x.(*lane)
	l.loadIndex = len(*h)
	*h = append(*h, l)
}

func (h *loadHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	l.loadIndex = -1
	return l
}

// updatePendingLoad adds l to the pending loads, moves it or removes it, according to loadDemand. The
// lane is one that could not be dispatched.
func (s *scheduler) updatePendingLoad(l *lane) {
	rank, at, ok := s.loadDemand(l)
	if l.loadIndex >= 0 {
		if ok && rank == l.loadRank && at.Equal(l.loadDue) {
			return
		}
		s.dropPendingLoad(l)
	}
	if !ok {
		return
	}
	l.loadRank, l.loadDue = rank, at
	heap.Push(&s.pendingLoads[rank], l)
	s.loadsDue = true
}

func (s *scheduler) dropPendingLoad(l *lane) {
	if l.loadIndex >= 0 {
		heap.Remove(&s.pendingLoads[l.loadRank], l.loadIndex)
	}
}

// loadDemand returns the rank of the load that l needs and the time when it is due, or false if l
// needs none. Batch items whose adapter is on a busy endpoint need none.
func (s *scheduler) loadDemand(l *lane) (loadRank, time.Time, bool) {
	if l.size == 0 || l.adapter.version == noAdapter || l.adapter.loading() {
		return 0, time.Time{}, false
	}
	busy := s.countUsableEndpoints(l) > 0
	switch {
	case l.class == interactive && !busy:
		return rankInteractive, later(l.head.loadTag, s.earliestLoad(l)), true
	case l.class == interactive:
		return rankReplica, later(l.head.enqueued.Add(s.cfg.ReplicaDelay), s.earliestLoad(l)), true
	case busy:
		return 0, time.Time{}, false
	}
	due := l.head.enqueued.Add(s.gatherDelay(l.head))
	if l.adapter.waiting[batch] >= s.cfg.GatherItems {
		due = l.head.enqueued
	}
	return rankBatch, later(due, s.earliestLoad(l)), true
}

// earliestLoad returns the earliest time at which the adapter of l may be loaded.
func (s *scheduler) earliestLoad(l *lane) time.Time {
	return later(l.notBefore, l.adapter.notBefore)
}

// gatherDelay returns how long r waits for other items to share the load of its adapter.
func (s *scheduler) gatherDelay(r *request) time.Duration {
	if r.Deadline.IsZero() {
		return s.cfg.GatherDelay
	}
	return min(s.cfg.GatherDelay, r.Deadline.Sub(r.enqueued)/gatherDeadlineDivisor)
}

// gatherDeadlineDivisor limits the gather delay to a fraction of the time from arrival to the
// deadline.
const gatherDeadlineDivisor = 4

// tagArrival sets the load tag of r. If an account sends more than its share of the tokens by weight,
// with ShareSlack and ShareBurst allowed for, its load tags are later than the arrivals of its items.
func (s *scheduler) tagArrival(now time.Time, a *account, r *request) {
	s.tokenRate.add(now, float64(r.Tokens))
	share := s.tokenRate.perSecond(now) * s.cfg.ShareSlack * a.weight / s.totalWeight
	spacing := time.Duration(float64(r.Tokens) / share * float64(time.Second))
	a.virtualArrival = later(now, a.virtualArrival.Add(spacing))
	if limit := now.Add(s.cfg.ShareMemory); a.virtualArrival.After(limit) {
		a.virtualArrival = limit
	}
	r.loadTag = later(now, a.virtualArrival.Add(-s.cfg.ShareBurst))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

package scheduler

import (
	"container/heap"
	"time"
)

// rank orders the reasons to load an adapter; lower ranks come first.
type rank int

// Ranks of lanes that want their adapter loaded.
const (
	rankInteractive rank = iota
	rankReplica
	rankBatch
	ranks
)

// wantedHeap holds the lanes of one rank that want their adapter loaded, by the time from which they
// do, then by the number waiting.
type wantedHeap []*lane

func (h wantedHeap) Len() int { return len(h) }

func (h wantedHeap) Less(i, j int) bool {
	if !h[i].wantedAt.Equal(h[j].wantedAt) {
		return h[i].wantedAt.Before(h[j].wantedAt)
	}
	return h[i].adapter.queued() > h[j].adapter.queued()
}

func (h wantedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].wantedIndex, h[j].wantedIndex = i, j
}

func (h *wantedHeap) Push(x any) {
	l := x.(*lane)
	l.wantedIndex = len(*h)
	*h = append(*h, l)
}

func (h *wantedHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	l.wantedIndex = -1
	return l
}

// want puts l, which is not empty and could not be dispatched, among the lanes that want a load.
func (s *scheduler) want(l *lane) {
	rank, at, ok := s.wish(l)
	if l.wantedIndex >= 0 {
		if ok && rank == l.wantedRank && at.Equal(l.wantedAt) {
			return
		}
		s.unwant(l)
	}
	if !ok {
		return
	}
	l.wantedRank, l.wantedAt = rank, at
	heap.Push(&s.wanted[rank], l)
	s.loadsDue = true
}

func (s *scheduler) unwant(l *lane) {
	if l.wantedIndex >= 0 {
		heap.Remove(&s.wanted[l.wantedRank], l.wantedIndex)
	}
}

// wish returns why and from when l wants a load. Batch items that have a busy endpoint want none.
func (s *scheduler) wish(l *lane) (rank, time.Time, bool) {
	if l.size == 0 || l.adapter.version == noAdapter || l.adapter.loading() {
		return 0, time.Time{}, false
	}
	busy := s.homes(l) > 0
	switch {
	case l.class == interactive && !busy:
		return rankInteractive, later(l.head.tag, s.notBefore(l)), true
	case l.class == interactive:
		return rankReplica, later(l.head.enqueued.Add(s.cfg.ReplicaDelay), s.notBefore(l)), true
	case busy:
		return 0, time.Time{}, false
	}
	due := l.head.enqueued.Add(s.gatherTime(l.head))
	if l.adapter.waiting[batch] >= s.cfg.GatherItems {
		due = l.head.enqueued
	}
	return rankBatch, later(due, s.notBefore(l)), true
}

// notBefore is when l's adapter may be loaded at the earliest.
func (s *scheduler) notBefore(l *lane) time.Time {
	return later(l.notBefore, l.adapter.notBefore)
}

// gatherTime is how long r waits for others to share the load of its adapter.
func (s *scheduler) gatherTime(r *request) time.Duration {
	if r.Deadline.IsZero() {
		return s.cfg.GatherDelay
	}
	return min(s.cfg.GatherDelay, r.Deadline.Sub(r.enqueued)/gatherDeadlinePart)
}

// gatherDeadlinePart is the part of an item's time to its deadline that gathering may take.
const gatherDeadlinePart = 4

// tagArrival sets r's tag. An account that sends more than its weight's share of the
// tokens, a slack and a burst aside, has its tags fall behind its arrivals.
func (s *scheduler) tagArrival(now time.Time, a *account, r *request) {
	s.arrivals.add(now, float64(r.Tokens))
	share := s.arrivals.perSecond(now) * s.cfg.ShareSlack * a.weight / s.weights
	spacing := time.Duration(float64(r.Tokens) / share * float64(time.Second))
	a.clock = later(now, a.clock.Add(spacing))
	if limit := now.Add(s.cfg.ShareMemory); a.clock.After(limit) {
		a.clock = limit
	}
	r.tag = later(now, a.clock.Add(-s.cfg.ShareBurst))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/mallowlink/mallowlink/pkg/placement"
	"github.com/mallowlink/mallowlink/pkg/residency"
)

const (
	// spareCount is the number of engines that an owner names to a request that would have to wait.
	spareCount = 4
	// spareTTL is how long the choice of the least loaded engines is kept. The owner computes it from all of its
	// engines, and many requests have to wait at once under overload.
	spareTTL = 25 * time.Millisecond
	// maxSpareScan bounds the engines among which an owner chooses.
	maxSpareScan = 64
)

// spareKey identifies a choice of the least loaded engines.
type spareKey struct {
	group   string
	urgency int
}

// spareList is the choice of the least loaded engines at a given time, without the waits for adapters.
type spareList struct {
	at      time.Time
	workers []*worker
	queues  []time.Duration
}

// spares returns the least loaded engines of a group for a request of that urgency, other than the one asked for.
func (s *Service) spares(asked *worker, args *AcquireArgs, now time.Time) []Spare {
	list := s.spareList(spareKey{asked.endpoint.Group, args.Urgency}, now)
	key := residency.Key{Model: args.Model, Name: args.Adapter}
	var spares []Spare
	for i, w := range list.workers {
		if w == asked {
			continue
		}
		w.mu.Lock()
		load := w.adapterDelay(args, key, now)
		w.mu.Unlock()
		spares = append(spares, Spare{Endpoint: w.endpoint.ID, Started: w.endpoint.Started, Queue: list.queues[i], Load: load})
	}
	return spares
}

// spareList returns a choice of the least loaded engines that is at most spareTTL old.
func (s *Service) spareList(key spareKey, now time.Time) spareList {
	s.mu.Lock()
	list, known := s.spareLists[key]
	var workers []*worker
	if !known || now.Sub(list.at) >= spareTTL {
		workers = s.workersOf(key.group)
	}
	s.mu.Unlock()
	if workers == nil {
		return list
	}
	list = leastLoaded(workers, key.urgency, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spareLists[key] = list
	return list
}

// workersOf returns the workers of a group, at most maxSpareScan. s.mu must be held.
func (s *Service) workersOf(group string) []*worker {
	workers := make([]*worker, 0, min(len(s.workers), maxSpareScan))
	for _, w := range s.workers {
		if w.endpoint.Group == group && len(workers) < maxSpareScan {
			workers = append(workers, w)
		}
	}
	return workers
}

// leastLoaded returns the spareCount workers whose engines have the shortest queues.
func leastLoaded(workers []*worker, urgency int, now time.Time) spareList {
	type candidate struct {
		worker *worker
		queue  time.Duration
	}
	var candidates []candidate
	for _, w := range workers {
		if queue, ok := w.queue(urgency, now); ok {
			candidates = append(candidates, candidate{w, queue})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.queue, b.queue), cmp.Compare(a.worker.endpoint.ID, b.worker.endpoint.ID))
	})
	list := spareList{at: now}
	for _, c := range candidates[:min(spareCount, len(candidates))] {
		list.workers, list.queues = append(list.workers, c.worker), append(list.queues, c.queue)
	}
	return list
}

// queue returns the expected time until a request of that urgency begins at the engine. It reports false if the engine
// cannot run requests.
func (w *worker) queue(urgency int, now time.Time) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.load.Forecast(placement.Work{Urgency: urgency}, now)
	return f.First - f.Own, w.downUntil.IsZero() && w.planner.Ready()
}

// sweepSpares discards choices for groups and urgencies that are no longer asked for. s.mu must be held.
func (s *Service) sweepSpares() {
	if len(s.spareLists) > 0 {
		s.spareLists = map[spareKey]spareList{}
	}
}

package scheduler

import (
	"container/heap"
	"time"

	"github.com/mallowlink/mallowlink/pkg/bundle"
)

// classCount is the number of priority classes.
const classCount = 2

// Indexes of the priority classes.
const (
	interactive = iota
	batch
)

func classIndex(c bundle.Class) int {
	if c == bundle.Batch {
		return batch
	}
	return interactive
}

func className(class int) bundle.Class {
	if class == batch {
		return bundle.Batch
	}
	return bundle.Interactive
}

// request is an item that is queued or running.
type request struct {
	Item
	class    int
	seq      uint64
	enqueued time.Time
	// loadTag orders loads. It is the arrival time while the account stays within its share, and
	// later if the account exceeds it.
	loadTag time.Time
	// lane is set while the request is queued. While the request runs, runsOn is set, and placement
	// too unless the endpoint is a plain service. In the list of free requests only next is used.
	lane       *lane
	prev, next *request
	placement  *placement
	runsOn     *endpointView
	// deadlineIndex is the position in the deadline heap, or -1 if the request is not in it.
	deadlineIndex int
}

// constrained reports whether the request restricts the endpoints on which it may run.
func (r *request) constrained() bool {
	return r.Isolated || r.Endpoint != "" || len(r.Exclude) > 0
}

// lane is the queue of the requests of one client account and class for one adapter, oldest first. A
// constrained request has a lane of its own, so that all requests of a lane may run on the same
// endpoints.
type lane struct {
	account     *account
	class       int
	adapter     *adapter
	constrained bool
	head, tail  *request
	size        int
	// loadIndex is the position in the heap of rank loadRank, or -1 if the lane needs no load.
	loadIndex int
	loadRank  loadRank
	loadDue   time.Time
	// notBefore delays the load of a constrained lane for which there was no destination.
	notBefore time.Time
}

func (l *lane) push(r *request) {
	r.lane, r.prev, r.next = l, l.tail, nil
	if l.tail == nil {
		l.head = r
	} else {
		l.tail.next = r
	}
	l.tail = r
	l.size++
}

func (l *lane) remove(r *request) {
	if r.prev == nil {
		l.head = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.tail = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.lane, r.prev, r.next = nil, nil, nil
	l.size--
}

// account is the fair queuing state of one client account.
type account struct {
	name string
	// virtualTokens is, for each class, the number of tokens dispatched divided by the weight.
	virtualTokens [classCount]float64
	// waiting counts the queued items of each class, and tokens counts their tokens.
	waiting [classCount]int
	tokens  [classCount]int64
	weight  float64
	// virtualArrival is when the latest item of the account would have arrived if the account had
	// kept to its share.
	virtualArrival time.Time
}

func (a *account) queued() int { return a.waiting[interactive] + a.waiting[batch] }

// enqueueFair counts r as queued. If the account had nothing queued in the class, its virtual tokens
// are raised to the virtual time, so that idle time earns no credit.
func (s *scheduler) enqueueFair(a *account, r *request) {
	if a.waiting[r.class] == 0 {
		a.virtualTokens[r.class] = max(a.virtualTokens[r.class], s.virtualTime[r.class])
	}
	a.waiting[r.class]++
	a.tokens[r.class] += r.Tokens
	s.queuedItems++
}

func (s *scheduler) dequeueFair(a *account, r *request) {
	a.waiting[r.class]--
	a.tokens[r.class] -= r.Tokens
	s.queuedItems--
}

// chargeTokens charges the account for the expected tokens of r when r is dispatched.
func (s *scheduler) chargeTokens(a *account, r *request) {
	s.virtualTime[r.class] = max(s.virtualTime[r.class], a.virtualTokens[r.class])
	a.virtualTokens[r.class] += float64(r.Tokens) / r.Weight
}

// adjustTokens replaces the tokens charged for r by those that it used.
func (s *scheduler) adjustTokens(a *account, r *request, used int64) {
	a.virtualTokens[r.class] += float64(used-r.Tokens) / r.Weight
}

// deadlineHeap orders queued requests by deadline.
type deadlineHeap []*request

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}

func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.deadlineIndex = len(*h)
	*h = append(*h, r)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.deadlineIndex = -1
	return r
}

func (h *deadlineHeap) add(r *request) {
	r.deadlineIndex = -1
	if !r.Deadline.IsZero() {
		heap.Push(h, r)
	}
}

func (h *deadlineHeap) drop(r *request) {
	if r.deadlineIndex >= 0 {
		heap.Remove(h, r.deadlineIndex)
	}
}

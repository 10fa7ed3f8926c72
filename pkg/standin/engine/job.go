package engine

import (
	"container/heap"
	"context"
	"time"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/standin/fault"
)

// How a job ended.
const (
	endedDone      = "done"
	endedCancelled = "cancelled"
	endedRestarted = "restarted"
)

// job is one request, from its arrival until it is forgotten.
type job struct {
	id       string
	priority int
	arrival  uint64
	ask      ask
	adapter  *adapter
	run      *Run
	// ctx ends when the job is cancelled, or with the incarnation.
	ctx    context.Context
	cancel context.CancelFunc
	// granted is closed when the job joins the batch.
	granted chan struct{}

	// The rest is guarded by Server.mu.

	// events holds the data of the events so far. changed is closed and replaced with each.
	events  [][]byte
	tokens  []string
	changed chan struct{}
	// ended is empty until the job has ended.
	ended     string
	followers int
	// abandon cancels a stream that nobody has followed for the resume timeout.
	abandon *time.Timer
	// index is the job's place in the queue; -1 if it is not queued.
	index int
}

// queue is a heap of waiting jobs, by priority and then arrival.
type queue []*job

// Len returns the number of jobs.
func (q queue) Len() int { return len(q) }

// Less orders the jobs.
func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

// Swap exchanges two jobs.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push appends a job.
func (q *queue) Push(x any) {
	j := x.(*job)
	j.index = len(*q)
	*q = append(*q, j)
}

// Pop removes the last job.
func (q *queue) Pop() any {
	old := *q
	j := old[len(old)-1]
	*q = old[:len(old)-1]
	j.index = -1
	return j
}

// submit queues a request and starts it when its turn comes. The caller holds mu.
func (s *Server) submit(st *state, id string, priority int, a ask, ad *adapter) *job {
	st.arrivals++
	j := &job{
		id:       id,
		priority: priority,
		arrival:  st.arrivals,
		ask:      a,
		adapter:  ad,
		granted:  make(chan struct{}),
		changed:  make(chan struct{}),
		index:    -1,
	}
	j.ctx, j.cancel = context.WithCancel(st.ctx)
	ad.running++
	st.jobs[id] = j
	heap.Push(&st.waiting, j)
	s.fillBatch(st)
	go s.execute(st, j)
	return j
}

// fillBatch lets waiting jobs join the batch. The caller holds mu.
func (s *Server) fillBatch(st *state) {
	for st.running < s.opts.MaxRunning && st.waiting.Len() > 0 {
		j := heap.Pop(&st.waiting).(*job)
		st.running++
		close(j.granted)
	}
	s.noteReport(st)
}

// execute runs the job to its end.
func (s *Server) execute(st *state, j *job) {
	defer j.cancel()
	select {
	case <-j.granted:
	case <-j.ctx.Done():
	}
	if j.ctx.Err() != nil {
		s.finish(st, j, s.whyEnded(st))
		return
	}
	j.run = s.ran.add(Run{
		RequestID:   j.id,
		Adapter:     j.ask.model.String(),
		Path:        j.ask.path,
		Incarnation: st.incarnation,
		Header:      j.ask.header,
		Body:        j.ask.body,
	})
	if _, ok := s.Faults.Take(fault.Crash, j.ask.body); ok {
		s.Restart()
	}
	how := s.generate(st, j)
	s.ran.end(j.run, how)
	s.finish(st, j, how)
}

// generate makes the job's tokens, one an interval, and returns how the job ended.
func (s *Server) generate(st *state, j *job) string {
	s.emit(j, j.ask.roleEvents(j.id)...)
	timer := time.NewTimer(s.prefill(st, j))
	defer timer.Stop()
	for _, token := range Text(j.ask.model.String(), j.id, j.ask.prompt, j.ask.tokens) {
		select {
		case <-timer.C:
			timer.Reset(s.opts.TokenInterval)
		case <-j.ctx.Done():
			return s.whyEnded(st)
		}
		s.ran.token(j.run)
		s.mu.Lock()
		j.tokens = append(j.tokens, token)
		s.mu.Unlock()
		s.emit(j, j.ask.tokenEvent(j.id, token))
	}
	s.emit(j, j.ask.finalEvents(j.id)...)
	return endedDone
}

// prefill returns the time until the first token, and caches the prompt's prefix.
func (s *Server) prefill(st *state, j *job) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := s.opts.TokenInterval
	if !st.cache.use(j.ask.prefix, j.ask.model, time.Now()) {
		wait += s.opts.PrefillPerKB * time.Duration(len(j.ask.prompt)) / 1024
	}
	return wait
}

// emit appends events, whose order only the job's own goroutine decides.
func (s *Server) emit(j *job, events ...[]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.events = append(j.events, events...)
	j.wake()
}

// wake tells the followers of a change. The caller holds Server.mu.
func (j *job) wake() {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (s *Server) whyEnded(st *state) string {
	if st.ctx.Err() != nil {
		return endedRestarted
	}
	return endedCancelled
}

// finish takes the job out of the batch or the queue, and forgets it after the resume timeout.
func (s *Server) finish(st *state, j *job, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.ended = how
	j.wake()
	j.adapter.running--
	if j.index >= 0 {
		heap.Remove(&st.waiting, j.index)
	} else {
		st.running--
	}
	s.fillBatch(st)
	time.AfterFunc(s.opts.ResumeTimeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if st.jobs[j.id] == j {
			delete(st.jobs, j.id)
		}
	})
}

// follow counts a reader of the job in.
func (s *Server) follow(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.followers++
	if j.abandon != nil {
		j.abandon.Stop()
	}
}

// unfollow counts a reader out. A stream that nobody reads is cancelled after the resume timeout,
// another answer at once.
func (s *Server) unfollow(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.followers--
	if j.followers > 0 || j.ended != "" {
		return
	}
	if !j.ask.stream {
		j.cancel()
		return
	}
	j.abandon = time.AfterFunc(s.opts.ResumeTimeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if j.followers == 0 {
			j.cancel()
		}
	})
}

// adapter is one adapter version in a slot.
type adapter struct {
	version endpoint.AdapterVersion
	// loaded is closed when the load has ended; err is set if it failed.
	loaded chan struct{}
	err    error
	ready  bool
	// running counts the jobs that run on the adapter or wait for it.
	running int
}

package budget

import (
	"context"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/peer"
)

// Holder holds the permits of one VM. It implements scheduler.LoadPermits: when TryTake finds no permit, the
// Holder requests one from the home, and calls back when it has arrived. It is safe for concurrent use.
type Holder struct {
	ctx        context.Context
	cfg        Config
	home       *Home
	leases     lease.View
	peerClient peer.Client
	onPermits  func()
	wake       chan struct{}
	startedAt  time.Time

	mu sync.Mutex
	// The fields below are guarded by mu.

	// idle is the number of unused permits.
	idle int64
	// lastGrantSent is when the last request whose reply was accepted was sent. All idle permits expire
	// permitLifetime after it.
	lastGrantSent time.Time
	// running is the number of loads that run on permits.
	running int64
	// reportedIdle and reportedRunning are the values of idle and running that the home has recorded.
	reportedIdle, reportedRunning int64
	wanted                        int64
	wantedAt                      time.Time
	seq, acceptedSeq              uint64
	fencing                       uint64
}

// NewHolder returns a Holder without permits and registers it with this VM's home. onPermits is called,
// without locks held, when permits have arrived after TryTake had found none.
func NewHolder(ctx context.Context, cfg Config, home *Home, leases lease.View, peerClient peer.Client, onPermits func()) *Holder {
	cfg.setDefaults()
	h := &Holder{
		ctx: ctx, cfg: cfg, home: home, leases: leases, peerClient: peerClient, onPermits: onPermits,
		wake: make(chan struct{}, 1), startedAt: time.Now(),
	}
	home.local = h
	return h
}

// TryTake takes a permit for one load and returns true if there is one. Otherwise it requests one from the
// home and returns false.
func (h *Holder) TryTake(time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.expire(now)
	if h.idle > 0 {
		h.idle--
		h.running++
		return true
	}
	h.wanted = 1
	h.wantedAt = now
	h.signal()
	return false
}

// Release reports that a load that ran on a permit has ended.
func (h *Holder) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running = max(h.running-1, 0)
	h.signal()
}

// signal wakes the loop of Run.
func (h *Holder) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// expire discards the idle permits if they have expired. h.mu is held.
func (h *Holder) expire(now time.Time) {
	if age := clock.Elapsed(h.lastGrantSent, now); age >= permitLifetime {
		h.idle = 0
	}
}

// revoke records that the budget has a new home and returns this VM's usage. Grants of earlier homes are
// refused from then on.
func (h *Holder) revoke(req UsageRequest) UsageReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(time.Now())
	h.fencing = max(h.fencing, req.Fencing)
	return UsageReply{Incarnation: h.cfg.Incarnation, Idle: h.idle, Running: h.running, Young: h.earlierLoadsMayRun()}
}

// earlierLoadsMayRun reports whether loads of an earlier incarnation of this VM may still run.
func (h *Holder) earlierLoadsMayRun() bool { return time.Since(h.startedAt) < h.cfg.permitBound() }

// Run requests permits and reports their use until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	delay := reportInterval
	for {
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-h.wake:
			timer.Stop()
		case <-timer.C:
		}
		delay = h.step()
	}
}

// step calls the home if there is something to request or to report, and returns the delay before the next
// step.
func (h *Holder) step() time.Duration {
	sent := clock.Now()
	req, ok := h.request(sent)
	if !ok {
		return reportInterval
	}
	reply, err := h.call(req)
	if err != nil || reply.NotHome {
		return retryDelay
	}
	if h.accept(req, reply, sent) {
		h.onPermits()
	}
	if reply.RetryAfter > 0 {
		return min(reply.RetryAfter, reportInterval)
	}
	return reportInterval
}

// request builds the next request. It returns false if there is nothing to request or to report.
func (h *Holder) request(now time.Time) (TakeRequest, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	if now.Sub(h.wantedAt) > wantLifetime {
		h.wanted = 0
	}
	req := TakeRequest{VM: h.cfg.ID, Incarnation: h.cfg.Incarnation, Accepted: h.acceptedSeq}
	req.Want = min(max(h.wanted-h.idle, 0), maxPermits)
	if h.wanted == 0 {
		req.Returned, h.idle = h.idle, 0
	}
	unreported := h.reportedIdle != h.idle || h.reportedRunning != h.running
	if req.Want == 0 && h.running == 0 && !unreported {
		return req, false
	}
	h.seq++
	req.Young = h.earlierLoadsMayRun()
	req.Seq, req.Idle, req.Running = h.seq, h.idle, h.running
	return req, true
}

// accept adds the permits of a reply and reports whether there were any. It ignores replies that are out of
// order, late or out of range, and those of an earlier home.
func (h *Holder) accept(req TakeRequest, reply TakeReply, sent time.Time) bool {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if reply.Seq != h.seq || reply.Fencing < h.fencing || now.Sub(sent) > callTimeout || outOfRange(reply.Permits) {
		return false
	}
	h.expire(now)
	h.fencing = reply.Fencing
	h.acceptedSeq = reply.Seq
	h.idle += reply.Permits
	h.lastGrantSent = sent
	h.reportedIdle, h.reportedRunning = req.Idle+reply.Permits, req.Running
	if reply.Permits == 0 {
		return false
	}
	h.wanted = 0
	return true
}

// call sends the request to the budget's home, which may be this VM.
func (h *Holder) call(req TakeRequest) (TakeReply, error) {
	holder, ok := h.leases.HolderOf(lease.Budget)
	if !ok {
		return TakeReply{NotHome: true}, nil
	}
	if holder.VM == h.cfg.ID {
		return h.home.Take(req), nil
	}
	ctx, cancel := context.WithTimeout(h.ctx, callTimeout)
	defer cancel()
	var reply TakeReply
	err := h.peerClient.Call(ctx, holder.Address, takeMethod, &req, &reply)
	return reply, err
}

// Service handles the net/rpc calls of other VMs.
type Service struct {
	home   *Home
	holder *Holder
}

// NewService returns the service to register with net/rpc under ServiceName.
func NewService(home *Home, holder *Holder) *Service { return &Service{home: home, holder: holder} }

// Take handles a VM's report and its request for permits.
func (s *Service) Take(args *TakeRequest, reply *TakeReply) error {
	*reply = s.home.Take(*args)
	return nil
}

// Usage handles a new home's query for the permits that this VM uses.
func (s *Service) Usage(args *UsageRequest, reply *UsageReply) error {
	*reply = s.holder.revoke(*args)
	return nil
}

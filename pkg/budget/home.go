package budget

import (
	"context"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/tokenbucket"
)

// Limits returns the fleet-wide limit of the bundle in force, and false if none is known.
type Limits func() (Limit, bool)

// Fleet lists the VMs that may hold permits.
type Fleet interface {
	Members() []membership.Member
}

// Config configures the Home and the Holder of this VM.
type Config struct {
	// ID identifies this VM, Incarnation the run of its process.
	ID          string
	Incarnation string
	// LoadLimit bounds the time that one load may take at its endpoint. Permits of a VM that has
	// crashed are granted again only after it. The default is DefaultLoadLimit.
	LoadLimit time.Duration
}

// DefaultLoadLimit is the default of Config.LoadLimit.
const DefaultLoadLimit = 5 * time.Second

func (c *Config) setDefaults() {
	if c.LoadLimit == 0 {
		c.LoadLimit = DefaultLoadLimit
	}
}

// Home grants permits to all VMs while this VM holds the lease on the budget. It is safe for concurrent
// use.
type Home struct {
	ctx        context.Context
	cfg        Config
	leases     lease.View
	fleet      Fleet
	peerClient peer.Client
	limits     Limits
	// local is the Holder of this VM, set by NewHolder.
	local *Holder

	mu sync.Mutex
	// fencing is the fencing number of the lease held, 0 if none is held. bucket and slots are set while
	// it is not 0. All three are guarded by mu.
	fencing uint64
	bucket  *tokenbucket.Bucket
	slots   *slots
}

// NewHome returns a Home that holds no lease. Its calls to other VMs end with ctx.
func NewHome(ctx context.Context, cfg Config, leases lease.View, fleet Fleet, peerClient peer.Client, limits Limits) *Home {
	cfg.setDefaults()
	return &Home{ctx: ctx, cfg: cfg, leases: leases, fleet: fleet, peerClient: peerClient, limits: limits}
}

// LeaseGained starts to grant permits if the lease is the one on the budget. Other leases are ignored.
// Unless the budget has never had a home, nothing is granted until the usage of every VM that may hold
// permits is known or has expired.
func (h *Home) LeaseGained(grant lease.Grant) {
	if grant.Name != lease.Budget {
		return
	}
	limit, _ := h.limits()
	now := time.Now()
	if grant.NeverHeldBefore {
		h.startFirst(grant, limit, now)
		return
	}
	vms := []string{h.cfg.ID}
	var others []membership.Member
	for _, m := range h.fleet.Members() {
		if m.ID == h.cfg.ID || m.GoneFor > h.cfg.permitBound() {
			continue
		}
		vms = append(vms, m.ID)
		others = append(others, m)
	}
	h.mu.Lock()
	h.fencing = grant.Fencing
	h.bucket = tokenbucket.New(limit.rate(), 0, vms, now, now.Add(permitLifetime+permitMargin))
	h.slots = newSlots(int64(limit.AtOnce), vms, h.expiry(now))
	h.mu.Unlock()
	request := UsageRequest{Fencing: grant.Fencing}
	h.applyUsage(request, h.cfg.ID, h.local.revoke(request))
	for _, m := range others {
		go h.queryUsage(request, m)
	}
}

// startFirst starts a budget from which nothing has been granted before: all of it is available, and no
// VM has to be queried.
func (h *Home) startFirst(grant lease.Grant, limit Limit, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fencing = grant.Fencing
	h.bucket = tokenbucket.New(limit.rate(), limit.rate().Burst, nil, now, now)
	h.slots = newSlots(int64(limit.AtOnce), nil, now)
}

// rate returns the limit of the token bucket that bounds the loads started. The burst equals the number
// of loads that may run at the same time, and is at least 1.
func (l Limit) rate() tokenbucket.Limit {
	return tokenbucket.Limit{Rate: l.PerSecond, Burst: float64(max(l.AtOnce, 1))}
}

// expiry returns the time by which permits granted or reported at now have expired and their loads have
// ended.
func (h *Home) expiry(now time.Time) time.Time {
	return now.Add(h.cfg.permitBound())
}

// permitBound returns the longest time from the grant of a permit to the end of the load that uses it.
func (c Config) permitBound() time.Duration { return permitLifetime + permitMargin + c.LoadLimit }

// queryUsage asks one VM for its usage until the VM has responded or its permits have expired. A crashed VM
// does not respond, although its loads may still run; permitBound covers these.
func (h *Home) queryUsage(request UsageRequest, m membership.Member) {
	start := time.Now()
	for time.Since(start) < h.cfg.permitBound() {
		ctx, cancel := context.WithTimeout(h.ctx, callTimeout)
		var reply UsageReply
		err := h.peerClient.Call(ctx, m.PeerAddress, usageMethod, &request, &reply)
		cancel()
		if err == nil {
			h.applyUsage(request, m.ID, reply)
			return
		}
		if h.ctx.Err() != nil {
			return
		}
		time.Sleep(retryDelay)
	}
}

// applyUsage records the usage that a VM has reported, unless the lease has changed since the request.
func (h *Home) applyUsage(request UsageRequest, vm string, reply UsageReply) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fencing != request.Fencing || outOfRange(reply.Idle) || outOfRange(reply.Running) {
		return
	}
	h.bucket.RecordHeld(vm, reply.Incarnation, reply.Idle, now, now.Add(permitLifetime+permitMargin))
	h.slots.applyUsage(vm, reply, h.expiry(now))
}

// LeaseLost stops granting permits if the lease is the one on the budget. Other leases are ignored.
func (h *Home) LeaseLost(name string) {
	if name != lease.Budget {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fencing = 0
}

// Take applies a VM's report and grants the permits that it asks for, as far as the limit allows.
func (h *Home) Take(req TakeRequest) TakeReply {
	limit, known := h.limits()
	refused := TakeReply{Seq: req.Seq, NotHome: true}
	if req.malformed() {
		return refused
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fencing == 0 || !known {
		return refused
	}
	now := time.Now()
	h.bucket.SetLimit(limit.rate(), now)
	h.slots.limit = int64(limit.AtOnce)
	reply, ok := h.grantPermits(req, now)
	// The lease is checked last, after the permits have been granted: a later home starts only after
	// this lease has ended.
	held, still := h.leases.Held(lease.Budget)
	if !ok || !still || held.Fencing != h.fencing {
		return refused
	}
	return reply
}

// grantPermits applies the report in req and grants permits. It returns false if the request is out of
// order. h.mu is held.
func (h *Home) grantPermits(req TakeRequest, now time.Time) (TakeReply, bool) {
	h.slots.advance(now)
	if !h.slots.applyReport(req, h.expiry(now)) {
		return TakeReply{}, false
	}
	want := min(req.Want, h.slots.free())
	granted, ok := h.bucket.Grant(tokenbucket.Request{
		VM: req.VM, Incarnation: req.Incarnation, Seq: req.Seq, Accepted: req.Accepted,
		Want: want, Need: min(want, 1), Held: req.Idle, Returned: req.Returned,
	}, now, now.Add(permitLifetime+permitMargin))
	if !ok {
		return TakeReply{}, false
	}
	h.slots.addGranted(req, granted.Tokens)
	reply := TakeReply{Seq: req.Seq, Fencing: h.fencing, Permits: granted.Tokens}
	if granted.Tokens == 0 && req.Want > 0 {
		reply.RetryAfter = max(granted.RetryAfter, slotRetryInterval)
	}
	return reply, true
}

// slotRetryInterval is the shortest delay before a VM that was granted no permit asks again.
const slotRetryInterval = 20 * time.Millisecond

// maxPermits bounds the counts of permits and loads in messages.
const maxPermits = 1 << 20

func outOfRange(n int64) bool { return n < 0 || n > maxPermits }

// malformed reports whether a count in the request is out of range.
func (r TakeRequest) malformed() bool {
	return outOfRange(r.Want) || outOfRange(r.Idle) || outOfRange(r.Returned) || outOfRange(r.Running)
}

// State is the state of the budget at its home, as written to the state dump. Level is the level of the
// token bucket, Free the number of free slots, and Unknown the number of VMs whose usage is unknown.
type State struct {
	Fencing uint64  `json:"fencing"`
	Level   float64 `json:"level"`
	Free    int64   `json:"free_slots"`
	Unknown int     `json:"unknown_vms"`
}

// Snapshot returns the state for the state dump, and false if this VM is not the budget's home.
func (h *Home) Snapshot() (State, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fencing == 0 {
		return State{}, false
	}
	now := time.Now()
	h.bucket.Advance(now)
	h.slots.advance(now)
	return State{Fencing: h.fencing, Level: h.bucket.Level(), Free: h.slots.free(), Unknown: len(h.slots.unknown)}, true
}

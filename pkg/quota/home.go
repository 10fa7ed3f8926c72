package quota

import (
	"context"
	"encoding/json"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/tokenbucket"
)

// ServiceName is the name under which the daemon registers Service with net/rpc.
const ServiceName = "Quota"

// Method names of Service in net/rpc.
const (
	grantMethod = ServiceName + ".Grant"
	heldMethod  = ServiceName + ".Held"
)

// Lifetime of grants and timeout of calls.
const (
	// grantLifetime is how long a VM may spend granted tokens, counted from when it sent the request.
	grantLifetime = 2 * time.Second
	// clockDriftMargin is added to grantLifetime when the home waits for grants to expire, because the clocks
	// of the VMs may run at different speeds.
	clockDriftMargin = 200 * time.Millisecond
	// callTimeout is the timeout of one call, from a VM to a home or from a home to a VM.
	callTimeout = 500 * time.Millisecond
)

// LimitFunc returns the limit of a client account in the current configuration bundle, and false if the
// account is not in it.
type LimitFunc func(account string) (Limit, bool)

// MemberLister lists the VMs of the fleet, which may hold tokens.
type MemberLister interface {
	Members() []membership.Member
}

// Home grants tokens of the client accounts whose leases this VM holds: for these, the VM is the account's
// home and keeps its token bucket. It is safe for concurrent use.
type Home struct {
	ctx          context.Context
	self         string
	leases       lease.View
	members      MemberLister
	peerClient   peer.Client
	limits       LimitFunc
	log          logrus.FieldLogger
	localLimiter *Limiter

	mu      sync.Mutex
	buckets map[string]*homeBucket // by account, guarded by mu
	// releasedLevels are the levels of buckets whose leases were just lost, by lease name, until State has
	// passed them on. They are guarded by mu.
	releasedLevels map[string]float64
}

// homeBucket is the token bucket of one client account.
type homeBucket struct {
	*tokenbucket.Bucket
	// fencing is the fencing number of the lease under which the bucket was started.
	fencing uint64
}

// handoverState is the state that a home passes to the next one when it hands over a client account's lease.
type handoverState struct {
	Level float64 `json:"level"`
}

// NewHome returns a Home without buckets. The caller must pass lease events to its LeaseGained and LeaseLost,
// and create the limiter of the same VM, which registers itself. Calls to other VMs stop when ctx is done.
func NewHome(ctx context.Context, self string, leases lease.View, members MemberLister, peerClient peer.Client, limits LimitFunc, log logrus.FieldLogger) *Home {
	return &Home{
		ctx: ctx, self: self, leases: leases, members: members, peerClient: peerClient, limits: limits, log: log,
		buckets: map[string]*homeBucket{}, releasedLevels: map[string]float64{},
	}
}

// LeaseGained starts the bucket of the client account if the lease is an account/ lease, and ignores other
// leases. It asks every VM how many tokens it still holds from the previous home.
func (h *Home) LeaseGained(grant lease.Grant) {
	account, ok := strings.CutPrefix(grant.Name, lease.AccountPrefix)
	if !ok {
		return
	}
	limit, _ := h.limits(account)
	now := time.Now()
	level := 0.0
	var handover handoverState
	if grant.State != nil && json.Unmarshal(grant.State, &handover) == nil && handover.Level >= 0 {
		level = handover.Level
	}
	members := h.otherVMs()
	vms := []string{h.self}
	for _, m := range members {
		vms = append(vms, m.ID)
	}
	h.mu.Lock()
	h.buckets[account] = &homeBucket{
		Bucket:  tokenbucket.New(limit.bucketLimit(), level, vms, now, now.Add(grantLifetime+clockDriftMargin)),
		fencing: grant.Fencing,
	}
	h.mu.Unlock()
	request := HeldRequest{Account: account, Fencing: grant.Fencing}
	h.recordHeld(request, h.self, h.localLimiter.fence(request), now)
	for _, m := range members {
		go h.queryHeld(request, m)
	}
}

// otherVMs returns the VMs that may hold tokens, except this one.
func (h *Home) otherVMs() []membership.Member {
	var others []membership.Member
	for _, m := range h.members.Members() {
		if m.ID != h.self && !m.Gone {
			others = append(others, m)
		}
	}
	return others
}

// queryHeld asks one VM for its balance. It retries until the VM has responded, or until any grant of an
// earlier home has expired and the response no longer matters.
func (h *Home) queryHeld(request HeldRequest, m membership.Member) {
	start := time.Now()
	for time.Since(start) < grantLifetime+clockDriftMargin {
		ctx, cancel := context.WithTimeout(h.ctx, callTimeout)
		var reply HeldReply
		err := h.peerClient.Call(ctx, m.PeerAddress, heldMethod, &request, &reply)
		cancel()
		if err == nil {
			h.recordHeld(request, m.ID, reply, time.Now())
			return
		}
		if h.ctx.Err() != nil {
			return
		}
		time.Sleep(retryInterval)
	}
}

// retryInterval is the delay after a failed call to a VM or a home.
const retryInterval = 50 * time.Millisecond

// recordHeld records the balance that a VM has reported, if this VM still has the bucket for which it was
// requested.
func (h *Home) recordHeld(request HeldRequest, vm string, report HeldReply, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.buckets[request.Account]
	if b != nil && b.fencing == request.Fencing && !outOfRange(report.Held) {
		b.RecordHeld(vm, report.Incarnation, report.Held, now, now.Add(grantLifetime+clockDriftMargin))
	}
}

// LeaseLost discards the bucket of an account/ lease, and ignores other leases. The level of the bucket is
// kept for State if the balance of every VM is known.
func (h *Home) LeaseLost(name string) {
	account, ok := strings.CutPrefix(name, lease.AccountPrefix)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.buckets[account]
	if b == nil {
		return
	}
	delete(h.buckets, account)
	if b.AllReported() {
		h.releasedLevels[name] = math.Floor(b.Level())
	}
}

// State returns the state to pass on with a lease that is handed over, which is the level of its bucket, or
// nil if there is none.
func (h *Home) State(name string) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	level, ok := h.releasedLevels[name]
	delete(h.releasedLevels, name)
	if !ok {
		return nil
	}
	data, err := json.Marshal(handoverState{Level: level})
	if err != nil {
		return nil
	}
	return data
}

// Grant handles a VM's request for tokens.
func (h *Home) Grant(req GrantRequest) GrantReply {
	limit, known := h.limits(req.Account)
	if req.malformed() {
		return GrantReply{Seq: req.Seq, NotHome: true}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.buckets[req.Account]
	if b == nil || !known {
		return GrantReply{Seq: req.Seq, NotHome: true}
	}
	now := time.Now()
	b.SetLimit(limit.bucketLimit(), now)
	if req.Fencing != b.fencing {
		req.Refunds = nil
	}
	granted, ok := b.Grant(req.bucketRequest(), now, now.Add(grantLifetime+clockDriftMargin))
	// The lease must be checked after the tokens are granted: the next home starts only once the lease has
	// ended.
	held, stillHeld := h.leases.Held(lease.AccountPrefix + req.Account)
	if !ok || !stillHeld || held.Fencing != b.fencing {
		return GrantReply{Seq: req.Seq, NotHome: true}
	}
	return GrantReply{
		Seq: req.Seq, Fencing: b.fencing, Tokens: granted.Tokens, Stamp: granted.Stamp,
		RetryAfter: granted.RetryAfter, Wait: granted.Wait, Usable: granted.Usable,
	}
}

func (l Limit) bucketLimit() tokenbucket.Limit {
	return tokenbucket.Limit{Rate: l.Rate, Burst: l.Burst}
}

func (r GrantRequest) bucketRequest() tokenbucket.Request {
	req := tokenbucket.Request{
		VM: r.VM, Incarnation: r.Incarnation, Seq: r.Seq, Accepted: r.Accepted,
		Want: r.Want, Need: r.Need, Held: r.Held, Returned: r.Returned,
	}
	for _, refund := range r.Refunds {
		req.Refunds = append(req.Refunds, tokenbucket.Refund(refund))
	}
	return req
}

// malformed reports whether the request contains numbers that no VM sends.
func (r GrantRequest) malformed() bool {
	for _, refund := range r.Refunds {
		if refund.Tokens < 0 || refund.Tokens > maxTokens || refund.Since < 0 {
			return true
		}
	}
	return outOfRange(r.Want) || outOfRange(r.Need) || outOfRange(r.Returned) || outOfRange(r.Held)
}

// maxTokens is the largest token count accepted in a message. It keeps sums from overflowing.
const maxTokens = int64(1) << 48

func outOfRange(n int64) bool { return n < 0 || n > maxTokens }

// Service handles the net/rpc calls of other VMs.
type Service struct {
	home    *Home
	limiter *Limiter
}

// NewService returns the service to register with net/rpc under ServiceName.
func NewService(home *Home, limiter *Limiter) *Service { return &Service{home: home, limiter: limiter} }

// Grant handles a VM's request for tokens.
func (s *Service) Grant(args *GrantRequest, reply *GrantReply) error {
	*reply = s.home.Grant(*args)
	return nil
}

// Held handles a new home's request for the balance of this VM.
func (s *Service) Held(args *HeldRequest, reply *HeldReply) error {
	*reply = s.limiter.fence(*args)
	return nil
}

package quota

import (
	"context"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/tokenbucket"
)

// Limits on waiting and on keeping granted tokens.
const (
	// maxWait is the longest time that a request waits for a reachable home or for tokens.
	maxWait = 10 * time.Second
	// maxWaitFraction is the fraction of the time until its deadline that a request may wait for tokens. The
	// rest is left for executing the request.
	maxWaitFraction = 0.8
	// maxPollInterval is the longest delay before the home is asked again for tokens that other VMs hold.
	maxPollInterval = 50 * time.Millisecond
	// idleReturnDelay is the time without demand after which unspent tokens are given back to the home.
	idleReturnDelay = 250 * time.Millisecond
	// prefetchWindow is how far ahead demand is estimated: a request to the home also asks for the tokens
	// expected to be spent within this time.
	prefetchWindow = 200 * time.Millisecond
	// noOwnerRetryAfter is the RetryAfter of a refusal for an account without a reachable home.
	noOwnerRetryAfter = time.Second
)

// Limiter admits the requests that arrive at one VM. It spends tokens granted by the homes of the client
// accounts and requests further ones as needed. It is safe for concurrent use.
type Limiter struct {
	ctx  context.Context
	self string
	// incarnation distinguishes this process from earlier ones on the same VM.
	incarnation string

	home       *Home
	leases     lease.View
	peerClient peer.Client
	limits     LimitFunc

	mu       sync.Mutex
	accounts map[string]*account // guarded by mu
}

// NewLimiter returns a limiter without tokens and registers it with home, the Home of the same VM. Calls and
// background work stop when ctx is done.
func NewLimiter(ctx context.Context, self, incarnation string, home *Home, leases lease.View, peerClient peer.Client, limits LimitFunc) *Limiter {
	h := &Limiter{
		ctx: ctx, self: self, incarnation: incarnation, home: home, leases: leases, peerClient: peerClient, limits: limits,
		accounts: map[string]*account{},
	}
	home.localLimiter = h
	return h
}

// account returns the state of an account, and creates it on first use.
func (h *Limiter) account(name string) *account {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[name]
	if a == nil {
		a = &account{name: name}
		h.accounts[name] = a
	}
	return a
}

// Admit spends tokens of the account. If the VM has too few, Admit waits for further ones until the account
// is known to be over its rate, the time to wait is used up, or ctx is done.
func (h *Limiter) Admit(ctx context.Context, name string, tokens int64) error {
	limit, ok := h.limits(name)
	if !ok {
		return result.New(result.NotAllowed, "the client account is not in the bundle")
	}
	if float64(tokens) > limit.Burst {
		return result.New(result.OverBurst, "the request is larger than the account's burst")
	}
	if tokens <= 0 {
		return nil
	}
	a := h.account(name)
	deadline, _ := ctx.Deadline()
	w := a.spendOrEnqueue(tokens, time.Now(), deadline)
	if w == nil {
		return nil
	}
	h.startFetchLoop(a)
	select {
	case <-ctx.Done():
		return a.withdraw(w)
	case err := <-w.done:
		return err
	}
}

// MaxRefundAge is the time after the admission of a request beyond which its unused tokens are not put back.
const MaxRefundAge = tokenbucket.MaxRefundAge

// Return gives back unused tokens of a request whose time of admission is not known. It is taken to be
// MaxRefundAge ago.
func (h *Limiter) Return(name string, tokens int64) {
	h.ReturnSince(name, tokens, time.Now().Add(-MaxRefundAge))
}

// ReturnSince gives back unused tokens of a request that was admitted at the given time.
func (h *Limiter) ReturnSince(name string, tokens int64, admitted time.Time) {
	if tokens <= 0 {
		return
	}
	a := h.account(name)
	a.addRefund(tokens, admitted)
	h.scheduleGiveBack(a)
}

// fence records that an account has a new home and returns the balance of this VM.
func (h *Limiter) fence(req HeldRequest) HeldReply {
	held := h.account(req.Account).fence(req.Fencing, time.Now())
	return HeldReply{Incarnation: h.incarnation, Held: held}
}

// startFetchLoop starts the goroutine that requests tokens for the account, unless it is running.
func (h *Limiter) startFetchLoop(a *account) {
	if a.startFetching() {
		go h.fetchLoop(a)
	}
}

// fetchLoop requests tokens from the account's home as long as requests wait for them.
func (h *Limiter) fetchLoop(a *account) {
	for h.ctx.Err() == nil {
		pause, more := h.requestTokens(a, false)
		if !more {
			h.scheduleGiveBack(a)
			return
		}
		if pause > 0 {
			clock.Sleep(h.ctx, pause)
		}
	}
}

// scheduleGiveBack starts a timer that, after idleReturnDelay without demand, gives unspent tokens back and
// sends refunds to the home. The timer is restarted while there is something to give back or to report.
func (h *Limiter) scheduleGiveBack(a *account) {
	if !a.armGiveBack() {
		return
	}
	time.AfterFunc(idleReturnDelay, func() {
		if h.ctx.Err() != nil {
			return
		}
		if a.disarmGiveBack(time.Now()) {
			if _, more := h.requestTokens(a, true); more {
				h.fetchLoop(a)
				return
			}
		}
		h.scheduleGiveBack(a)
	})
}

// requestTokens makes one call to the home. It returns how long to pause before the next call and whether
// requests still wait. If none wait, the account's fetching flag has been cleared.
func (h *Limiter) requestTokens(a *account, giveBack bool) (time.Duration, bool) {
	limit, _ := h.limits(a.name)
	sent := clock.Now()
	req, ok := a.nextRequest(sent, giveBack, limit)
	if !ok {
		return 0, false
	}
	req.VM, req.Incarnation = h.self, h.incarnation
	reply, err := h.callHome(req)
	now := time.Now()
	if err != nil || reply.NotHome || !a.accept(req, reply, sent, now) {
		return a.handleFailedCall(now)
	}
	return a.applyReply(req, reply, now, limit.Rate)
}

// callHome sends the request to the account's home, which may be this VM.
func (h *Limiter) callHome(req GrantRequest) (GrantReply, error) {
	holder, ok := h.leases.HolderOf(lease.AccountPrefix + req.Account)
	if !ok {
		return GrantReply{NotHome: true}, nil
	}
	if holder.VM == h.self {
		return h.home.Grant(req), nil
	}
	ctx, cancel := context.WithTimeout(h.ctx, callTimeout)
	defer cancel()
	var reply GrantReply
	err := h.peerClient.Call(ctx, holder.Address, grantMethod, &req, &reply)
	return reply, err
}

package allowance

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/result"
)

const (
	// callTimeout bounds one call from VM to VM. VMs are about 1 ms apart.
	callTimeout = 150 * time.Millisecond
	// balanceHorizon is the time whose expected demand the balance of an account is to cover.
	balanceHorizon = 3 * time.Second
	// refillShare is the share of the target balance below which more tokens are requested.
	refillShare = 0.5
	// homeRetryDelay is the time for which no request is sent to a home after one has failed.
	homeRetryDelay = 100 * time.Millisecond
	// noHomeRetryAfter is the time after which a caller is asked to retry if the account has no home.
	noHomeRetryAfter = time.Second
	// demandHalfLife is the time in which past demand loses half its weight in the expected demand.
	demandHalfLife = time.Second
)

// LimiterConfig holds the settings and dependencies for NewLimiter.
type LimiterConfig struct {
	// Self is the ID of this VM, Incarnation that of this process on it.
	Self        string
	Incarnation string
	// Started is when the process started. FirstStart reports that the deployment as a whole was first
	// started then, so that no tokens can have been spent before.
	Started    time.Time
	FirstStart bool
	Policy     Policy
	Limits     Limits
	Home       *Home // of this VM
	Leases     lease.View
	Fleet      Fleet
	PeerClient peer.Client
	Log        logrus.FieldLogger
}

// Limiter enforces the limits on one VM: it admits requests by spending the tokens that the homes of their accounts
// have lent to this VM. It is safe for concurrent use.
type Limiter struct {
	cfg LimiterConfig
	ctx context.Context

	mu       sync.Mutex
	balances map[string]*balance // by account, guarded by mu
}

// NewLimiter returns an instance without tokens and registers it with cfg.Home. Cancelling ctx ends its requests to
// homes.
func NewLimiter(ctx context.Context, cfg LimiterConfig) *Limiter {
	l := &Limiter{cfg: cfg, ctx: ctx, balances: map[string]*balance{}}
	cfg.Home.local = l
	return l
}

// Usage returns the report of what this VM has spent and holds of an account. Tokens of a reply that is still under
// way are not in it, so they are dropped when the reply arrives.
func (l *Limiter) Usage(account string) Request {
	b := l.balance(account)
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.seq++
	return Request{
		Account: account, VM: l.cfg.Self, Incarnation: l.cfg.Incarnation, Seq: b.seq,
		Spent: b.spent.copyBins(now), Covers: l.covers(now), Held: b.tokens,
	}
}

// AccountState is the state of one client account on this VM.
type AccountState struct {
	Account string `json:"account"`
	// Held is the number of tokens that the VM may still spend, Spent the number that it has spent within
	// the window.
	Held  int64 `json:"held"`
	Spent int64 `json:"spent"`
	// OverLimit reports that the account is over its limit, HomeUnreachable that the last request to its
	// home failed.
	OverLimit       bool `json:"excess"`
	HomeUnreachable bool `json:"homeless"`
	// Waiting is the number of requests that wait for tokens.
	Waiting int `json:"waiting"`
}

// State returns the state of every account that has been used on this VM, sorted by name.
func (l *Limiter) State() []AccountState {
	l.mu.Lock()
	balances := maps.Clone(l.balances)
	l.mu.Unlock()
	now := time.Now()
	states := make([]AccountState, 0, len(balances))
	for _, name := range slices.Sorted(maps.Keys(balances)) {
		b := balances[name]
		b.mu.Lock()
		b.expire(now)
		states = append(states, AccountState{
			Account: name, Held: b.tokens, Spent: b.spent.sum(now), OverLimit: b.overLimit,
			HomeUnreachable: b.homeUnreachable, Waiting: len(b.waiters),
		})
		b.mu.Unlock()
	}
	return states
}

// covers returns the time up to now for which this process knows what the VM has spent.
func (l *Limiter) covers(now time.Time) time.Duration {
	window := l.cfg.Policy.Window + binWidth
	if l.cfg.FirstStart {
		return window
	}
	return min(now.Sub(l.cfg.Started), window)
}

// balance holds the tokens that the VM may spend for one client account, and the requests that wait for more.
type balance struct {
	mu sync.Mutex
	// The fields below are guarded by mu.

	tokens int64
	// seq is the number of the last report, whether sent in a request or in reply to Tell. A home ignores
	// a report that arrives after a newer one.
	seq uint64
	// refillSentAt is when the last request whose reply was applied was sent. The tokens expire tokenTTL
	// after that.
	refillSentAt time.Time
	overLimit    bool
	spent        slidingWindow
	fallback     fallback
	// demand is a decaying sum of the tokens asked for, as of demandAt.
	demand   float64
	demandAt time.Time
	// homeUnreachable reports that the last request to the home of the account failed.
	homeUnreachable bool
	// requesting reports that requestLoop is running. backoffUntil is the time before which it is not started.
	requesting   bool
	backoffUntil time.Time
	waiters      []*waiter
}

// waiter is a call of Admit that waits for tokens.
type waiter struct {
	tokens int64
	done   chan admitResult
}

// admitResult is the result of a wait: either a charge or an error.
type admitResult struct {
	charge Charge
	err    *result.Error
}

// Charge records the tokens of an account that a request has spent.
type Charge struct {
	Account string
	Tokens  int64
	// At is when the tokens were spent.
	At time.Time
	// OverLimit reports that the account is over its limit, within what is tolerated.
	OverLimit bool
}

// balance returns the balance of an account, and creates it on first use.
func (l *Limiter) balance(account string) *balance {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.balances[account]
	if b == nil {
		b = &balance{spent: newSlidingWindow(l.cfg.Policy.Window)}
		l.balances[account] = b
	}
	return b
}

// Admit spends tokens of the account for a request, and waits for the home to lend more if there are too few. Any
// error is a *result.Error of outcome not-run.
func (l *Limiter) Admit(ctx context.Context, account string, tokens int64) (Charge, error) {
	b := l.balance(account)
	now := time.Now()
	b.mu.Lock()
	b.expire(now)
	b.recordDemand(tokens, now)
	if len(b.waiters) == 0 && b.tokens >= tokens {
		b.spend(tokens, now)
		overLimit, low := b.overLimit, float64(b.tokens) < refillShare*b.target()
		b.mu.Unlock()
		if low {
			l.requestTokens(account, b, now)
		}
		return Charge{Account: account, Tokens: tokens, At: now, OverLimit: overLimit}, nil
	}
	w := &waiter{tokens: tokens, done: make(chan admitResult, 1)}
	b.waiters = append(b.waiters, w)
	b.mu.Unlock()
	l.requestTokens(account, b, now)
	select {
	case r := <-w.done:
		if r.err != nil {
			return Charge{}, r.err
		}
		r.charge.Account = account
		return r.charge, nil
	case <-ctx.Done():
		if c, spent := b.cancelWait(w); spent {
			c.Account = account
			l.Return(c)
		}
		return Charge{}, noHomeError()
	}
}

// cancelWait removes a waiter whose request was cancelled. spent reports whether tokens were spent for it before it
// was removed; c is then the charge.
func (b *balance) cancelWait(w *waiter) (c Charge, spent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters = slices.DeleteFunc(b.waiters, func(other *waiter) bool { return other == w })
	select {
	case r := <-w.done:
		return r.charge, r.err == nil
	default:
		return Charge{}, false
	}
}

// Return gives back the tokens of a request that has not run. They are not added to the balance, because the home
// still counts them as spent; it lends them again once a report shows that they were not.
func (l *Limiter) Return(c Charge) {
	b := l.balance(c.Account)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent.remove(c.Tokens, c.At, time.Now())
}

// expire drops the tokens if they have expired. The caller must hold b.mu.
func (b *balance) expire(now time.Time) {
	if clock.Elapsed(b.refillSentAt, now) >= tokenTTL {
		b.tokens = 0
	}
}

// recordDemand adds tokens to the decaying sum of demand. The caller must hold b.mu.
func (b *balance) recordDemand(tokens int64, now time.Time) {
	if !b.demandAt.IsZero() {
		b.demand *= math.Exp2(-now.Sub(b.demandAt).Seconds() / demandHalfLife.Seconds())
	}
	b.demandAt = now
	b.demand += float64(tokens)
}

// target returns the number of tokens that cover the expected demand for balanceHorizon. The caller must hold b.mu.
func (b *balance) target() float64 {
	perSecond := b.demand * math.Ln2 / demandHalfLife.Seconds()
	return perSecond * balanceHorizon.Seconds()
}

// spend moves tokens from the balance to the spent ones. The caller must hold b.mu.
func (b *balance) spend(tokens int64, now time.Time) {
	b.tokens -= tokens
	b.spent.add(tokens, now)
}

// requestTokens requests tokens from the home of the account, unless a request is in flight. If a request failed
// less than homeRetryDelay ago, the waiters are served from the fallback instead.
func (l *Limiter) requestTokens(account string, b *balance, now time.Time) {
	b.mu.Lock()
	if b.requesting {
		b.mu.Unlock()
		return
	}
	if now.Before(b.backoffUntil) {
		l.serveFromFallback(account, b, now)
		b.mu.Unlock()
		return
	}
	b.requesting = true
	b.mu.Unlock()
	go l.requestLoop(account, b)
}

// requestLoop sends requests to the home of the account until no waiter is left or l.ctx has ended.
func (l *Limiter) requestLoop(account string, b *balance) {
	for {
		sent := clock.Now()
		b.mu.Lock()
		b.expire(sent)
		req := b.newRequest(account, sent)
		b.mu.Unlock()
		req.VM, req.Incarnation, req.Covers = l.cfg.Self, l.cfg.Incarnation, l.covers(sent)
		reply, err := l.callHome(req)
		now := time.Now()
		b.mu.Lock()
		l.logHomeChange(account, b, err)
		switch reported := b.seq != req.Seq; {
		case err == nil && reported:
			// A report was sent to a home since the request. It did not include the tokens of this reply, so
			// that home does not count them.
			l.cfg.Log.WithFields(logrus.Fields{"event": "tokens_dropped", "account": account, "tokens": reply.Tokens}).
				Info("tokens of a reply dropped: usage was reported to a home while the request was in flight")
		case err == nil:
			b.applyReply(req, reply, sent, now)
			b.fallback.homeReplied(b.spent.sum(now)+b.tokens, reply.remaining(), sent)
		default:
			b.backoffUntil = now.Add(homeRetryDelay)
			l.serveFromFallback(account, b, now)
		}
		if len(b.waiters) == 0 || l.ctx.Err() != nil {
			b.requesting = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
	}
}

// logHomeChange logs when the home of the account becomes unreachable or reachable again. The caller must hold b.mu.
func (l *Limiter) logHomeChange(account string, b *balance, err error) {
	if lost := err != nil; lost == b.homeUnreachable {
		return
	}
	b.homeUnreachable = err != nil
	if b.homeUnreachable {
		l.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "account_home_lost", "account": account, "held": b.tokens}).
			Warn("home of the account is unreachable")
		return
	}
	l.cfg.Log.WithFields(logrus.Fields{"event": "account_home_back", "account": account}).
		Info("home of the account is reachable again")
}

// newRequest returns a request for what the first waiter needs and what all waiters and the target balance take. The
// caller fills in the fields that identify the process and must hold b.mu.
func (b *balance) newRequest(account string, now time.Time) Request {
	need := int64(0)
	if len(b.waiters) > 0 {
		need = max(b.waiters[0].tokens-b.tokens, 0)
	}
	waiting := int64(0)
	for _, w := range b.waiters {
		waiting += w.tokens
	}
	want := max(waiting+int64(b.target())-b.tokens, need)
	b.seq++
	return Request{Account: account, Seq: b.seq, Spent: b.spent.copyBins(now), Held: b.tokens, Want: want, Need: need}
}

// applyReply adds the tokens of the home's reply to the balance and admits waiters from it. If the home lent less than
// the first waiter needed, it then refuses, in order, each waiter that the balance is too small for. The caller must
// hold b.mu.
func (b *balance) applyReply(req Request, reply Reply, sent, now time.Time) {
	if clock.Elapsed(sent, now) >= tokenTTL {
		return
	}
	b.tokens += reply.Tokens
	b.refillSentAt, b.overLimit = sent, reply.Excess
	b.admitWaiters(now)
	if len(b.waiters) == 0 || reply.Tokens >= req.Need {
		return
	}
	for len(b.waiters) > 0 && b.waiters[0].tokens > b.tokens {
		over := result.New(result.OverRate, fmt.Sprintf(
			"the client account is over its limit: %d tokens needed, %d held, %.0f of %.0f used within the window, %.2f of the VMs not counted",
			b.waiters[0].tokens, b.tokens, reply.Used, reply.Lent, reply.Absent))
		over.RetryAfter = reply.RetryAfter
		b.resolveFirst(admitResult{err: over})
		b.admitWaiters(now)
	}
}

// admitWaiters admits waiters in order while there are enough tokens. The caller must hold b.mu.
func (b *balance) admitWaiters(now time.Time) {
	for len(b.waiters) > 0 && b.tokens >= b.waiters[0].tokens {
		b.spend(b.waiters[0].tokens, now)
		b.resolveFirst(admitResult{charge: Charge{Tokens: b.waiters[0].tokens, At: now, OverLimit: b.overLimit}})
	}
}

// resolveFirst ends the wait of the first waiter with the given result. The caller must hold b.mu.
func (b *balance) resolveFirst(r admitResult) {
	b.waiters[0].done <- r
	b.waiters = b.waiters[1:]
}

// noHomeError returns the error for a request whose account has no reachable home.
func noHomeError() *result.Error {
	e := result.New(result.NoOwner, "the client account has no home at the moment")
	e.RetryAfter = noHomeRetryAfter
	return e
}

// Reasons why no home of an account handled a request.
var (
	errNoHome  = errors.New("no VM is known to hold the lease of the account")
	errNotHome = errors.New("the called VM does not hold the lease of the account")
)

// callHome sends the request to the home of the account, which may be this VM.
func (l *Limiter) callHome(req Request) (Reply, error) {
	holder, ok := l.cfg.Leases.HolderOf(lease.AccountPrefix + req.Account)
	if !ok {
		return Reply{}, errNoHome
	}
	if holder.VM == l.cfg.Self {
		return checkHome(l.cfg.Home.Settle(req))
	}
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	var reply Reply
	if err := l.cfg.PeerClient.Call(ctx, holder.Address, settleMethod, &req, &reply); err != nil {
		return Reply{}, err
	}
	return checkHome(reply)
}

// checkHome returns errNotHome if the called VM replied that it is not the home.
func checkHome(reply Reply) (Reply, error) {
	if reply.NotHome {
		return Reply{}, errNotHome
	}
	return reply, nil
}

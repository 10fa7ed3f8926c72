package allowance

import "time"

// maxReplyAge is the age up to which the last reply of a home still indicates how many tokens remained when the
// home became unreachable. A VM on which an account is in use requests tokens more often than that, because
// its balance covers the demand of this time.
const maxReplyAge = balanceHorizon

// remainingShare is the share of the tokens remaining by the home's last reply that the VMs may spend without
// the home. It is less than 1 because the VMs received their last replies at different times: tokens that
// remained in one reply may have been lent to another VM since.
const remainingShare = 0.5

// fallback tracks what a VM may spend while it cannot reach the home of an account. It is guarded by the mu of
// its balance.
type fallback struct {
	// lastContact is when the last request that the home replied to was sent; zero before the first reply.
	lastContact time.Time
	// lostAt is when the fallback was first used after that; zero while the home replies.
	lostAt time.Time
	// committed is what the VM had spent within the window plus what it held at the home's last reply.
	// remaining is what the home could still lend to any VM then.
	committed, remaining float64
	// entitlement is what the VM may spend within any window since lostAt: what it had committed, and
	// its part of what remained and of the reserve. All VMs together thus spend no more than what may be
	// lent plus the reserve, even if the home has lent all of it.
	entitlement float64
	// tokens are what a VM without a recent reply from the home may spend, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// homeReplied records that the home has replied to the request sent at that time. committed is what the VM has
// spent and holds, remaining what the home can still lend to any VM.
func (f *fallback) homeReplied(committed int64, remaining float64, sent time.Time) {
	f.lastContact, f.lostAt = sent, time.Time{}
	f.committed, f.remaining = float64(committed), max(remaining, 0)
}

// available returns the tokens that one of n VMs may spend now without the home, given what it has spent within
// the window.
func (f *fallback) available(p Policy, l Limit, n int, spent int64, now time.Time) float64 {
	if f.lostAt.IsZero() {
		f.lostAt = now
		f.entitlement = f.committed + (remainingShare*f.remaining+p.fallbackReserve(l))/float64(max(n, 1))
	}
	if f.lastContact.IsZero() || f.lostAt.Sub(f.lastContact) > maxReplyAge {
		f.refill(p.fallbackRate(l, n), now)
		return f.tokens
	}
	entitlement := f.entitlement
	if now.Sub(f.lostAt) >= unresponsiveAfter+p.Window+binWidth {
		// The home, if it is still running, has by now set aside the even share of this VM for a whole window.
		entitlement = max(entitlement, p.windowLimit(l)/float64(max(n, 1)))
	}
	return entitlement - float64(spent)
}

// refill brings the tokens of a VM without a recent reply up to date. It is a token bucket with rate in tokens
// per second that starts full and holds fallbackBurst of it.
func (f *fallback) refill(rate float64, now time.Time) {
	capacity := rate * fallbackBurst.Seconds()
	if f.refilledAt.IsZero() {
		f.tokens = capacity
	} else {
		f.tokens = min(f.tokens+rate*now.Sub(f.refilledAt).Seconds(), capacity)
	}
	f.refilledAt = now
}

// serveFromFallback admits or refuses all waiters without the home of the account: first from the balance, then
// from the fallback. The caller must hold b.mu.
func (l *Limiter) serveFromFallback(account string, b *balance, now time.Time) {
	b.admitWaiters(now)
	limit, known := l.cfg.Limits(account)
	vms := len(l.cfg.Fleet.Members())
	for len(b.waiters) > 0 {
		if !known || !b.spendFallback(l.cfg.Policy, limit, vms, b.waiters[0].tokens, now) {
			b.resolveFirst(admitResult{err: noHomeError()})
			continue
		}
		b.resolveFirst(admitResult{charge: Charge{Tokens: b.waiters[0].tokens, At: now}})
	}
}

// spendFallback spends tokens from the fallback, and reports whether there were enough. n is the number of VMs.
// The caller must hold b.mu.
func (b *balance) spendFallback(p Policy, l Limit, n int, tokens int64, now time.Time) bool {
	if float64(tokens) > b.fallback.available(p, l, n, b.spent.sum(now), now) {
		return false
	}
	b.fallback.tokens -= float64(tokens)
	// The entitlement includes the tokens of the balance.
	b.tokens = max(b.tokens-tokens, 0)
	b.spent.add(tokens, now)
	return true
}

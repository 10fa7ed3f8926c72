package quota

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/result"
)

// account is one VM's state of one client account: the balance of granted tokens, the requests that wait
// for tokens, and what has yet to be reported to the account's home.
type account struct {
	name string

	mu sync.Mutex
	// The fields below are guarded by mu.

	// balance is the tokens that this VM may still spend.
	balance int64
	// homeBalance is the balance that the home has on record for this VM.
	homeBalance int64
	// grantSentAt is when the VM sent the last grant request whose reply it accepted. The lifetime of the
	// balance is counted from then.
	grantSentAt time.Time
	// fencing is the lowest fencing number of a home whose grants are accepted.
	fencing uint64
	// seq is the sequence number of the last request sent, accepted that of the last reply accepted.
	seq, accepted uint64
	// waiters are served in the order of their arrival.
	waiters []*waiter
	// refunds are sent with the next request to the home.
	refunds []pendingRefund
	// stamps are those of replies from the present home, oldest first.
	stamps []stamp
	// fetching is set while a goroutine sends grant requests for this account; there is one at most.
	fetching bool
	// giveBackArmed is set while the timer that gives unspent tokens back is running.
	giveBackArmed bool
	demand        demand
}

// waiter is one request waiting for tokens.
type waiter struct {
	tokens     int64
	enqueuedAt time.Time
	// deadline is the deadline of the request, or zero if it has none.
	deadline time.Time
	// retryAfter is set once the home has replied that tokens are short: the time until they are expected to
	// be available.
	retryAfter time.Duration
	// done receives nil if the request is admitted, and the reason for its refusal otherwise.
	done chan error
}

// stamp is the stamp of a home's reply, with the time at which the VM accepted that reply.
type stamp struct {
	value      time.Duration
	receivedAt time.Time
}

// pendingRefund is the tokens that a request did not use, with the time at which it was admitted.
type pendingRefund struct {
	tokens   int64
	admitted time.Time
}

// expire discards the balance once grantLifetime has passed. a.mu must be held.
func (a *account) expire(now time.Time) {
	if age := clock.Elapsed(a.grantSentAt, now); age >= grantLifetime {
		a.balance = 0
	}
}

// spendOrEnqueue spends the tokens and returns nil if the balance suffices and no request is waiting.
// Otherwise it returns a new waiter at the end of the queue.
func (a *account) spendOrEnqueue(tokens int64, now, deadline time.Time) *waiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	a.demand.add(tokens, now)
	if len(a.waiters) == 0 && a.balance >= tokens {
		a.balance -= tokens
		return nil
	}
	w := &waiter{tokens: tokens, enqueuedAt: now, deadline: deadline, done: make(chan error, 1)}
	a.waiters = append(a.waiters, w)
	return w
}

// withdraw removes a waiter whose caller has gone away or whose deadline has passed, and returns its
// refusal. If the waiter already has its result, withdraw returns that instead.
func (a *account) withdraw(w *waiter) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return <-w.done
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	return w.refusal()
}

// refusal returns the error for a waiter that gets no tokens.
func (w *waiter) refusal() error {
	if w.retryAfter > 0 {
		err := result.New(result.OverRate, "the client account is over its rate")
		err.RetryAfter = w.retryAfter
		return err
	}
	err := result.New(result.NoOwner, "the client account has no home at the moment")
	err.RetryAfter = noOwnerRetryAfter
	return err
}

// admitWaiters admits waiters in order while the balance lasts, and refuses those for which the tokens have
// come too late. a.mu must be held.
func (a *account) admitWaiters(now time.Time) {
	a.expire(now)
	for len(a.waiters) > 0 && a.balance >= a.waiters[0].tokens {
		if now.After(a.waiters[0].admitBy()) {
			a.finishWaiter(0, a.waiters[0].refusal())
			continue
		}
		a.balance -= a.waiters[0].tokens
		a.finishWaiter(0, nil)
	}
}

// finishWaiter removes waiter i from the queue and gives it its result. a.mu must be held.
func (a *account) finishWaiter(i int, err error) {
	a.waiters[i].done <- err
	a.waiters = slices.Delete(a.waiters, i, i+1)
}

// fence records the fencing number of a new home, so that grants of earlier homes are refused from then on,
// and returns the balance.
func (a *account) fence(fencing uint64, now time.Time) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	if fencing > a.fencing {
		a.fencing = fencing
		a.stamps = nil
	}
	return a.balance
}

// startFetching reports whether the caller must run the fetch loop. It returns false if one is running.
func (a *account) startFetching() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fetching {
		return false
	}
	a.fetching = true
	return true
}

// nextRequest builds the next request to the home. If there is nothing to ask for, to give back or to
// report, it clears fetching and returns false.
func (a *account) nextRequest(now time.Time, giveBack bool, limit Limit) (GrantRequest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admitWaiters(now)
	req := GrantRequest{Account: a.name, Accepted: a.accepted, Fencing: a.fencing}
	if len(a.waiters) > 0 {
		a.setAmounts(&req, now, limit)
	} else if giveBack {
		req.Returned, a.balance = a.balance, 0
	}
	if len(a.waiters) == 0 && (!giveBack || req.Returned == 0 && !a.hasUnreported()) {
		a.fetching = false
		return req, false
	}
	a.seq++
	req.Seq = a.seq
	req.Held = a.balance
	req.Refunds = a.drainRefunds()
	return req, true
}

// setAmounts sets the amounts of a request. Need covers the first waiter. Want covers all waiters and the
// demand expected within prefetchWindow, up to the burst. a.mu must be held.
func (a *account) setAmounts(req *GrantRequest, now time.Time, limit Limit) {
	req.Need = a.waiters[0].tokens - a.balance
	waiting := int64(0)
	for _, w := range a.waiters {
		waiting += w.tokens
	}
	ahead := int64(a.demand.rate(now) * prefetchWindow.Seconds())
	req.Want = max(min(waiting+ahead, int64(limit.Burst))-a.balance, req.Need)
}

// accept adds the tokens of a reply to the balance. It returns false, and changes nothing, if the reply must
// not be used: because it is late, malformed, or from a home that has since been replaced.
func (a *account) accept(req GrantRequest, reply GrantReply, sent, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply.Seq != a.seq || reply.Seq != req.Seq || reply.Fencing < a.fencing || outOfRange(reply.Tokens) {
		return false
	}
	if now.Sub(sent) > callTimeout {
		return false
	}
	a.expire(now)
	if a.fencing != reply.Fencing {
		a.stamps = nil
	}
	a.fencing = reply.Fencing
	a.recordStamp(reply.Stamp, now)
	a.accepted = reply.Seq
	a.balance += reply.Tokens
	a.homeBalance = req.Held + reply.Tokens
	a.grantSentAt = sent
	return true
}

// applyReply admits, refuses or keeps the waiters as an accepted reply says. Its results are those of
// requestTokens.
func (a *account) applyReply(req GrantRequest, reply GrantReply, now time.Time, rate float64) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admitWaiters(now)
	if len(a.waiters) == 0 {
		a.fetching = false
		return 0, false
	}
	if reply.Tokens > 0 || reply.RetryAfter == 0 {
		return 0, true
	}
	first := a.waiters[0]
	for _, w := range a.waiters {
		w.retryAfter = reply.RetryAfter
	}
	if first.tokens-a.balance < req.Need {
		// The waiter for which the request was made has left the queue.
		return 0, true
	}
	if !reply.Wait {
		a.refuseAtLeast(first.tokens, reply.RetryAfter)
		return 0, true
	}
	a.refuseUnservable(reply, now, rate)
	if len(a.waiters) == 0 {
		return 0, true
	}
	return min(reply.RetryAfter, maxPollInterval), true
}

// refuseUnservable refuses the waiters that the account's rate cannot serve: those that, together with the
// waiters ahead of them, need more tokens than the account may use, and those whose turn would come too
// late. The turn of each waiter comes after the home's RetryAfter plus the time in which the rate yields
// the tokens of the waiters ahead of it. a.mu must be held.
func (a *account) refuseUnservable(reply GrantReply, now time.Time, rate float64) {
	ahead := int64(0)
	kept := a.waiters[:0]
	for _, w := range a.waiters {
		wait := reply.RetryAfter + time.Duration(float64(ahead)/rate*float64(time.Second))
		w.retryAfter = wait
		if ahead+w.tokens > reply.Usable+a.balance || now.Add(wait).After(w.admitBy()) {
			w.done <- w.refusal()
			continue
		}
		ahead += w.tokens
		kept = append(kept, w)
	}
	clear(a.waiters[len(kept):])
	a.waiters = kept
}

// admitBy returns the latest time at which the waiter may be admitted: after maxWait at most, and early
// enough for the request to run before its deadline.
func (w *waiter) admitBy() time.Time {
	latest := w.enqueuedAt.Add(maxWait)
	if w.deadline.IsZero() {
		return latest
	}
	if before := w.enqueuedAt.Add(time.Duration(maxWaitFraction * float64(w.deadline.Sub(w.enqueuedAt)))); before.Before(latest) {
		return before
	}
	return latest
}

// refuseAtLeast refuses the waiters that need the given number of tokens or more. a.mu must be held.
func (a *account) refuseAtLeast(tokens int64, retryAfter time.Duration) {
	for i := len(a.waiters) - 1; i >= 0; i-- {
		if w := a.waiters[i]; w.tokens >= tokens {
			w.retryAfter = retryAfter
			a.finishWaiter(i, w.refusal())
		}
	}
}

// handleFailedCall refuses the waiters that have waited for maxWait, after a call to the home that gave no
// usable reply. Its results are those of requestTokens.
func (a *account) handleFailedCall(now time.Time) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.waiters) > 0 && now.Sub(a.waiters[0].enqueuedAt) >= maxWait {
		a.waiters[0].retryAfter = 0
		a.finishWaiter(0, a.waiters[0].refusal())
	}
	if len(a.waiters) == 0 {
		a.fetching = false
		return 0, false
	}
	return retryInterval, true
}

// addRefund stores unused tokens until the next request to the home.
func (a *account) addRefund(tokens int64, admitted time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.refunds) >= maxRefunds {
		last := &a.refunds[len(a.refunds)-1]
		last.tokens += tokens
		if admitted.Before(last.admitted) {
			last.admitted = admitted
		}
		return
	}
	a.refunds = append(a.refunds, pendingRefund{tokens: tokens, admitted: admitted})
}

// maxRefunds is the maximum number of refunds in one request. Further ones are merged into the last.
const maxRefunds = 32

// recordStamp stores the stamp of a reply, unless the last one stored is less than stampInterval old. a.mu
// must be held.
func (a *account) recordStamp(value time.Duration, now time.Time) {
	if n := len(a.stamps); n > 0 && now.Sub(a.stamps[n-1].receivedAt) < stampInterval {
		return
	}
	if len(a.stamps) == maxStamps {
		a.stamps = slices.Delete(a.stamps, 0, 1)
	}
	a.stamps = append(a.stamps, stamp{value: value, receivedAt: now})
}

const (
	// stampInterval is the minimum time between two stored stamps.
	stampInterval = 250 * time.Millisecond
	// maxStamps is enough to reach back over MaxRefundAge.
	maxStamps = int(MaxRefundAge / stampInterval)
)

// drainRefunds removes all pending refunds and returns those for requests that were admitted after a stamp
// of the present home. Refunds are not sent again: if the request to the home is lost, so are they. a.mu
// must be held.
func (a *account) drainRefunds() []Refund {
	var refunds []Refund
	for _, r := range a.refunds {
		before := sort.Search(len(a.stamps), func(i int) bool { return a.stamps[i].receivedAt.After(r.admitted) })
		if before > 0 {
			refunds = append(refunds, Refund{Tokens: r.tokens, Since: a.stamps[before-1].value})
		}
	}
	a.refunds = nil
	return refunds
}

// armGiveBack reports whether the caller must start the timer that gives tokens back. It returns false if
// the timer is running or there is nothing to give back or to report.
func (a *account) armGiveBack() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.giveBackArmed || a.balance == 0 && !a.hasUnreported() {
		return false
	}
	a.giveBackArmed = true
	return true
}

// hasUnreported reports whether there are spent tokens or refunds of which the home has not been notified.
// a.mu must be held.
func (a *account) hasUnreported() bool { return a.homeBalance != a.balance || len(a.refunds) > 0 }

// disarmGiveBack records that the timer has fired. It reports whether the caller must send a request to the
// home, which is not the case while the fetch loop runs or tokens are in demand.
func (a *account) disarmGiveBack(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.giveBackArmed = false
	a.expire(now)
	if a.fetching || now.Sub(a.demand.updatedAt) < idleReturnDelay {
		return false
	}
	a.fetching = true
	return true
}

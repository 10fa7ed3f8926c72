package allowance

import (
	"math"
	"time"
)

const (
	// tokenTTL is how long a VM may spend the tokens it was lent, counted from when it sent the request
	// for them. It is longer than it takes another VM to become the home of the account.
	tokenTTL = 5 * time.Second
	// clockDriftMargin is how much longer than tokenTTL the home counts tokens as held, because clocks
	// drift apart.
	clockDriftMargin = 200 * time.Millisecond
	// scarceShare is the share of the lendable tokens below which the remaining ones are scarce: VMs are
	// then lent no more than they need.
	scarceShare = 0.3
	// spareDivisor limits what one VM is lent beyond its need: to the tokens that then remain, divided by it.
	spareDivisor = 4
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is asked to retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// reportsRetryAfter is the time after which a caller is asked to retry if the home waits for reports of VMs: a few
	// polls that fail.
	reportsRetryAfter = 4 * usagePollInterval
)

// Request reports to the home of an account what a VM has spent and holds, and requests tokens. As the reply to
// Service.Tell it is the report alone.
type Request struct {
	Account     string
	VM          string
	Incarnation string
	// Seq numbers the reports of the process on the account. A report with a lower number than one that
	// the home has received already is outdated.
	Seq uint64
	// Spent is what the process has spent in each bin of the window, the newest first.
	Spent []int64
	// Covers is the time that Spent covers. It is no longer than the process has run, because the process
	// does not know what an earlier one on the VM has spent.
	Covers time.Duration
	// Held is the number of tokens that the process may still spend.
	Held int64
	// Want is the number of tokens requested. Need, which is part of it, is the smallest number that is of
	// use.
	Want, Need int64
}

// Reply is the reply of the home to a Request.
type Reply struct {
	// NotHome reports that the called VM is not the home of the account.
	NotHome bool
	// Tokens is the number of tokens lent.
	Tokens int64
	// Excess reports that the account is over its limit, within what is tolerated.
	Excess bool
	// RetryAfter is the time until Need tokens will be available, if Tokens is less.
	RetryAfter time.Duration
	// Used is the number of tokens that count within the window, and Lent the most that may be lent within
	// it. Absent is the share of the VMs that have not reported what they have spent or are unresponsive.
	Used, Lent float64
	Absent     float64
}

// remaining returns the tokens that may still be lent after the reply.
func (r Reply) remaining() float64 { return r.Lent - r.Used - float64(r.Tokens) }

// account is the state of one client account at its home. It is not safe for concurrent use.
type account struct {
	policy Policy
	limit  Limit
	// previousLimit is the limit that was in force until loweredAt, when a lower one replaced it. loweredAt
	// is zero once the present limit has been in force for a window.
	previousLimit Limit
	loweredAt     time.Time
	// gainedAt is when this VM became the home of the account.
	gainedAt time.Time
	// usage is what each process has spent and holds, by incarnation.
	usage map[string]*processUsage
	// vmCount is the number of VMs that may spend tokens of the account.
	vmCount int
	// reported is the set of VMs that have reported what they have spent, since this VM became the home and
	// since they were last unresponsive.
	reported map[string]bool
	// polling is the set of VMs that are being polled for what they have spent.
	polling map[string]bool
	// coveredSince maps each VM that has reported to the time from which on its report is complete. Earlier
	// processes on the VM may have spent tokens within the window before that.
	coveredSince map[string]time.Time
	// recordedBins is what all VMs had spent in each bin by the record of the previous home, the newest
	// first; nil if there is no record.
	recordedBins []int64
	// recordedAt is when the record was made, recordedHeld what all VMs held then.
	recordedAt   time.Time
	recordedHeld int64
	// absentShare is the share of the VMs that have not reported or are unresponsive. Each of them is
	// assumed to spend its even share of the limit, and to have done so before.
	absentShare float64
	// unresponsive is the set of VMs that have not responded for unresponsiveAfter and are not proven gone.
	unresponsive map[string]bool
	// nextReturn is the earliest time that the next refused request is given as the time to return.
	nextReturn time.Time
	// lastLogged is when account_scarce was last logged for the account.
	lastLogged time.Time
}

// processUsage is what one process (incarnation) on a VM has spent and holds by its latest report.
type processUsage struct {
	vm        string
	seq       uint64
	spent     slidingWindow
	held      int64
	heldUntil time.Time
	// committed is what the process had spent within the window plus what it held, after its latest request. It
	// may spend as much within any window while it cannot reach the home.
	committed int64
}

// newAccount returns an account whose tokens are spent by n VMs and whose home this VM became at gained.
func newAccount(p Policy, l Limit, n int, gained time.Time) *account {
	return &account{
		policy: p, limit: l, vmCount: n, gainedAt: gained, usage: map[string]*processUsage{},
		reported: map[string]bool{}, polling: map[string]bool{}, coveredSince: map[string]time.Time{}, unresponsive: map[string]bool{},
	}
}

// setLimit sets the limit that is now in force. Tokens spent before a limit was lowered do not count against the
// lower one.
func (a *account) setLimit(l Limit, now time.Time) {
	switch before, after := a.policy.windowLimit(a.limit), a.policy.windowLimit(l); {
	case after < before:
		a.previousLimit, a.loweredAt = a.limit, now
	case after > before, now.Sub(a.loweredAt) > a.policy.Window+binWidth:
		a.loweredAt = time.Time{}
	}
	a.limit = l
}

// limitUsage is the usage of an account compared with one limit.
type limitUsage struct {
	limit Limit
	// used is the number of tokens that count against the limit, lendable the most that may be lent under it within
	// a window.
	used, lendable float64
}

func (u limitUsage) remaining() float64 { return u.lendable - u.used }

// tightestUsage returns the usage compared with the present limit or, shortly after the limit was lowered, with the
// previous one if fewer tokens remain by that.
func (a *account) tightestUsage(now time.Time) limitUsage {
	present := a.usageAgainst(a.limit, a.loweredAt, now)
	if a.loweredAt.IsZero() {
		return present
	}
	if before := a.usageAgainst(a.previousLimit, time.Time{}, now); before.remaining() < present.remaining() {
		return before
	}
	return present
}

// usageAgainst returns the usage compared with a limit that has been in force since that time; a zero time stands
// for the whole window.
func (a *account) usageAgainst(l Limit, since, now time.Time) limitUsage {
	lendable := a.policy.lendable(l)
	evenShare := lendable / float64(max(a.vmCount, 1))
	used := a.absentShare*lendable + a.assumedUsage(l, since, now)
	for _, u := range a.usage {
		counted := float64(u.spent.sumSince(since, now) + u.possiblySpent(a.policy, now))
		if a.unresponsive[u.vm] {
			// What it reported leaves the window, but it may have spent as much again since.
			counted = max(counted, float64(u.committed)-evenShare)
		}
		used += counted
	}
	return limitUsage{limit: l, used: max(used, a.recordedUsage(l, since, now)), lendable: lendable}
}

// recordedUsage returns the least that counts as spent while the record of the previous home is needed: what was spent
// by that record until this VM became the home, and by the reports of the VMs since. Without it, VMs that have not
// reported would count with no more than their even share, although they may have spent more.
func (a *account) recordedUsage(l Limit, since, now time.Time) float64 {
	from := now.Add(-a.policy.Window - binWidth)
	if since.After(from) {
		from = since
	}
	if !a.needsRecord() {
		return 0
	}
	total := min(a.estimateSpent(from, a.gainedAt), a.policy.lendable(l))
	if a.gainedAt.After(from) {
		from = a.gainedAt
	}
	for _, u := range a.usage {
		total += float64(u.spent.sumSince(from, now))
	}
	return total
}

// assumedUsage returns what earlier processes on the VMs are assumed to have spent within the window after since: each
// an even share of what all VMs spent by the record of the previous home. The number of VMs is read at each call,
// because a home that starts together with all VMs discovers them one by one.
func (a *account) assumedUsage(l Limit, since, now time.Time) float64 {
	span := a.policy.Window + binWidth
	from := now.Add(-span)
	if since.After(from) {
		from = since
	}
	total := 0.0
	for vm, covered := range a.coveredSince {
		if now.Sub(covered) >= span {
			delete(a.coveredSince, vm)
			continue
		}
		total += a.estimateSpent(from, covered)
	}
	return min(total/float64(max(a.vmCount, len(a.reported), 1)), a.policy.lendable(l))
}

// possiblySpent returns what the process held at its latest report. It may spend that until the tokens expire, and
// tokens spent then count for one more window.
func (u *processUsage) possiblySpent(p Policy, now time.Time) int64 {
	if now.After(u.heldUntil.Add(p.Window + binWidth)) {
		return 0
	}
	return u.held
}

// tokensExpired reports whether tokens that the process held at its latest report have expired since, so that it may
// have spent less than is counted.
func (a *account) tokensExpired(incarnation string, now time.Time) bool {
	u := a.usage[incarnation]
	return u != nil && u.held > 0 && now.After(u.heldUntil)
}

// scarce reports whether few tokens remain to be lent.
func (a *account) scarce(now time.Time) bool {
	usage := a.tightestUsage(now)
	return usage.remaining() < scarceShare*usage.lendable
}

// discardExpired drops the processes whose usage no longer counts.
func (a *account) discardExpired(now time.Time) {
	for id, u := range a.usage {
		if u.spent.sum(now) == 0 && u.possiblySpent(a.policy, now) == 0 && !a.unresponsive[u.vm] {
			delete(a.usage, id)
		}
	}
}

// settle records what a VM has spent and holds, and lends it tokens.
func (a *account) settle(req Request, now time.Time) Reply {
	a.discardExpired(now)
	u := a.recordUsage(req, now)
	if u == nil {
		// The VM has sent a newer report since, and no longer waits for this reply.
		return Reply{}
	}
	usage := a.tightestUsage(now)
	remaining := int64(math.Floor(usage.remaining()))
	reply := Reply{
		Tokens: a.grantSize(req, remaining), Excess: usage.used >= a.policy.windowLimit(usage.limit),
		Used: usage.used, Lent: usage.lendable, Absent: a.absentShare,
	}
	if reply.Tokens < req.Need {
		reply.RetryAfter = a.retryAfter(req.Need, req.Need-remaining, now)
	}
	u.held += reply.Tokens
	u.committed += reply.Tokens
	return reply
}

// recordUsage records what a process has spent and holds. It returns nil if a newer report was recorded before.
func (a *account) recordUsage(req Request, now time.Time) *processUsage {
	if u := a.usage[req.Incarnation]; u != nil && u.seq > req.Seq {
		return nil
	}
	if !a.reported[req.VM] {
		a.reported[req.VM] = true
		a.coveredSince[req.VM] = now.Add(-req.Covers)
	}
	u := a.usage[req.Incarnation]
	if u == nil {
		u = &processUsage{vm: req.VM, spent: newSlidingWindow(a.policy.Window)}
		a.usage[req.Incarnation] = u
	}
	u.update(req, now)
	return u
}

// update replaces the usage of the process by a newer report.
func (u *processUsage) update(req Request, now time.Time) {
	u.seq = req.Seq
	u.spent.advance(now)
	u.spent.start = now
	clear(u.spent.bins)
	copy(u.spent.bins, req.Spent)
	u.held = req.Held
	u.committed = u.spent.sum(now) + u.held
	u.heldUntil = now.Add(tokenTTL + clockDriftMargin)
}

// grantSize returns the number of tokens to lend: what is needed, and part of what is requested beyond that as long
// as plenty remain for the other VMs.
func (a *account) grantSize(req Request, remaining int64) int64 {
	if remaining < req.Need {
		return 0
	}
	spare := remaining - req.Need
	if float64(remaining) < scarceShare*a.policy.lendable(a.limit) {
		return req.Need
	}
	return req.Need + min(max(req.Want-req.Need, 0), spare/spareDivisor)
}

// retryAfter returns the time after which a refused request that needs tokens, of which some are missing, can be admitted.
// Refused requests get times one after the other, at the rate of the account, so that they do not all return for the same
// tokens.
func (a *account) retryAfter(need, missing int64, now time.Time) time.Duration {
	perSecond := a.policy.lendable(a.limit) / a.policy.Window.Seconds()
	if perSecond <= 0 {
		return maxRetryAfter
	}
	if a.awaitsReports(missing, now) {
		return reportsRetryAfter
	}
	at := now.Add(max(a.timeUntilFreed(missing, now), minRetryAfter))
	if a.nextReturn.After(at) {
		at = a.nextReturn
	}
	if latest := now.Add(maxRetryAfter); at.After(latest) {
		at = latest
	}
	a.nextReturn = at.Add(time.Duration(float64(need) / perSecond * float64(time.Second)))
	return at.Sub(now)
}

// awaitsReports reports whether the missing tokens count as spent only because VMs have not reported yet to a home that has
// just begun. Their reports arrive within a fraction of a second.
func (a *account) awaitsReports(missing int64, now time.Time) bool {
	return now.Sub(a.gainedAt) < unresponsiveAfter && float64(missing) <= a.absentShare*a.policy.lendable(a.limit)
}

// timeUntilFreed returns the time until that many of the tokens spent have left the window. Tokens that VMs hold or are
// assumed to have spent leave it at times that the home does not know; a window is returned if they are needed.
func (a *account) timeUntilFreed(tokens int64, now time.Time) time.Duration {
	bins := int(a.policy.Window/binWidth) + 1
	for step := 1; step <= bins; step++ {
		for _, u := range a.usage {
			u.spent.advance(now)
			if len(u.spent.bins) >= step {
				tokens -= u.spent.bins[len(u.spent.bins)-step]
			}
		}
		if tokens <= 0 {
			return time.Duration(step) * binWidth
		}
	}
	return a.policy.Window
}

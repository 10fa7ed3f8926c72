package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// overloadGain and overloadDecay are by how much a response that shows overload raises the overload of a group, and by
	// how much another one lowers it. They balance when about one in eight responses shows overload.
	overloadGain  = 0.15
	overloadDecay = 0.02
	// overloadHalfLife is the time in which the overload halves without responses: most requests may have been refused.
	overloadHalfLife = time.Second
	// overloadDeadband is the overload up to which nothing is refused. A single late response or rejection, which happens
	// at low load too, stays below it.
	overloadDeadband = 0.25
	// maxRefusedShare bounds the share of the requests that are refused. The rest shows when the overload ends.
	maxRefusedShare = 0.9
	// lateShare is the part of the objective from which on a response shows overload: the queue takes the time that
	// other requests need to be in time.
	lateShare = 0.7
	// recentHalfLife and usualHalfLife are the half-lives of the request rates of accounts that are compared to find
	// accounts that send more than usual.
	recentHalfLife = time.Second
	usualHalfLife  = 15 * time.Second
	// ratePrior, in requests per second, is added to both rates, so that a few requests are no excess.
	ratePrior = 1
	// maxExcess bounds the excess of an account.
	maxExcess = 8
	// excessWeight is the weight of a request in the mean excess.
	excessWeight = 0.05
	// returnedTimeShare is the part of the longest time limit seen on a route below which a request counts as sent again by a
	// caller that was refused before, and returnedWeight what remains of its probability to be refused.
	returnedTimeShare = 0.9
	returnedWeight    = 0.5
	// maxRoutes and maxAccounts bound the tables; both are cleared when they are full.
	maxRoutes   = 4096
	maxAccounts = 4096
	// minServiceReturn and maxServiceReturn bound the time after which refused callers are asked to come back. Queues of
	// services last for a fraction of a second, and callers are spread over the time.
	minServiceReturn = 200 * time.Millisecond
	maxServiceReturn = time.Second
)

// ServiceRequest is what the admission to a plain service knows of a request.
type ServiceRequest struct {
	Group, Route, Account string
	// OverLimit says that the account is over its limit, within what is tolerated.
	OverLimit bool
	// TimeLimit is what the caller states; 0 if it states none.
	TimeLimit time.Duration
}

// ServiceAdmission refuses a share of the requests to plain services whose queues are so long that most responses would be
// late. Endpoints refuse requests only when their queues are full; until then every request that they take makes those
// behind it late. The share is learned from the responses that this VM sees: no VM knows the load that others add. It is
// safe for concurrent use.
type ServiceAdmission struct {
	// random returns a number from 0 to 1.
	random func() float64

	mu sync.Mutex
	// The fields below are guarded by mu.

	groups   map[string]*serviceGroup
	accounts map[string]*accountRate
	// timeLimits are the longest time limits that callers have stated, by route.
	timeLimits map[string]time.Duration
}

// serviceGroup is the overload of a group of endpoints.
type serviceGroup struct {
	overload float64
	at       time.Time
	// meanExcess is the moving average of the excess of the accounts of requests.
	meanExcess float64
}

// accountRate is the rate of an account's requests at this VM, recently and usually, in requests per second.
type accountRate struct {
	recent, usual float64
	at            time.Time
}

// NewServiceAdmission returns an admission that has seen no responses. random returns a number from 0 to 1.
func NewServiceAdmission(random func() float64) *ServiceAdmission {
	return &ServiceAdmission{
		random: random, groups: map[string]*serviceGroup{}, accounts: map[string]*accountRate{}, timeLimits: map[string]time.Duration{},
	}
}

// Admit reports whether a request may go to an endpoint of its group. If not, it returns the time after which to come back.
func (a *ServiceAdmission) Admit(r ServiceRequest, now time.Time) (retryAfter time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.group(r.Group)
	excess := a.excess(r.Account, now)
	g.meanExcess += excessWeight * (excess - g.meanExcess)
	returned := a.returned(r)
	overload := g.overloadAt(now)
	if overload <= overloadDeadband {
		return 0, true
	}
	share := (overload - overloadDeadband) / (1 - overloadDeadband)
	probability := share * excess / g.meanExcess
	switch {
	case r.OverLimit:
		probability = maxRefusedShare
	case returned:
		probability *= returnedWeight
	}
	if a.random() >= min(probability, maxRefusedShare) {
		return 0, true
	}
	spread := time.Duration(a.random() * share * float64(maxServiceReturn-minServiceReturn))
	return minServiceReturn + spread, false
}

// Responded records that an endpoint has responded to a request that long after it was sent.
func (a *ServiceAdmission) Responded(group string, after, objective time.Duration, now time.Time) {
	a.record(group, objective > 0 && float64(after) > lateShare*float64(objective), now)
}

// Rejected records that an endpoint had no room for a request.
func (a *ServiceAdmission) Rejected(group string, now time.Time) { a.record(group, true, now) }

func (a *ServiceAdmission) record(group string, overloaded bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.group(group)
	g.overload, g.at = g.overloadAt(now), now
	if overloaded {
		g.overload += overloadGain * (1 - g.overload)
	} else {
		g.overload = max(g.overload-overloadDecay, 0)
	}
}

// Overload returns the overload of a group, from 0 to 1.
func (a *ServiceAdmission) Overload(group string, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.group(group).overloadAt(now)
}

// group returns the state of a group. a.mu is held.
func (a *ServiceAdmission) group(name string) *serviceGroup {
	g := a.groups[name]
	if g == nil {
		g = &serviceGroup{meanExcess: 1}
		a.groups[name] = g
	}
	return g
}

func (g *serviceGroup) overloadAt(now time.Time) float64 {
	if g.overload == 0 {
		return 0
	}
	return g.overload * decay(now.Sub(g.at), overloadHalfLife)
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}

// excess counts a request of an account, and returns the rate of its requests as a multiple of its usual rate, at least 1.
// a.mu is held.
func (a *ServiceAdmission) excess(account string, now time.Time) float64 {
	rate := a.accounts[account]
	if rate == nil {
		if len(a.accounts) >= maxAccounts {
			clear(a.accounts)
		}
		rate = &accountRate{at: now}
		a.accounts[account] = rate
	}
	age := now.Sub(rate.at)
	rate.at = now
	rate.recent = rate.recent*decay(age, recentHalfLife) + math.Ln2/recentHalfLife.Seconds()
	rate.usual = rate.usual*decay(age, usualHalfLife) + math.Ln2/usualHalfLife.Seconds()
	return min(max((rate.recent+ratePrior)/(rate.usual+ratePrior), 1), maxExcess)
}

// returned reports whether a request was probably sent by a caller that was refused before: callers state the time that they
// have left, which is less at a later attempt. a.mu is held.
func (a *ServiceAdmission) returned(r ServiceRequest) bool {
	if r.TimeLimit <= 0 {
		return false
	}
	longest := a.timeLimits[r.Route]
	if r.TimeLimit > longest {
		if len(a.timeLimits) >= maxRoutes {
			clear(a.timeLimits)
		}
		a.timeLimits[r.Route] = r.TimeLimit
		return false
	}
	return float64(r.TimeLimit) < returnedTimeShare*float64(longest)
}

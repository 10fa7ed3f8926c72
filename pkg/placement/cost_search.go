package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// maxSends is the number of times that a request tries to go to an engine that has become busier since its
	// offer.
	maxSends = 2
	// inTimeShare is the multiple of the objective by which the first token must be expected for a request to count
	// as in time; less for less urgent requests, because they are overtaken, and for accounts over their limit. In
	// the queue model a tenth of the requests take 100 to 300 ms longer than forecast under overload: with 0.75
	// instead of 1.0, the share in time rose from 74 to 78 % (customer A) and from 29 to 37 % (B).
	inTimeShare           = 0.8
	lessUrgentInTimeShare = 0.75
	overLimitInTimeShare  = 0.5
	// returnedShare is added for a caller that returns at the time that it was given, which ranks it before new ones.
	returnedShare = 0.1
	// promptShare is the part of the objective up to which a request goes to an engine without asking the next one. A
	// request whose own work takes longer accepts half of it as queue. With 0.25 in the queue model, less urgent
	// requests were in time less often under the usual load, and the busiest engine got 1.25 times the mean instead of
	// 1.18 (customer B).
	promptShare = 0.15
	// minYieldShare is what remains of these shares when hardly any more urgent request is served at once.
	minYieldShare = 0.25
	// A request that will be late goes to an engine whose queue takes at most this share of the objective, which
	// leaves room for others to be in time. The share grows from the first to the second value while the request
	// waits, so that those that have waited longest go first.
	lateQueueShare    = 0.25
	maxLateQueueShare = 0.5
	// minHold and maxHold bound the time until a waiting request asks again.
	minHold = 200 * time.Millisecond
	maxHold = time.Second
	// askAgain is the number of engines that a waiting request asks each time, and one more if owners have named a better
	// one. With two of each and a minHold of 100 ms, the queue model made 9.6 calls a request under 2.7 times the usual
	// load, against 6.2 with homes.
	askAgain = 1
	// maxOthers is the number of engines beyond its homes that a request asks.
	maxOthers = 2
	// otherDomainShare is the part of the objective by which an engine in another failure domain must be sooner:
	// bytes between failure domains are expensive.
	otherDomainShare = 0.25
	// displacedWeight is the part of the delay of less urgent requests that counts like a wait of the request itself.
	displacedWeight = 0.5
	// assumedLoad is the wait for an adapter at an engine of which nothing else is known.
	assumedLoad = 300 * time.Millisecond
)

// CostContext is what the searches of a VM by expected cost share.
type CostContext struct {
	// FailureDomain is that of the VM.
	FailureDomain string
	Admission     *Admission
	Known         *KnownEngines
	Returns       *Returns
}

// NewCostContext returns the context of a VM in the failure domain.
func NewCostContext(domain string) CostContext {
	return CostContext{FailureDomain: domain, Admission: NewAdmission(), Known: NewKnownEngines(), Returns: NewReturns()}
}

// Sweep discards what is out of date.
func (c CostContext) Sweep(now time.Time) {
	c.Known.Sweep(now)
	c.Returns.Sweep(now)
}

// CostSearch is the search of one request by expected cost. It is not safe for concurrent use.
type CostSearch struct {
	CostContext
	req   Request
	group string
	// session spreads the engines that are asked without any knowledge.
	session uint64
	// ranked are all engines. homes are those to ask, one after the other.
	ranked []roster.Endpoint
	homes  []roster.Endpoint
	// homeCount is the number of homes of the key; spare says that another one may be added to them.
	homeCount int
	spare     bool
	asked     int
	others    int
	// offers are the engines where the request would have to wait, loads the waits for the adapter that owners have
	// named for others.
	offers []Offer
	loads  map[roster.Incarnation]time.Duration
	// own and run are the last expected time of the request's own work, and of the rest of the response. full is the former at an
	// engine that holds no part of the prompt, as may be all beyond the homes.
	own, full, run time.Duration
	sends          int
	held           bool
	// refused says that no engine can take the request in time.
	refused bool
}

// NewCostSearch returns the search of a request of a group among the engines ranked for its key, of which the first
// homeCount are its homes. The caller must end the search with End.
func NewCostSearch(c CostContext, req Request, group, session string, ranked []roster.Endpoint, homeCount int) *CostSearch {
	return &CostSearch{
		CostContext: c, req: req, group: group, session: xxhash.Sum64String(session), ranked: ranked,
		homes: ChooseHomes(session, ranked, homeCount), homeCount: homeCount, spare: homeCount < len(ranked),
	}
}

// End ends the search. granted says that the request goes to an engine.
func (s *CostSearch) End(granted bool, now time.Time) {
	// A search that ends because no owner replies says nothing about the load.
	if !s.req.OverLimit && (granted || s.held || s.refused) {
		s.Admission.record(s.group, s.req.Urgency, granted && !s.held, now)
	}
	if granted {
		s.Returns.granted(s.req.returnKey(s.group), now)
	}
	if s.held {
		s.Admission.release()
	}
}

// Next returns the next step.
func (s *CostSearch) Next(now time.Time) Step {
	if s.asked < len(s.homes) {
		s.asked++
		return s.ask(s.homes[s.asked-1], now)
	}
	if s.spare && s.sends == 0 && s.allHomesBusy() {
		s.spare = false
		step := s.ask(s.ranked[s.homeCount], now)
		step.AddHome = true
		return step
	}
	return s.choose(now)
}

// Offered implements Plan.
func (s *CostSearch) Offered(e roster.Endpoint, f Forecast, loadDelay time.Duration) {
	s.own, s.full, s.run = f.Own, max(f.Full, f.Own), f.Run
	s.offers = slices.DeleteFunc(s.offers, func(o Offer) bool { return o.Endpoint.Incarnation == e.Incarnation })
	s.offers = append(s.offers, Offer{e, f.First, f.First - f.Own, loadDelay, f.Displaced})
}

// Named implements Plan.
func (s *CostSearch) Named(spares []Spare, now time.Time) {
	s.Known.Record(s.group, spares, now)
	if s.loads == nil && len(spares) > 0 {
		s.loads = map[roster.Incarnation]time.Duration{}
	}
	for _, spare := range spares {
		s.loads[spare.Incarnation] = spare.Load
	}
}

// ask returns the step that asks for an immediate permit. A request that waits takes what it can use.
func (s *CostSearch) ask(e roster.Endpoint, now time.Time) Step {
	bounds := Bounds{First: s.req.ObjectiveShare(promptShare), Load: s.req.ObjectiveShare(immediateLoadShare)}
	if s.own > 0 {
		bounds.First = max(bounds.First, s.own+s.req.ObjectiveShare(promptShare/2))
	}
	bounds.Total = bounds.First
	if s.held {
		bounds.First, bounds.Total = s.own+s.lateQueue(now), 0
	}
	return Step{Action: Ask, Endpoint: e, Bounds: bounds, WaitUntil: s.req.WaitDeadline}
}

// allHomesBusy reports whether all homes hold the adapter and have long queues, so that another home would help.
func (s *CostSearch) allHomesBusy() bool {
	return len(s.offers) >= DefaultHomeCount && !slices.ContainsFunc(s.offers, func(o Offer) bool {
		return o.LoadDelay > 0 || o.Queue <= s.req.ObjectiveShare(immediateWaitShare)
	})
}

// price returns the wait at an engine, with penalties for the less urgent requests that wait longer and for other
// failure domains.
func (s *CostSearch) price(o Offer) time.Duration {
	price := o.wait() + time.Duration(displacedWeight*float64(o.Displaced))
	if o.Endpoint.FailureDomain != s.FailureDomain {
		price += s.req.ObjectiveShare(otherDomainShare)
	}
	return price
}

func (s *CostSearch) comparePrice(a, b Offer) int { return cmp.Compare(s.price(a), s.price(b)) }

// choose returns the step that sends the request to the engine with the shortest wait, asks other engines, lets the
// request wait, or refuses it.
func (s *CostSearch) choose(now time.Time) Step {
	if len(s.offers) == 0 {
		return Step{Action: Unreachable}
	}
	best, inTime := s.best(now)
	if s.others < s.maxOthers() && s.sends == 0 {
		if e, ok := s.other(best, inTime, now); ok {
			s.others++
			s.Known.lengthen(s.group, e.Incarnation, s.full)
			return s.ask(e, now)
		}
	}
	if s.sends < maxSends && (inTime || s.admitsLate(best, now)) {
		s.sends++
		return Step{Action: Send, Endpoint: best.Endpoint, Bounds: s.sendBounds(best, inTime, now), WaitUntil: s.waitUntil()}
	}
	if s.mayHold(best, now) {
		return s.hold(best, now)
	}
	s.refused = true
	return Step{Action: Refuse, RetryAfter: s.retryAfter(best, now)}
}

// best returns the offer with the lowest price, of those that are in time if there are any: a request is not refused for
// the price of the only engine that can take it. It reports whether that offer is in time.
func (s *CostSearch) best(now time.Time) (Offer, bool) {
	best, inTime := s.offers[0], s.inTime(s.offers[0], now)
	for _, o := range s.offers[1:] {
		ok := s.inTime(o, now)
		if ok && !inTime || ok == inTime && s.price(o) < s.price(best) {
			best, inTime = o, ok
		}
	}
	return best, inTime
}

// sendBounds returns the bounds with which a request goes to the engine. The engine may have become busier since the
// offer, but not so much that the request would no longer be in time.
func (s *CostSearch) sendBounds(o Offer, inTime bool, now time.Time) Bounds {
	margin := s.req.ObjectiveShare(immediateWaitShare)
	b := Bounds{First: o.Estimate + margin, Load: o.LoadDelay + margin}
	if inTime {
		b.First = min(b.First, s.req.ObjectiveShare(s.inTimeShare(now))-now.Sub(s.req.Arrived)-o.LoadDelay)
	}
	return b
}

// maxOthers returns the number of engines beyond its homes that the request asks.
func (s *CostSearch) maxOthers() int {
	if s.held {
		return askAgain
	}
	return maxOthers
}

// other returns the best engine that has not been asked, if the request should be sooner there than at the best one
// that has. A request that is in time goes elsewhere only if that is much sooner: loads of adapters are limited.
func (s *CostSearch) other(best Offer, inTime bool, now time.Time) (roster.Endpoint, bool) {
	var found roster.Endpoint
	least := s.price(best)
	if inTime {
		least -= s.req.ObjectiveShare(otherDomainShare)
	}
	ok := false
	queues := s.Known.queues(s.group, now)
	for _, e := range s.ranked {
		queue, known := queues[e.Incarnation]
		if !known || s.hasAsked(e) {
			continue
		}
		load, named := s.loads[e.Incarnation]
		if !named {
			load = assumedLoad
		}
		if inTime && load > 0 {
			continue
		}
		o := Offer{Endpoint: e, Estimate: queue + s.full, Queue: queue, LoadDelay: load}
		price := s.price(o)
		if price < least || !inTime && !ok && s.inTime(o, now) {
			found, least, ok = e, price, true
		}
	}
	if !ok && !inTime && !s.held && len(s.loads) == 0 {
		return s.anyOther()
	}
	return found, ok
}

// anyOther returns an engine that has not been asked, for a request that no owner has named another engine to.
func (s *CostSearch) anyOther() (roster.Endpoint, bool) {
	for i := range s.ranked {
		e := s.ranked[(s.session+uint64(s.others*7+i))%uint64(len(s.ranked))]
		if !s.hasAsked(e) {
			return e, true
		}
	}
	return roster.Endpoint{}, false
}

func (s *CostSearch) hasAsked(e roster.Endpoint) bool {
	return slices.ContainsFunc(s.offers, func(o Offer) bool { return o.Endpoint.Incarnation == e.Incarnation })
}

// inTime reports whether the first token is expected in time at the engine.
func (s *CostSearch) inTime(o Offer, now time.Time) bool {
	return now.Sub(s.req.Arrived)+o.Estimate+o.LoadDelay <= s.req.ObjectiveShare(s.inTimeShare(now))
}

// admitsLate reports whether a request that will be late at the engine is served without making others late.
func (s *CostSearch) admitsLate(o Offer, now time.Time) bool {
	if o.Queue > s.lateQueue(now) || o.LoadDelay > s.req.ObjectiveShare(immediateLoadShare) {
		return false
	}
	return now.Add(o.Estimate + o.LoadDelay).Before(s.waitUntil())
}

// yieldShare returns the part of its waits that a request keeps while more urgent ones are not served at once.
func (s *CostSearch) yieldShare(now time.Time) float64 {
	return max(1-s.Admission.pressure(s.group, s.req.Urgency, now), minYieldShare)
}

// inTimeShare returns the multiple of the objective within which the first token must be expected.
func (s *CostSearch) inTimeShare(now time.Time) float64 {
	share := inTimeShare
	switch {
	case s.req.OverLimit:
		share = overLimitInTimeShare
	case s.req.Urgency > 0:
		share = lessUrgentInTimeShare
	}
	if s.req.Returned && !s.req.OverLimit {
		share += returnedShare
	}
	return share * s.yieldShare(now)
}

// lateQueue returns the longest queue that a request joins that will be late.
func (s *CostSearch) lateQueue(now time.Time) time.Duration {
	if !s.first() {
		return s.req.ObjectiveShare(immediateWaitShare * s.yieldShare(now))
	}
	limit := max(s.req.Deadline.Sub(s.req.Arrived), 1)
	waited := min(float64(now.Sub(s.req.Arrived))/float64(limit), 1)
	return s.req.ObjectiveShare(lateQueueShare + (maxLateQueueShare-lateQueueShare)*waited)
}

// first reports whether the request is of the highest rank and its account within its limit.
func (s *CostSearch) first() bool { return s.req.Urgency == 0 && !s.req.OverLimit }

// waitUntil returns when the first token must be there at the latest. Requests of the highest rank use their time
// limit, less the time for the rest of the response.
func (s *CostSearch) waitUntil() time.Time {
	if !s.first() {
		return s.req.WaitDeadline
	}
	return s.req.Deadline.Add(-s.run)
}

// mayHold reports whether the request may wait for an engine to become less busy, and counts it if it does.
func (s *CostSearch) mayHold(best Offer, now time.Time) bool {
	if !s.first() || now.Add(s.own+best.LoadDelay+minHold).After(s.waitUntil()) {
		return false
	}
	s.held = s.held || s.Admission.hold()
	return s.held
}

// hold returns the step that lets the request wait. It then asks the engines that were the least busy.
func (s *CostSearch) hold(best Offer, now time.Time) Step {
	slices.SortStableFunc(s.offers, s.comparePrice)
	s.homes = nil
	for _, o := range s.offers[:min(askAgain, len(s.offers))] {
		s.homes = append(s.homes, o.Endpoint)
	}
	s.offers, s.loads, s.asked, s.others, s.sends, s.spare = nil, nil, 0, 0, 0, false
	return Step{Action: Wait, For: min(max(best.Queue-s.lateQueue(now), minHold), maxHold)}
}

// retryAfter returns the time after which a refused caller should come back: when the engine is expected to take the
// request in time, and after callers of the same rank that were refused before.
func (s *CostSearch) retryAfter(best Offer, now time.Time) time.Duration {
	wait := max(best.wait()-s.req.ObjectiveShare(s.inTimeShare(now)/2), MinRetryAfter)
	return s.Returns.schedule(s.req.returnKey(s.group), s.req.Caller, now.Add(wait), now).Sub(now)
}

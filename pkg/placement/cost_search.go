package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// maxSends is the number of times that a request tries to go to an engine that has become busier since its
	// offer.
	maxSends = 2
	// inTimeShare is the multiple of the objective by which the first token must be expected for a request to count
	// as in time; less for less urgent requests, because they are overtaken, and for accounts over their limit.
	inTimeShare           = 1.0
	lessUrgentInTimeShare = 0.95
	overLimitInTimeShare  = 0.6
	// minYieldShare is what remains of these shares when hardly any more urgent request is served at once.
	minYieldShare = 0.25
	// A request that will be late goes to an engine whose queue takes at most this share of the objective, which
	// leaves room for others to be in time. The share grows from the first to the second value while the request
	// waits, so that those that have waited longest go first.
	lateQueueShare    = 0.25
	maxLateQueueShare = 0.5
	// minHold and maxHold bound the time until a waiting request asks again.
	minHold = 100 * time.Millisecond
	maxHold = time.Second
	// askAgain is the number of engines that a waiting request asks each time.
	askAgain = 2
)

// CostSearch is the search of one request by expected cost. It is not safe for concurrent use.
type CostSearch struct {
	req       Request
	group     string
	admission *Admission
	// homes are the engines to ask, one after the other. spare is asked if they are all busy; nil if there is
	// none.
	homes []roster.Endpoint
	spare *roster.Endpoint
	asked int
	// offers are the engines where the request would have to wait.
	offers []Offer
	// sending is the engine that the request is about to go to; sends counts these.
	sending Offer
	sends   int
	// run is the last expected time from the first token to the end of the response.
	run  time.Duration
	held bool
}

// NewCostSearch returns the search of a request of a group among the engines ranked for its key, of which the first
// homeCount are its homes. The caller must end the search with End.
func NewCostSearch(req Request, group, session string, ranked []roster.Endpoint, homeCount int, a *Admission) *CostSearch {
	s := &CostSearch{req: req, group: group, admission: a, homes: ChooseHomes(session, ranked, homeCount)}
	if homeCount < len(ranked) {
		s.spare = &ranked[homeCount]
	}
	return s
}

// End ends the search. granted says that the request goes to an engine.
func (s *CostSearch) End(granted bool, now time.Time) {
	if !s.req.OverLimit {
		s.admission.record(s.group, s.req.Urgency, granted && !s.held, now)
	}
	if s.held {
		s.admission.release()
	}
}

// Next returns the next step.
func (s *CostSearch) Next(now time.Time) Step {
	if s.asked < len(s.homes) {
		s.asked++
		return s.ask(s.homes[s.asked-1], now)
	}
	if s.spare != nil && s.sends == 0 && s.allHomesBusy() {
		step := s.ask(*s.spare, now)
		s.spare, step.AddHome = nil, true
		return step
	}
	return s.choose(now)
}

// Offered records that the request would have to wait at an engine.
func (s *CostSearch) Offered(e roster.Endpoint, f Forecast, loadDelay time.Duration) {
	s.run = f.Run
	s.offers = slices.DeleteFunc(s.offers, func(o Offer) bool { return o.Endpoint.Incarnation == e.Incarnation })
	s.offers = append(s.offers, Offer{e, f.First, f.First - f.Own, loadDelay})
}

// ask returns the step that asks for an immediate permit. A request that waits takes what it can use.
func (s *CostSearch) ask(e roster.Endpoint, now time.Time) Step {
	bounds := Bounds{s.req.ObjectiveShare(immediateWaitShare), s.req.ObjectiveShare(immediateLoadShare)}
	if s.held {
		bounds.First = s.sending.Estimate - s.sending.Queue + s.lateQueue(now)
	}
	return Step{Action: Ask, Endpoint: e, Bounds: bounds, WaitUntil: s.req.WaitDeadline}
}

// allHomesBusy reports whether all homes hold the adapter and have long queues, so that another home would help.
func (s *CostSearch) allHomesBusy() bool {
	return len(s.offers) >= DefaultHomeCount && !slices.ContainsFunc(s.offers, func(o Offer) bool {
		return o.LoadDelay > 0 || o.Queue <= s.req.ObjectiveShare(immediateWaitShare)
	})
}

// choose returns the step that sends the request to the engine with the shortest wait, lets it wait for one, or
// refuses it.
func (s *CostSearch) choose(now time.Time) Step {
	if len(s.offers) == 0 {
		return Step{Action: Unreachable}
	}
	best := slices.MinFunc(s.offers, func(a, b Offer) int { return cmp.Compare(a.wait(), b.wait()) })
	if s.sends < maxSends && s.admits(best, now) {
		s.sends++
		// The state of the engine may have changed a little since the offer.
		margin := s.req.ObjectiveShare(immediateWaitShare)
		return Step{Action: Send, Endpoint: best.Endpoint, Bounds: Bounds{best.Estimate + margin, best.LoadDelay + margin}, WaitUntil: s.waitUntil(best)}
	}
	if s.mayHold(best, now) {
		return s.hold(best, now)
	}
	return Step{Action: Refuse, RetryAfter: s.retryAfter(best)}
}

// admits reports whether a request that goes to the engine is served in time, or late without making others late.
func (s *CostSearch) admits(o Offer, now time.Time) bool {
	finish := now.Sub(s.req.Arrived) + o.Estimate + o.LoadDelay
	if finish <= s.req.ObjectiveShare(s.inTimeShare(now)) {
		return true
	}
	if o.Queue > s.lateQueue(now) || o.LoadDelay > s.req.ObjectiveShare(immediateLoadShare) {
		return false
	}
	return now.Add(o.Estimate + o.LoadDelay).Before(s.waitUntil(o))
}

// inTimeShare returns the multiple of the objective within which the first token must be expected. It shrinks for a
// request while more urgent ones are not served at once.
func (s *CostSearch) inTimeShare(now time.Time) float64 {
	share := inTimeShare
	switch {
	case s.req.OverLimit:
		share = overLimitInTimeShare
	case s.req.Urgency > 0:
		share = lessUrgentInTimeShare
	}
	return share * max(1-s.admission.pressure(s.group, s.req.Urgency, now), minYieldShare)
}

// lateQueue returns the longest queue that a request joins that will be late.
func (s *CostSearch) lateQueue(now time.Time) time.Duration {
	if !s.first() {
		return s.req.ObjectiveShare(immediateWaitShare * max(1-s.admission.pressure(s.group, s.req.Urgency, now), minYieldShare))
	}
	limit := max(s.req.Deadline.Sub(s.req.Arrived), 1)
	waited := min(float64(now.Sub(s.req.Arrived))/float64(limit), 1)
	return s.req.ObjectiveShare(lateQueueShare + (maxLateQueueShare-lateQueueShare)*waited)
}

// first reports whether the request is of the highest rank and its account within its limit.
func (s *CostSearch) first() bool { return s.req.Urgency == 0 && !s.req.OverLimit }

// waitUntil returns when the first token must be there at the latest. Requests of the highest rank use their time
// limit, less the time for the rest of the response.
func (s *CostSearch) waitUntil(o Offer) time.Time {
	if !s.first() {
		return s.req.WaitDeadline
	}
	return s.req.Deadline.Add(-s.run)
}

// mayHold reports whether the request may wait for an engine to become less busy, and counts it if it does.
func (s *CostSearch) mayHold(best Offer, now time.Time) bool {
	own := best.Estimate - best.Queue + best.LoadDelay
	if !s.first() || now.Add(own+minHold).After(s.waitUntil(best)) {
		return false
	}
	s.held = s.held || s.admission.hold()
	return s.held
}

// hold returns the step that lets the request wait. It then asks the engines that were the least busy.
func (s *CostSearch) hold(best Offer, now time.Time) Step {
	s.sending = best
	slices.SortStableFunc(s.offers, func(a, b Offer) int { return cmp.Compare(a.wait(), b.wait()) })
	s.homes = s.homes[:0:0]
	for _, o := range s.offers[:min(askAgain, len(s.offers))] {
		s.homes = append(s.homes, o.Endpoint)
	}
	s.offers, s.asked, s.sends, s.spare = nil, 0, 0, nil
	excess := best.Queue - s.lateQueue(now)
	return Step{Action: Wait, For: min(max(excess, minHold), maxHold)}
}

// retryAfter returns the time after which a refused caller should come back: when the queue of the engine is expected
// to be short enough.
func (s *CostSearch) retryAfter(best Offer) time.Duration {
	return max(best.wait()-s.req.ObjectiveShare(inTimeShare/2), MinRetryAfter)
}

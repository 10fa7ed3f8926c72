package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

// Action is what the caller of Search.Next has to do.
type Action int

const (
	// Ask means to ask the owner of the engine for a permit within the bounds, and to record the reply with
	// Offered if it is an offer.
	Ask Action = iota
	// Send means to ask for a permit at the chosen engine, with bounds that only a changed state exceeds.
	Send
	// Wait means to wait for a while before the next step.
	Wait
	// Refuse means that the request would have to wait too long at every engine.
	Refuse
	// Unreachable means that no owner has replied.
	Unreachable
)

// Step is the next step of a search.
type Step struct {
	Action   Action
	Endpoint roster.Endpoint
	Bounds   Bounds
	// WaitUntil is until when the request may wait for its adapter there.
	WaitUntil time.Time
	// For is how long to wait.
	For time.Duration
	// AddHome says that the key of the request needs a further home.
	AddHome bool
	// Prefetch, if not nil, is an engine that should load the adapter for later requests.
	Prefetch *roster.Endpoint
	// RetryAfter is the time after which a refused caller should come back.
	RetryAfter time.Duration
}

// Plan is a search of one request for an engine. It is not safe for concurrent use.
type Plan interface {
	// Next returns the next step.
	Next(now time.Time) Step
	// Offered records that the request would have to wait at an engine. loadDelay is the expected wait for the adapter.
	Offered(e roster.Endpoint, f Forecast, loadDelay time.Duration)
	// Named records engines that an owner has named as its least loaded ones.
	Named(spares []Spare, now time.Time)
	// End ends the search. granted says that the request goes to an engine.
	End(granted bool, now time.Time)
}

// Search is the search of one request for an engine among its homes. It is not safe for concurrent use.
type Search struct {
	req Request
	// homes are the engines to ask, one after the other. spare is asked if they are all busy; nil if there is
	// none.
	homes []roster.Endpoint
	spare *roster.Endpoint
	asked int
	// offers are the homes where the request would have to wait.
	offers []Offer
	sent   bool
}

// NewSearch returns the search of a request among the engines ranked for its key, of which the first homeCount are
// its homes. Requests of one session ask the same homes.
func NewSearch(req Request, session string, ranked []roster.Endpoint, homeCount int) *Search {
	s := &Search{req: req, homes: ChooseHomes(session, ranked, homeCount)}
	if homeCount < len(ranked) {
		s.spare = &ranked[homeCount]
	}
	return s
}

// Next returns the next step.
func (s *Search) Next(now time.Time) Step {
	if s.asked < len(s.homes) {
		s.asked++
		return s.ask(s.homes[s.asked-1])
	}
	if s.spare != nil && !s.sent && s.allHomesBusy() {
		step := s.ask(*s.spare)
		s.spare, step.AddHome = nil, true
		return step
	}
	return s.chooseOffer(now)
}

// Offered implements Plan.
func (s *Search) Offered(e roster.Endpoint, f Forecast, loadDelay time.Duration) {
	if !s.sent {
		s.offers = append(s.offers, Offer{Endpoint: e, Estimate: f.First, Queue: f.First - f.Own, LoadDelay: loadDelay})
	}
}

// Named implements Plan.
func (s *Search) Named([]Spare, time.Time) {}

// End implements Plan.
func (s *Search) End(bool, time.Time) {}

// ask returns the step that asks for an immediate permit at a home.
func (s *Search) ask(e roster.Endpoint) Step {
	bounds := Bounds{First: s.req.ObjectiveShare(immediateWaitShare), Load: s.req.ObjectiveShare(immediateLoadShare)}
	return Step{Action: Ask, Endpoint: e, Bounds: bounds, WaitUntil: s.req.WaitDeadline}
}

// allHomesBusy reports whether all homes hold the adapter and have long queues, so that another home would
// help.
func (s *Search) allHomesBusy() bool {
	return len(s.offers) >= DefaultHomeCount && !slices.ContainsFunc(s.offers, func(o Offer) bool {
		return o.LoadDelay > 0 || o.Queue <= s.req.ObjectiveShare(immediateWaitShare)
	})
}

// chooseOffer returns the step that sends the request to the home with the shortest wait, or refuses it if that wait
// is too long.
func (s *Search) chooseOffer(now time.Time) Step {
	if len(s.offers) == 0 {
		return Step{Action: Unreachable}
	}
	best := slices.MinFunc(s.offers, func(a, b Offer) int { return cmp.Compare(a.wait(), b.wait()) })
	tooLate := best.Estimate+best.LoadDelay > s.req.maxWait()-now.Sub(s.req.Arrived) && !s.req.lateByOwnWork(best, now)
	if s.sent || tooLate {
		return Step{Action: Refuse, RetryAfter: max(best.wait()-s.req.maxWait()/2, MinRetryAfter)}
	}
	s.sent = true
	// The state of the home may have changed a little since the offer.
	margin := s.req.ObjectiveShare(immediateWaitShare)
	bounds := Bounds{First: best.Estimate + margin, Load: best.LoadDelay + margin}
	return Step{Action: Send, Endpoint: best.Endpoint, Bounds: bounds, WaitUntil: s.req.WaitDeadline, Prefetch: s.prefetch(best)}
}

// prefetch returns a home that does not hold the adapter and is much less busy than the chosen one, so that later
// requests should find the adapter there; nil if there is none.
func (s *Search) prefetch(best Offer) *roster.Endpoint {
	if best.LoadDelay > 0 {
		return nil
	}
	for i, o := range s.offers {
		if o.LoadDelay > 0 && o.Estimate < best.Estimate/2 {
			return &s.offers[i].Endpoint
		}
	}
	return nil
}

package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// engineHalfLife is the time in which measurements of one engine lose half of their weight. Engines have slow
	// periods of about half a second, and a slow engine must be tried again after a few seconds.
	engineHalfLife = time.Second
	// groupHalfLife is the same for the mean of a group.
	groupHalfLife = 30 * time.Second
	// The assumed values count as much as first events after priorFirst in all, priorEvents events or priorRuns requests.
	priorFirst  = 150 * time.Millisecond
	priorEvents = 60
	priorRuns   = 4
	// initialEventTime is the time between two events of a stream, and initialRunTime the time from the first event
	// to the last, that are assumed before any have been measured.
	initialEventTime = 20 * time.Millisecond
	initialRunTime   = 500 * time.Millisecond
	// maxSpeedRatio bounds how much slower or faster than its group an engine is assumed to be.
	maxSpeedRatio = 8
)

// rate is a quotient of two sums of measurements that lose weight over time.
type rate struct {
	time, amount float64
	at           time.Time
}

// add adds a measurement: something of that amount has taken that long.
func (r *rate) add(d time.Duration, amount float64, halfLife time.Duration, now time.Time) {
	r.decay(halfLife, now)
	r.time += float64(d)
	r.amount += amount
}

func (r *rate) decay(halfLife time.Duration, now time.Time) {
	if age := now.Sub(r.at); age > 0 {
		factor := math.Exp2(-float64(age) / float64(halfLife))
		r.time *= factor
		r.amount *= factor
		r.at = now
	}
}

// value returns the time per unit. assumed counts as a measurement of the amount prior.
func (r rate) value(assumed time.Duration, prior float64, halfLife time.Duration, now time.Time) time.Duration {
	r.decay(halfLife, now)
	return time.Duration((r.time + float64(assumed)*prior) / (r.amount + prior))
}

// Speed is how fast an engine works.
type Speed struct {
	// Start is the time to the first event of a response to an empty prompt, and Token the processing time per prompt
	// token.
	Start, Token time.Duration
	// Event is the time between two events of a response, and Run the time from the first event to the last.
	Event, Run time.Duration
}

// first returns the expected time to the first event of a response after that many prompt tokens.
func (s Speed) first(tokens int) time.Duration { return s.Start + time.Duration(tokens)*s.Token }

// rates are the measurements from which Event and Run of a Speed are computed.
type rates struct{ event, run rate }

func (r *rates) apply(s *Speed, halfLife time.Duration, now time.Time) {
	s.Event = r.event.value(s.Event, priorEvents, halfLife, now)
	s.Run = r.run.value(s.Run, priorRuns, halfLife, now)
}

// GroupSpeed is the mean speed of the engines of a group, learned from their responses. It is safe for concurrent use.
type GroupSpeed struct {
	mu sync.Mutex
	// The fields below are guarded by mu.

	rates rates
	// first fits the time to the first event to the number of prompt tokens.
	first linearFit
}

// NewGroupSpeed returns the speed of a group without measurements.
func NewGroupSpeed() *GroupSpeed { return &GroupSpeed{} }

// Mean returns the mean speed.
func (g *GroupSpeed) Mean(now time.Time) Speed {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mean(now)
}

// mean returns the mean speed. g.mu is held.
func (g *GroupSpeed) mean(now time.Time) Speed {
	s := Speed{Event: initialEventTime, Run: initialRunTime}
	g.rates.apply(&s, groupHalfLife, now)
	s.Start, s.Token = g.first.fit(s.Event, now)
	return s
}

// addFirst adds the time to the first event of a response after that many prompt tokens.
func (g *GroupSpeed) addFirst(after time.Duration, tokens int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.first.add(float64(tokens), float64(min(after, maxOutlier*g.mean(now).first(tokens))), now)
}

func (g *GroupSpeed) addRun(d time.Duration, events int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rates.run.add(d, 1, groupHalfLife, now)
	if events > 1 {
		g.rates.event.add(d, float64(events-1), groupHalfLife, now)
	}
}

// engineSpeed is the speed of one engine. Without recent measurements of the engine it is that of its group.
type engineSpeed struct {
	group  *GroupSpeed
	rates  rates
	firsts firstEvents
}

// firstEvents are sums over the first events of an engine's responses that lose weight with engineHalfLife: the time that
// they took, their number, and the prompt tokens before them.
type firstEvents struct {
	time, count, tokens float64
	at                  time.Time
}

func (f *firstEvents) add(after time.Duration, tokens int, now time.Time) {
	f.decay(now)
	f.time += float64(after)
	f.count++
	f.tokens += float64(tokens)
}

func (f *firstEvents) decay(now time.Time) {
	if age := now.Sub(f.at); age > 0 {
		factor := math.Exp2(-float64(age) / float64(engineHalfLife))
		f.time *= factor
		f.count *= factor
		f.tokens *= factor
		f.at = now
	}
}

// slowness returns the time that first events took as a multiple of what the mean speed lets expect.
func (f firstEvents) slowness(mean Speed, now time.Time) float64 {
	f.decay(now)
	expected := f.count*float64(mean.Start) + f.tokens*float64(mean.Token)
	return (f.time + float64(priorFirst)) / (expected + float64(priorFirst))
}

// at returns the speed at now.
func (e *engineSpeed) at(now time.Time) Speed {
	mean := e.group.Mean(now)
	s := mean
	e.rates.apply(&s, engineHalfLife, now)
	s.Event = boundRatio(s.Event, mean.Event)
	ratio := e.firsts.slowness(mean, now)
	s.Start = boundRatio(time.Duration(ratio*float64(mean.Start)), mean.Start)
	s.Token = boundRatio(time.Duration(ratio*float64(mean.Token)), mean.Token)
	return s
}

func boundRatio(d, mean time.Duration) time.Duration {
	return min(max(d, mean/maxSpeedRatio), mean*maxSpeedRatio)
}

// firstEvent records that the first event of a response has arrived that long after the request was sent, when the
// engine had to process that many prompt tokens up to it.
func (e *engineSpeed) firstEvent(after time.Duration, tokens int, now time.Time) {
	after = max(after, 0)
	e.group.addFirst(after, tokens, now)
	e.firsts.add(after, tokens, now)
}

// ended records that a response has ended that long after its first event.
func (e *engineSpeed) ended(ran time.Duration, events int, now time.Time) {
	if ran <= 0 {
		return
	}
	e.rates.run.add(ran, 1, engineHalfLife, now)
	if events > 1 {
		e.rates.event.add(ran, float64(events-1), engineHalfLife, now)
	}
	e.group.addRun(ran, events, now)
}

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
	// The assumed values count as much as measurements of priorTokens prompt tokens, priorEvents events or
	// priorRuns requests.
	priorTokens = 3000
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
	// Token is the processing time per prompt token, Event the time between two events of a response, and Run the
	// time from the first event of a response to the last.
	Token, Event, Run time.Duration
}

// rates are the measurements from which a Speed is computed.
type rates struct{ token, event, run rate }

func (r *rates) speed(assumed Speed, halfLife time.Duration, now time.Time) Speed {
	return Speed{
		Token: r.token.value(assumed.Token, priorTokens, halfLife, now),
		Event: r.event.value(assumed.Event, priorEvents, halfLife, now),
		Run:   r.run.value(assumed.Run, priorRuns, halfLife, now),
	}
}

// GroupSpeed is the mean speed of the engines of a group, learned from their responses. It is safe for concurrent use.
type GroupSpeed struct {
	mu    sync.Mutex
	rates rates // guarded by mu
}

// NewGroupSpeed returns the speed of a group without measurements.
func NewGroupSpeed() *GroupSpeed { return &GroupSpeed{} }

// Mean returns the mean speed.
func (g *GroupSpeed) Mean(now time.Time) Speed {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rates.speed(Speed{Token: initialTokenTime, Event: initialEventTime, Run: initialRunTime}, groupHalfLife, now)
}

func (g *GroupSpeed) addToken(d time.Duration, tokens float64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rates.token.add(d, tokens, groupHalfLife, now)
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
	group *GroupSpeed
	rates rates
}

// at returns the speed at now.
func (e *engineSpeed) at(now time.Time) Speed {
	mean := e.group.Mean(now)
	s := e.rates.speed(mean, engineHalfLife, now)
	s.Token = boundRatio(s.Token, mean.Token)
	s.Event = boundRatio(s.Event, mean.Event)
	return s
}

func boundRatio(d, mean time.Duration) time.Duration {
	return min(max(d, mean/maxSpeedRatio), mean*maxSpeedRatio)
}

// firstEvent records that the first event of a response has arrived that long after the request was sent, when the
// engine had to process that many prompt tokens up to it.
func (e *engineSpeed) firstEvent(after time.Duration, tokens int, now time.Time) {
	if tokens <= 0 {
		return
	}
	reading := max(after-e.at(now).Event, 0)
	e.rates.token.add(reading, float64(tokens), engineHalfLife, now)
	e.group.addToken(reading, float64(tokens), now)
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

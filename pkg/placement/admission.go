package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// pressureHalfLife is the time in which the share of requests not served at once halves without new outcomes.
	pressureHalfLife = time.Second
	// pressureWeight is the weight of one outcome in that share. A VM places a few requests of a rank a second.
	pressureWeight = 0.1
	// maxHeld bounds the requests of one VM that wait for an engine to become less busy. Each holds its body and its
	// connection, and asks owners again while it waits.
	maxHeld = 32
)

// Admission tracks for each group of engines how many requests of each rank could not be served at once, so that less
// urgent requests yield to more urgent ones. It is safe for concurrent use.
type Admission struct {
	mu     sync.Mutex
	groups map[string]*groupPressure // guarded by mu
	held   int                       // guarded by mu
}

// groupPressure is the decayed share of the requests of each rank that had to wait or were refused.
type groupPressure struct {
	share [ranks]float64
	at    [ranks]time.Time
}

// NewAdmission returns an Admission that has seen no requests.
func NewAdmission() *Admission { return &Admission{groups: map[string]*groupPressure{}} }

// record adds the outcome of a request: whether it could be served at once.
func (a *Admission) record(group string, urgency int, atOnce bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.groups[group]
	if p == nil {
		p = &groupPressure{}
		a.groups[group] = p
	}
	outcome := 1.0
	if atOnce {
		outcome = 0
	}
	rank := Work{Urgency: urgency}.rank()
	share := p.shareAt(rank, now)
	p.share[rank] = share + pressureWeight*(outcome-share)
	p.at[rank] = now
}

// shareAt returns the share of a rank, decayed to now.
func (p *groupPressure) shareAt(rank int, now time.Time) float64 {
	if p.share[rank] == 0 {
		return 0
	}
	return p.share[rank] * math.Exp2(-now.Sub(p.at[rank]).Seconds()/pressureHalfLife.Seconds())
}

// pressure returns the greatest share among the ranks that are more urgent, from 0 to 1.
func (a *Admission) pressure(group string, urgency int, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.groups[group]
	if p == nil {
		return 0
	}
	most := 0.0
	for rank := range (Work{Urgency: urgency}).rank() {
		most = max(most, p.shareAt(rank, now))
	}
	return most
}

// hold counts a request that waits for an engine to become less busy. It reports false if too many do already.
func (a *Admission) hold() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held >= maxHeld {
		return false
	}
	a.held++
	return true
}

// release ends the wait of a request for which hold has returned true.
func (a *Admission) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held--
}

// Held returns the number of requests that wait for an engine to become less busy.
func (a *Admission) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(a.held)
}

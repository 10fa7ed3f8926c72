package placement

import (
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

const (
	// serviceHalfLife is the time in which a measurement of a service loses half of its weight. One VM sends a service
	// a request every few seconds.
	serviceHalfLife = 3 * time.Second
	// serviceGroupHalfLife is the same for the mean of a group. priorServed is the number of measurements that the mean
	// counts as.
	serviceGroupHalfLife = 30 * time.Second
	priorServed          = 1
	// fullHalfLife is the time in which the queue of a service that has refused a request as full is assumed to halve.
	fullHalfLife = 250 * time.Millisecond
	// fullQueue is that queue, as a multiple of the service's slots: services queue four requests for each slot.
	fullQueue = 4
	// finishTolerance is the share by which expected times may differ to count as equal. It keeps the VMs from all
	// choosing the service that happened to be the fastest one last.
	finishTolerance = 0.1
)

// Services learns the speed of plain services from their responses. It is safe for concurrent use.
type Services struct {
	mu     sync.Mutex
	groups map[string]*rate                     // guarded by mu
	speeds map[roster.Incarnation]*serviceSpeed // guarded by mu
}

type serviceSpeed struct {
	served rate
	fullAt time.Time
}

// NewServices returns a table without measurements.
func NewServices() *Services {
	return &Services{groups: map[string]*rate{}, speeds: map[roster.Incarnation]*serviceSpeed{}}
}

// Served records that a service has answered that long after the request was sent.
func (s *Services) Served(e roster.Endpoint, after time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speed(e).served.add(after, 1, serviceHalfLife, now)
	if s.groups[e.Group] == nil {
		s.groups[e.Group] = &rate{}
	}
	s.groups[e.Group].add(after, 1, serviceGroupHalfLife, now)
}

// Full records that a service has refused a request.
func (s *Services) Full(e roster.Endpoint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speed(e).fullAt = now
}

// speed returns the speed of a service, which it creates if necessary. s.mu must be held.
func (s *Services) speed(e roster.Endpoint) *serviceSpeed {
	speed := s.speeds[e.Incarnation]
	if speed == nil {
		speed = &serviceSpeed{}
		s.speeds[e.Incarnation] = speed
	}
	return speed
}

// finish returns the expected time until a service has answered one more request of this VM, which has that many
// there. s.mu must be held.
func (s *Services) finish(e roster.Endpoint, outstanding int, now time.Time) time.Duration {
	mean := time.Duration(initialLatency)
	if group := s.groups[e.Group]; group != nil {
		mean = group.value(initialLatency, priorServed, serviceGroupHalfLife, now)
	}
	speed := s.speeds[e.Incarnation]
	if speed == nil {
		speed = &serviceSpeed{}
	}
	// The VM's own requests stand for those of all VMs. Counting only those beyond the slots left services with a queue
	// in use: 86 instead of 95 % in time in the queue model with slow periods.
	waiting := float64(outstanding)
	if !speed.fullAt.IsZero() {
		full := rate{amount: fullQueue, at: speed.fullAt}
		full.decay(fullHalfLife, now)
		waiting += full.amount
	}
	served := speed.served.value(mean, priorServed, serviceHalfLife, now)
	return time.Duration(float64(served) * (1 + waiting))
}

// Pick returns the candidate that is expected to answer soonest, and the expected time. A service in another failure
// domain than the given one must be sooner by a quarter of the objective. outstanding returns the number of this VM's
// requests at a service. Ties are broken at random; random returns a number below n.
func (s *Services) Pick(candidates []roster.Endpoint, outstanding func(roster.Endpoint) int, domain string, objective time.Duration, random func(n int) int, now time.Time) (roster.Endpoint, time.Duration) {
	if objective == 0 {
		objective = DefaultObjective
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	times := make([]time.Duration, len(candidates))
	least := time.Duration(-1)
	for i, e := range candidates {
		times[i] = s.finish(e, outstanding(e), now)
		if e.FailureDomain != domain {
			times[i] += time.Duration(otherDomainShare * float64(objective))
		}
		if least < 0 || times[i] < least {
			least = times[i]
		}
	}
	limit := time.Duration(float64(least) * (1 + finishTolerance))
	chosen, ties := 0, 0
	for i, t := range times {
		if t > limit {
			continue
		}
		if ties++; random(ties) == 0 {
			chosen = i
		}
	}
	return candidates[chosen], times[chosen]
}

// serviceRetention is how long the speed of a service that is not used is kept.
const serviceRetention = time.Minute

// Sweep discards the speeds of services that are no longer used.
func (s *Services) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, speed := range s.speeds {
		if now.Sub(speed.served.at) > serviceRetention && now.Sub(speed.fullAt) > serviceRetention {
			delete(s.speeds, id)
		}
	}
}

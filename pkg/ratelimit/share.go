package ratelimit

import (
	"time"
)

const (
	// shareOfLimit is the part of a limit that all VMs together may use while they cannot reach the home of the
	// endpoint, on top of what the home grants to others.
	shareOfLimit = 0.15
	// maxTurn bounds the time for which a VM may use its turn. Turns that are not used lapse: if they did not, all
	// VMs of a large fleet could send a request at the same moment.
	maxTurn = 2 * time.Second
)

// share is the part of an endpoint's limit that one VM may use without the home of the endpoint: one request in each
// turn. Turns recur after a period, one VM's after another's.
type share struct {
	period time.Duration
	// next is when the next turn begins.
	next time.Time
}

// take uses the turn of this VM, one of vms that together use a rate. If there is none now, it returns the time until the
// next one. A turn may be used for longest. phase returns when the first turn begins, as a part of the period from 0 to 1.
func (s *share) take(rate float64, longest time.Duration, vms int, phase func() float64, now time.Time) (granted bool, retryAfter time.Duration) {
	seconds := float64(vms) / rate
	if period := time.Duration(seconds * float64(time.Second)); period != s.period {
		s.period, s.next = period, now.Add(time.Duration(phase()*float64(period)))
	}
	turn := min(s.period, longest)
	if missed := now.Sub(s.next) - turn; missed > 0 {
		s.next = s.next.Add((missed/s.period + 1) * s.period)
	}
	if now.Before(s.next) {
		return false, min(s.next.Sub(now), maxRetryAfter)
	}
	s.next = s.next.Add(s.period)
	return true, 0
}

package dispatch

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

// earliestRoom returns when the first endpoint of a group that has asked for a pause, or has no room within its stated
// limit, accepts requests again; zero if there is none.
func (d *Dispatcher) earliestRoom(group []roster.Endpoint, now time.Time) time.Time {
	var first time.Time
	for _, e := range group {
		until := d.health.earliestPauseEnd([]roster.Endpoint{e}, now)
		if blocked := d.cfg.Limits.BlockedUntil(e.Incarnation, now); e.AcceptsRequests(now) && blocked.After(until) {
			until = blocked
		}
		if !until.IsZero() && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	return first
}

// returnInterval returns the time between two requests of this VM for which a group has room if its endpoints are at
// the limits that they state; 0 if none of them states a limit.
func (d *Dispatcher) returnInterval(group []roster.Endpoint, now time.Time) time.Duration {
	var ids []string
	for _, e := range group {
		if e.AcceptsRequests(now) {
			ids = append(ids, e.ID)
		}
	}
	return d.cfg.Limits.Interval(ids)
}

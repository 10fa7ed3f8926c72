package dispatch

import (
	"slices"
	"time"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

// earliestPauseEnd returns when the first of the paused endpoints of a group accepts requests again; zero if
// none is paused.
func (s *healthTracker) earliestPauseEnd(group []roster.Endpoint, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Time
	for _, e := range group {
		until := s.get(e.Incarnation).blockedUntil(now)
		if e.AcceptsRequests(now) && !until.IsZero() && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	return first
}

// candidates returns the endpoints that a request may go to: those that accept new requests, have not asked for
// a pause and have not failed this request already. Unhealthy endpoints are left out as long as there are
// others.
func (s *healthTracker) candidates(group []roster.Endpoint, exclude []string, now time.Time) []roster.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	available := make([]roster.Endpoint, 0, len(group))
	for _, e := range group {
		if e.AcceptsRequests(now) && !slices.Contains(exclude, e.ID) && s.get(e.Incarnation).blockedUntil(now).IsZero() {
			available = append(available, e)
		}
	}
	healthy := make([]roster.Endpoint, 0, len(available))
	for _, e := range available {
		if s.usable(e.Incarnation, now) {
			healthy = append(healthy, e)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return available
}

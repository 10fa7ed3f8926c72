package dispatch

import (
	"slices"
	"time"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

// pausedUntil returns when the first endpoint of a group that has asked for a pause takes requests again, zero if none has.
func (s *conditions) pausedUntil(group []roster.Endpoint, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Time
	for _, e := range group {
		until := s.get(e.Incarnation).paused(now)
		if !e.Draining && !until.IsZero() && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	return first
}

// candidates returns the endpoints that a request may go to: those that take new requests, have not asked for a pause and
// have not failed it already. Endpoints in a bad condition are left out as long as there are others.
func (s *conditions) candidates(group []roster.Endpoint, exclude []string, now time.Time) []roster.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]roster.Endpoint, 0, len(group))
	for _, e := range group {
		if !e.Draining && !slices.Contains(exclude, e.ID) && s.get(e.Incarnation).paused(now).IsZero() {
			open = append(open, e)
		}
	}
	fit := make([]roster.Endpoint, 0, len(open))
	for _, e := range open {
		if s.fit(e.Incarnation, now) {
			fit = append(fit, e)
		}
	}
	if len(fit) > 0 {
		return fit
	}
	return open
}

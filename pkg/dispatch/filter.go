package dispatch

import (
	"slices"
	"time"

	"github.com/mallowlink/mallowlink/pkg/roster"
)

// candidates returns the endpoints that a request may go to: those that take new requests and have not
// failed it already. Endpoints in a bad condition are left out as long as there are others.
func (s *conditions) candidates(group []roster.Endpoint, exclude []string, now time.Time) []roster.Endpoint {
	open := make([]roster.Endpoint, 0, len(group))
	for _, e := range group {
		if !e.Draining && !slices.Contains(exclude, e.ID) {
			open = append(open, e)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
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

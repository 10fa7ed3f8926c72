// Package dispatch chooses the endpoint of each request.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/gateway"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// Dispatcher implements gateway.Dispatcher.
type Dispatcher struct {
	roster *roster.Roster
	mu     sync.Mutex
	load   map[string]int
}

// New returns a dispatcher over the roster.
func New(r *roster.Roster) *Dispatcher {
	return &Dispatcher{roster: r, load: map[string]int{}}
}

// Place implements gateway.Dispatcher.
func (d *Dispatcher) Place(_ context.Context, w gateway.Work) (gateway.Place, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	best := -1
	list := d.roster.View().Group(w.Group.Name)
	for i, e := range list {
		if e.Draining || contains(w.Exclude, e.ID) {
			continue
		}
		if best < 0 || d.load[e.ID] < d.load[list[best].ID] {
			best = i
		}
	}
	if best < 0 {
		return gateway.Place{}, result.New(result.NoEndpoint, "no endpoint")
	}
	e := list[best]
	d.load[e.ID]++
	return gateway.Place{Endpoint: e, Started: func(time.Duration) {}, Done: func(gateway.Outcome) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.load[e.ID]--
	}}, nil
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

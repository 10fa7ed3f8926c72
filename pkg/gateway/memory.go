package gateway

import (
	"sync"

	"github.com/mallowlink/mallowlink/pkg/memory"
)

const (
	// responseMemoryShare is the share of Config.Memory that responses may take, so that endpoints whose responses do not
	// end leave memory for the bodies of requests.
	responseMemoryShare = 0.5
	// endpointMemoryShare is the share of the memory for responses that those of one endpoint may take.
	endpointMemoryShare = 0.5
	// maxEndpointBudgets is the number of budgets of endpoints from which unused ones are discarded.
	maxEndpointBudgets = 1024
)

// responseMemory bounds the memory for responses, of all endpoints and of each. It is safe for concurrent use.
type responseMemory struct {
	all *memory.Budget

	mu         sync.Mutex
	byEndpoint map[string]*memory.Budget // by endpoint ID, guarded by mu
}

func newResponseMemory(total *memory.Budget) *responseMemory {
	return &responseMemory{all: total.Share(responseMemoryShare), byEndpoint: map[string]*memory.Budget{}}
}

// budget returns the budget for the responses of an endpoint.
func (m *responseMemory) budget(endpoint string) *memory.Budget {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.byEndpoint[endpoint]
	if b != nil {
		return b
	}
	if len(m.byEndpoint) >= maxEndpointBudgets {
		m.discardUnused()
	}
	b = m.all.Share(endpointMemoryShare)
	m.byEndpoint[endpoint] = b
	return b
}

// discardUnused discards the budgets of which nothing is reserved. m.mu is held.
func (m *responseMemory) discardUnused() {
	for id, b := range m.byEndpoint {
		if b.Used() == 0 {
			delete(m.byEndpoint, id)
		}
	}
}

// heldMemory is memory that a response has taken from the budget of its endpoint.
type heldMemory struct {
	budget *memory.Budget
	bytes  int64
}

// holdMemory records memory that the current response has taken from budget.
func (c *call) holdMemory(budget *memory.Budget, bytes int64) {
	if bytes > 0 {
		c.heldByResponses = append(c.heldByResponses, heldMemory{budget, bytes})
	}
}

// releaseResponses releases the memory of responses, of which nothing must be kept.
func (c *call) releaseResponses() {
	for _, held := range c.heldByResponses {
		held.budget.Release(held.bytes)
	}
	c.heldByResponses, c.relay.heldMemory = nil, 0
}

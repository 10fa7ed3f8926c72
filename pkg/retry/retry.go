// Package retry limits retried requests to a share of the traffic, so that the retries of failed requests
// do not add further load to a failing group of endpoints.
package retry

import "sync"

const (
	// InitialRetries is the number of retries allowed before there has been any traffic, so that a VM with
	// few requests can retry at all.
	InitialRetries = 3.0
	// MaxSavedRetries bounds the number of retries that accumulate while few are needed.
	MaxSavedRetries = 50.0
)

// Budget is a token bucket of retries that is filled by first attempts. It is safe for concurrent use. The
// zero value is not usable; see New.
type Budget struct {
	mu        sync.Mutex
	available float64 // guarded by mu
}

// New returns a Budget that holds InitialRetries.
func New() *Budget { return &Budget{available: InitialRetries} }

// Deposit counts one first attempt, which allows percent/100 retries.
func (b *Budget) Deposit(percent float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(MaxSavedRetries, b.available+percent/100)
}

// Withdraw takes one retry from the budget. It reports false if less than one is left.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// Left returns the number of retries allowed now.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available
}

package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBudgetIsAShareOfTraffic(t *testing.T) {
	b := New()
	granted := 0
	for range 1000 {
		b.Deposit(10)
		for b.Withdraw() {
			granted++
		}
	}
	require.InDelta(t, 100+InitialRetries, granted, 1)
}

func TestBudgetIsCapped(t *testing.T) {
	b := New()
	for range 10000 {
		b.Deposit(10)
	}
	require.InDelta(t, MaxSavedRetries, b.Left(), 1e-9)
}

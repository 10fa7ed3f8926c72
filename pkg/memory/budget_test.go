package memory

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// A share takes no more than its part of the budget, also after the limit has changed, and counts towards the budget.
func TestShareLeavesTheRestToOthers(t *testing.T) {
	b := NewBudget(100)
	half := b.Share(0.5)
	quarter := half.Share(0.5)
	require.False(t, quarter.Reserve(26))
	require.True(t, quarter.Reserve(25))
	require.False(t, half.Reserve(26))
	require.True(t, half.Reserve(25))
	require.EqualValues(t, 50, b.Used())
	require.True(t, b.Reserve(50))
	b.SetLimit(200)
	require.True(t, half.Reserve(50))
	require.False(t, half.Reserve(1))
	half.Release(75)
	quarter.Release(25)
	b.Release(50)
	require.Zero(t, b.Used())
	require.Zero(t, half.Used())
	b.SetLimit(10)
	require.True(t, b.Reserve(10))
	require.False(t, quarter.Reserve(1), "the budget has nothing left")
	require.Zero(t, quarter.Used())
}

// The announced size must not decide how many bytes are reserved: a caller could reserve the whole budget with a false one.
func TestReadAllReservesOnlyForArrivedBytes(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, 4096, 100_000} {
		want := bytes.Repeat([]byte("x"), size)
		for _, announced := range []int64{-1, int64(size), 1 << 40} {
			b := NewBudget(1 << 20)
			data, held, err := b.ReadAll(iotest.HalfReader(bytes.NewReader(want)), announced, 0)
			require.NoError(t, err)
			require.True(t, bytes.Equal(want, data))
			require.EqualValues(t, cap(data), held)
			require.LessOrEqual(t, held, int64(max(2*size, initialBufferSize)))
			require.Equal(t, held, b.Used())
			b.Release(held)
			require.Zero(t, b.Used())
		}
	}
}

// ReadAll must fail once a source exceeds the budget or the limit of the call, and what was reserved can be released.
func TestReadAllStopsAtBudgetAndLimit(t *testing.T) {
	b := NewBudget(10_000)
	large := io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<20)))
	data, held, err := b.ReadAll(large, -1, 0)
	require.ErrorIs(t, err, ErrExhausted)
	require.NotEmpty(t, data, "the data read so far is returned")
	require.LessOrEqual(t, held, int64(10_000))
	b.Release(held)
	_, held, err = b.ReadAll(large, -1, 1000)
	require.ErrorIs(t, err, ErrTooLarge)
	b.Release(held)
	require.Zero(t, b.Used())
	b.SetLimit(10)
	require.False(t, b.Reserve(11))
	require.True(t, b.Reserve(10))
}

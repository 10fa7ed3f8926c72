package memory

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func TestReadAllHoldsWhatHasArrived(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, 4096, 100_000} {
		want := bytes.Repeat([]byte("x"), size)
		for _, announced := range []int64{-1, int64(size), 1 << 40} {
			b := NewBudget(1 << 20)
			data, held, err := b.ReadAll(iotest.HalfReader(bytes.NewReader(want)), announced, 0)
			require.NoError(t, err)
			require.True(t, bytes.Equal(want, data))
			require.EqualValues(t, cap(data), held)
			require.LessOrEqual(t, held, int64(max(2*size, firstRead)))
			require.Equal(t, held, b.Used())
			b.Give(held)
			require.Zero(t, b.Used())
		}
	}
}

func TestReadAllKeepsToItsBounds(t *testing.T) {
	b := NewBudget(10_000)
	endless := io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<20)))
	data, held, err := b.ReadAll(endless, -1, 0)
	require.ErrorIs(t, err, ErrExhausted)
	require.NotEmpty(t, data, "what has arrived can still be used")
	require.LessOrEqual(t, held, int64(10_000))
	b.Give(held)
	_, held, err = b.ReadAll(endless, -1, 1000)
	require.ErrorIs(t, err, ErrTooLarge)
	b.Give(held)
	require.Zero(t, b.Used())
	b.SetLimit(10)
	require.False(t, b.Take(11))
	require.True(t, b.Take(10))
}

package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeVM is a VM whose monotonic clock and total suspended time are set by the test.
type fakeVM struct {
	monotonic   time.Time
	suspended   time.Duration
	suspensions *suspensions
}

func newVM() *fakeVM {
	v := &fakeVM{monotonic: time.Now()}
	v.suspensions = newSuspensions(func() time.Duration { return v.suspended })
	return v
}

func (v *fakeVM) now() time.Time { return v.suspensions.now(func() time.Time { return v.monotonic }) }

func (v *fakeVM) elapsed(base time.Time) time.Duration {
	return v.monotonic.Sub(base) + v.suspensions.suspendedSince(base, func() time.Time { return v.monotonic })
}

func TestSuspensionIsCountedOnce(t *testing.T) {
	v := newVM()
	base := v.now()
	v.monotonic = v.monotonic.Add(time.Second)
	v.suspended += 3 * time.Second
	require.Equal(t, 4*time.Second, v.elapsed(base))
	require.Equal(t, 4*time.Second, v.elapsed(base), "a suspension is counted once")

	after := v.now()
	v.monotonic = v.monotonic.Add(time.Second)
	require.Equal(t, time.Second, v.elapsed(after), "a base after the suspension does not include it")
	v.suspended += 2 * time.Second
	require.Equal(t, 3*time.Second, v.elapsed(after))
	require.Equal(t, 7*time.Second, v.elapsed(base))
}

// A base from now excludes a suspension before it, even if the clocks were not read between the two.
func TestUnnoticedSuspensionBeforeBaseIsNotCounted(t *testing.T) {
	v := newVM()
	v.suspended += 3 * time.Second
	base := v.now()
	require.Zero(t, v.elapsed(base))
}

// If a base was not obtained from now, a suspension before it that is noticed only after it is counted: it may
// also have come after the base.
func TestBaseNotFromNowMayIncludeEarlierSuspension(t *testing.T) {
	v := newVM()
	v.suspended += 3 * time.Second
	base := v.monotonic
	v.monotonic = v.monotonic.Add(time.Millisecond)
	require.Equal(t, 3*time.Second+time.Millisecond, v.elapsed(base))
}

func TestDiscardedSuspensionsAreStillCounted(t *testing.T) {
	v := newVM()
	first := v.now()
	for range 3 * maxSuspensions {
		v.monotonic = v.monotonic.Add(time.Second)
		v.suspended += time.Second
		v.now()
	}
	require.Len(t, v.suspensions.recent, maxSuspensions)
	require.Equal(t, 6*maxSuspensions*time.Second, v.elapsed(first))
	require.Zero(t, v.elapsed(v.now()))
}

func TestClockReadDelayIsNotASuspension(t *testing.T) {
	v := newVM()
	base := v.now()
	v.suspended += minSuspension / 2
	require.Zero(t, v.elapsed(base))
	v.suspended += minSuspension / 2
	v.monotonic = v.monotonic.Add(time.Millisecond)
	require.Equal(t, minSuspension+time.Millisecond, v.elapsed(base), "differences that add up to minSuspension are counted")
}

func TestElapsedUsesMonotonicClock(t *testing.T) {
	require.NoError(t, Check())
	base := Now()
	require.Equal(t, 4*time.Second, Elapsed(base, base.Add(4*time.Second)))
}

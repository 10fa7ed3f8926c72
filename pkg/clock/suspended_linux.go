package clock

import (
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Check returns an error unless the boot-time and the monotonic clock, whose difference reveals suspensions, can
// be read. A VM must not hold leases without them.
func Check() error {
	for _, id := range []int32{unix.CLOCK_BOOTTIME, unix.CLOCK_MONOTONIC} {
		if _, err := read(id); err != nil {
			return errors.Wrap(err, "leases need the boot-time clock")
		}
	}
	return nil
}

// totalSuspended returns the time for which the VM was suspended since it booted. The boot-time clock is read
// first: if the thread is delayed between the two readings, the result is too short by the delay, and a later
// call makes up for it.
func totalSuspended() time.Duration {
	boot, bootErr := read(unix.CLOCK_BOOTTIME)
	monotonic, monotonicErr := read(unix.CLOCK_MONOTONIC)
	if bootErr != nil || monotonicErr != nil {
		// The kernel lacks one of the clocks. Check prevents the process from starting in this case.
		return 0
	}
	return boot - monotonic
}

// read returns the reading of the kernel clock with the ID.
func read(id int32) (time.Duration, error) {
	var at unix.Timespec
	if err := unix.ClockGettime(id, &at); err != nil {
		return 0, errors.Wrapf(err, "read clock %d", id)
	}
	return time.Duration(at.Nano()), nil
}

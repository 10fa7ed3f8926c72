// Package clock measures time spans that must not be underestimated, such as the age of a lease, and has
// helpers for waiting.
//
// The monotonic clock, which Go's time arithmetic uses, stands still while the whole VM is suspended. The
// wall clock goes on, but it may also be set forward or back although no such time has passed. The boot-time
// clock has neither fault: its lead over the monotonic clock is the time for which the VM was suspended.
// Elapsed adds that time to the monotonic time.
package clock

import "time"

// Now returns the current time as a base for Elapsed, which then does not count suspensions that ended before
// the base. A base obtained in another way is as safe, but Elapsed may also count a suspension shortly before
// it, which overestimates the elapsed time.
func Now() time.Time { return hostSuspensions.now(time.Now) }

// Elapsed returns the time from base to now, including the time for which the VM was suspended since base. The
// argument now must be the current time, or a time shortly before it.
func Elapsed(base, now time.Time) time.Duration {
	return now.Sub(base) + hostSuspensions.suspendedSince(base, time.Now)
}

// Package clock measures time spans that must not seem shorter than they were.
package clock

import "time"

// Elapsed returns the time from base to now by the monotonic or the wall clock, whichever has gone
// further: the monotonic clock stands still while a whole VM is suspended.
func Elapsed(base, now time.Time) time.Duration {
	return max(now.Sub(base), now.Round(0).Sub(base.Round(0)))
}

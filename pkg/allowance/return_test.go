package allowance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The store returns from a copy, and another VM becomes the home with the record of the copy, seconds older than what was spent.
// VMs that live report all of that: a flooding account stays within its bound, and one within its limit is refused nothing.
func TestRecordOfAnOlderCopy(t *testing.T) {
	for _, age := range []time.Duration{time.Second, 5 * time.Second} {
		t.Run(fmt.Sprint("flood/", age), func(t *testing.T) {
			admitted, _ := playWithOlderRecord(age, 3*testLimit.Rate)
			require.LessOrEqual(t, float64(maxWithinWindow(admitted)), windowBound())
			require.Greater(t, float64(maxWithinWindow(admitted)), 0.8*testPolicy.windowLimit(testLimit))
		})
		t.Run(fmt.Sprint("within the limit/", age), func(t *testing.T) {
			_, refused := playWithOlderRecord(age, 0.6*testLimit.Rate)
			require.Zero(t, refused)
		})
	}
}

// playWithOlderRecord has an account send tokens at a rate through two VMs. The home changes after a while, and the new one gets a
// record of the given age. It returns what was admitted, and the number of refusals.
func playWithOlderRecord(age time.Duration, rate float64) (admitted []admission, refused int) {
	const step = 10 * time.Millisecond
	const before, after = 2000, 2000
	now := time.Unix(1_700_000_000, 0)
	home := newAccount(testPolicy, testLimit, 2, now)
	home.reported = map[string]bool{"a": true, "b": true}
	vms := []*vm{newVM("a", now), newVM("b", now)}
	tokens := int64(rate * step.Seconds())
	var written record
	for i := range before + after {
		now = now.Add(step)
		if i == before-int(age/step) {
			written = home.newRecord(now)
		}
		if i == before {
			home = newAccount(testPolicy, testLimit, 2, now)
			home.adoptRecord(written)
			for _, v := range vms {
				home.recordUsage(v.report(now), now)
			}
		}
		if vms[i%2].admit(home, tokens, now) {
			admitted = append(admitted, admission{now, tokens})
		} else {
			refused++
		}
	}
	return admitted, refused
}

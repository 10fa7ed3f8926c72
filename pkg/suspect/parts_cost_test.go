package suspect

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPartsOfALongPrompt measures what the parts of a sound request with 2,000 of them cost: while nothing is held, and while the
// table is full.
func BenchmarkPartsOfALongPrompt(b *testing.B) {
	parts := make([]string, 2000)
	for i := range parts {
		parts[i] = fmt.Sprintf("%08x", i)
	}
	for name, entries := range map[string]int{"nothing held": 0, "table full": maxPartEntries - 1} {
		b.Run(name, func(b *testing.B) {
			t, now := NewPartTable("vm"), time.Now()
			for i := range entries {
				part := fmt.Sprint("other", i)
				t.AddObservedCrash(now, "a", part, "e")
				t.ConfirmCrash(now, PartFingerprint(part), "e")
			}
			for b.Loop() {
				t.Admit(now, parts)
				t.Served(now, "b", parts)
			}
		})
	}
}

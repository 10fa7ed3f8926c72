package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fp is the fingerprint of the request under test.
const fp = 42

// No request may run on more endpoints than it may crash, and copies of it may only join those that run already.
func TestTableLimits(t *testing.T) {
	now := time.Unix(0, 0)
	table := NewTable(Limits{Crashes: MaxCrashes, Retention: time.Minute, Entries: 10})
	require.True(t, table.Started(now, fp, "e1"))
	require.True(t, table.Started(now, fp, "e2"))
	require.False(t, table.Started(now, fp, "e3"), "a third endpoint must not be put at risk")
	require.True(t, table.Started(now, fp, "e1"), "a copy may join one that runs")
	decision, _ := table.Admit(now, fp)
	require.Equal(t, Wait, decision)
	require.Equal(t, []string{"e1", "e2"}, table.Endpoints(fp))

	require.Equal(t, 1, table.CrashSeen(now, fp, "e1/1"))
	require.Equal(t, 1, table.CrashSeen(now, fp, "e1/1"), "the same crash counts once")
	table.Ended(now, fp, "e1", false)
	table.Ended(now, fp, "e1", false)
	table.Ended(now, fp, "e2", false)
	decision, _ = table.Admit(now, fp)
	require.Equal(t, Isolate, decision)
	require.Equal(t, 2, table.CrashSeen(now, fp, "e2/1"))
	decision, after := table.Admit(now.Add(time.Second), fp)
	require.Equal(t, Refuse, decision)
	require.Equal(t, 59*time.Second, after)
	decision, _ = table.Admit(now.Add(time.Minute), fp)
	require.Equal(t, Allow, decision)
}

func TestCompleteResponseClearsCrashes(t *testing.T) {
	now := time.Unix(0, 0)
	table := NewTable(Limits{Crashes: MaxCrashes, Retention: time.Minute, Entries: 10})
	table.CrashSeen(now, fp, "e1/1")
	require.True(t, table.Started(now, fp, "e2"))
	table.Ended(now, fp, "e2", true)
	decision, _ := table.Admit(now, fp)
	require.Equal(t, Allow, decision)
	require.Empty(t, table.entries)
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable(Limits{Crashes: MaxCrashes, Retention: time.Hour, Entries: 10})
	for i := range 100 {
		table.CrashSeen(time.Unix(int64(i), 0), uint64(i), "e/1")
	}
	require.Len(t, table.entries, 10)
	require.Len(t, table.Reports(time.Unix(100, 0)), 10)
}

// TestAtMostTwoEndpointsLost sends copies of a request that crashes every endpoint, in any order and at any time, to a
// table and to endpoints that restart. No more than MaxCrashes endpoints may be lost.
func TestAtMostTwoEndpointsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(0, 0)
		table := NewTable(Limits{Crashes: MaxCrashes, Retention: time.Minute, Entries: 10})
		running := map[string]int{}
		incarnation := map[string]int{}
		lost := 0
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			name := fmt.Sprint("e", rapid.IntRange(0, 5).Draw(rt, "endpoint"))
			if rapid.Bool().Draw(rt, "start") {
				if decision, _ := table.Admit(now, fp); decision != Refuse && table.Started(now, fp, name) {
					running[name]++
				}
				continue
			}
			if running[name] == 0 {
				continue
			}
			lost++
			incarnation[name]++
			for range running[name] {
				table.CrashSeen(now, fp, fmt.Sprint(name, "/", incarnation[name]))
				table.Ended(now, fp, name, false)
			}
			running[name] = 0
		}
		if lost > MaxCrashes {
			rt.Fatalf("%d endpoints lost", lost)
		}
	})
}

// An account with many crashing requests must not displace the suspects of other accounts.
func TestNoAccountDisplacesOthers(t *testing.T) {
	table := NewTable(Limits{Crashes: MaxCrashes, Retention: time.Hour, Entries: 10})
	at := func(i int) time.Time { return time.Unix(int64(i), 0) }
	table.AddReportedCrash(at(0), "quiet", fp, "e/1")
	for i := range 100 {
		table.AddReportedCrash(at(i+1), "flood", uint64(100+i), "e/1")
	}
	table.AddReportedCrash(at(200), "third", fp+1, "e/1")
	require.Len(t, table.Reports(at(200)), 10)
	require.Len(t, table.ReportsOf(at(200), fp), 1)
	require.Len(t, table.ReportsOf(at(200), fp+1), 1)
}

// Crashes from before a complete response must not count against the request, even if they are reported later. A crash is
// retracted only if no other VM has reported it.
func TestLateReportsDoNotUndoAClearance(t *testing.T) {
	table := NewTable(DirectLimits())
	at := func(i int) time.Time { return time.Unix(int64(i), 0) }
	table.AddReportedCrash(at(1), account, fp, "e1/1")
	require.True(t, table.Clear(at(3), fp))
	require.False(t, table.Clear(at(3), fp))
	require.Zero(t, table.AddReportedCrash(at(2), account, fp, "e2/1"))
	require.Equal(t, 1, table.AddReportedCrash(at(4), account, fp, "e3/1"))
	table.Retract(fp, "e3/1")
	require.Len(t, table.ReportsOf(at(5), fp), 1, "another VM has reported it")
	table.Clear(at(5), fp)
	table.AddObservedCrash(at(6), account, fp, "e3/1")
	table.Retract(fp, "e3/1")
	decision, _ := table.Admit(at(6), fp)
	require.Equal(t, Allow, decision)
	table.AddObservedCrash(at(7), account, fp, "e4/1")
	table.AddReportedCrash(at(7), account, fp, "e4/1")
	table.Retract(fp, "e4/1")
	require.Len(t, table.ReportsOf(at(7), fp), 1, "another VM has reported it as well")
}

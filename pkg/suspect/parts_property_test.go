package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// partModel is a naive record of what happened to parts, beside the PartTable under test.
type partModel struct {
	table *PartTable
	now   time.Time
	// crashes holds the distinct crashes of each part since it was last served or released.
	crashes map[string]map[string]bool
}

// confirm records a confirmed crash under a request with the parts.
func (m *partModel) confirm(crash, account string, parts []string) {
	for _, part := range parts {
		m.table.AddObservedCrash(m.now, account, part, crash)
		m.table.ConfirmCrash(m.now, PartFingerprint(part), crash)
		if m.crashes[part] == nil {
			m.crashes[part] = map[string]bool{}
		}
		m.crashes[part][crash] = true
	}
}

// check requires that no part is held without enough crashes since it was last served, and that the table's counts are right.
func (m *partModel) check(t *rapid.T) {
	for _, h := range m.table.Held(m.now) {
		require.GreaterOrEqual(t, len(m.crashes[h.Part]), partCrashes, h.Part)
		require.LessOrEqual(t, h.Crashes, maxCrashesPerPart)
	}
	total := 0
	for _, n := range m.table.perAccount {
		total += n
	}
	require.Len(t, m.table.entries, total)
	require.EqualValues(t, total, m.table.size.Load())
}

// Whatever happens in whatever order, a part is held only for crashes since it was last served, and the table stays consistent.
func TestPartTableKeepsItsInvariants(t *testing.T) {
	parts := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 4, rapid.ID)
	accounts := rapid.SampledFrom([]string{"acme", "other"})
	rapid.Check(t, func(t *rapid.T) {
		m := &partModel{table: NewPartTable("vm"), now: time.Unix(1e9, 0), crashes: map[string]map[string]bool{}}
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				next++
				m.confirm(fmt.Sprint("e", next), accounts.Draw(t, "account"), parts.Draw(t, "parts"))
			},
			"possible crash": func(t *rapid.T) {
				next++
				for _, part := range parts.Draw(t, "parts") {
					m.table.AddObservedCrash(m.now, accounts.Draw(t, "account"), part, fmt.Sprint("e", next))
					m.table.Retract(m.now, PartFingerprint(part), fmt.Sprint("e", next))
				}
			},
			"serve": func(t *rapid.T) {
				served := parts.Draw(t, "parts")
				m.table.Served(m.now, accounts.Draw(t, "account"), served)
				for _, part := range served {
					delete(m.crashes, part)
				}
			},
			"release": func(t *rapid.T) {
				part := parts.Draw(t, "parts")[0]
				m.table.Release(m.now, part)
				delete(m.crashes, part)
			},
			"report": func(t *rapid.T) {
				part := parts.Draw(t, "parts")[0]
				age := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age"))
				r := CrashReport{
					Account: accounts.Draw(t, "account"), Fingerprint: PartFingerprint(part), Part: part, Age: age, SeenBy: "vm2",
					Cleared: rapid.Bool().Draw(t, "cleared"), Trials: rapid.IntRange(0, 5).Draw(t, "trials"),
				}
				if r.Cleared {
					// What is left of the crashes depends on their times: the model keeps all.
					m.table.Record(m.now, r)
					return
				}
				next++
				r.Crash = fmt.Sprint("e", next)
				m.table.Record(m.now, r)
				if m.crashes[part] == nil {
					m.crashes[part] = map[string]bool{}
				}
				m.crashes[part][r.Crash] = true
			},
			"admit":      func(t *rapid.T) { m.table.Admit(m.now, parts.Draw(t, "parts")) },
			"trial":      func(t *rapid.T) { m.table.AllowTrial(m.now, PartFingerprint(parts.Draw(t, "parts")[0])) },
			"sweep":      func(*rapid.T) { m.table.Sweep(m.now) },
			"pass a bit": func(*rapid.T) { m.now = m.now.Add(70 * time.Millisecond) },
			"pass long":  func(*rapid.T) { m.now = m.now.Add(7 * time.Minute) },
			"":           m.check,
		})
	})
}

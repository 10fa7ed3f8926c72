package software

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/mallowlink/mallowlink/pkg/clock"
)

// settlesIn returns the time until the newest table is settled.
func (g *group) settlesIn() time.Duration {
	whole := g.timing.Bound + g.timing.Margin
	if g.row == nil {
		return whole
	}
	return min(max(whole-g.listed.Sub(g.seen[g.row.newest().ID]), minRetryAfter), whole)
}

// agreeIn returns the time until the tables agree again, at the earliest: until those that are superseded are dropped.
func (g *group) agreeIn(life time.Duration, now time.Time) time.Duration {
	left := minRetryAfter
	if g.row == nil {
		return left
	}
	for i := range g.row.Tables[:len(g.row.Tables)-1] {
		left = max(left, g.retention(life)-g.supersededFor(i, now))
	}
	return left
}

// retention is how long a superseded table is kept after its successor has settled.
func (g *group) retention(life time.Duration) time.Duration {
	return g.timing.BeginFor + life + g.timing.Bound
}

// supersededFor returns for how long this VM has seen a successor of table i settled.
func (g *group) supersededFor(i int, now time.Time) time.Duration {
	var longest time.Duration
	for _, t := range g.row.Tables[i+1:] {
		if at, ok := g.settled[t.ID]; ok && !t.Unknown {
			longest = max(longest, clock.Elapsed(at, now))
		}
	}
	return longest
}

// plan returns the row as it should be, nil for none, and whether that differs from what the fleet's table holds. newID names a new
// table.
func (g *group) plan(life time.Duration, newID func() string, now time.Time) (next *row, due bool) {
	if g.known.IsZero() {
		return nil, false
	}
	if g.row == nil {
		next = g.firstRow(newID, now)
		return next, next != nil
	}
	g.note(now)
	r := g.row.clone()
	for i := 0; len(r.Tables) > 1 && g.supersededFor(i, now) >= g.retention(life); i++ {
		r.Tables = r.Tables[1:]
		r.First = r.Tables[0].Seq
	}
	accepting := g.accepting()
	if len(accepting) > 0 && len(r.Tables) < maxTables && clock.Elapsed(g.addedAt, now) >= tableInterval {
		if shares := sharesOf(accepting); r.newest().Unknown || moved(r.newest().Shares, shares) {
			r.Tables = append(r.Tables, Table{ID: newID(), Seq: max(r.newest().Seq+1, now.UnixMilli()), Shares: shares})
		}
	}
	if g.overBy(r) {
		return nil, g.stored != nil
	}
	return &r, g.stored == nil || !reflect.DeepEqual(*g.stored, r)
}

// firstRow returns the first row of a group of which a second version is listed, nil if it needs none.
func (g *group) firstRow(newID func() string, now time.Time) *row {
	accepting := g.accepting()
	delete(accepting, g.sole)
	if len(g.slots) < 2 && !g.hasSole || len(accepting) == 0 {
		return nil
	}
	seq := now.UnixMilli()
	tables := []Table{{ID: newID(), Seq: seq + 1, Shares: sharesOf(g.accepting())}}
	switch {
	case g.hasSole:
		tables = slices.Insert(tables, 0, Table{ID: newID(), Seq: seq, Shares: sharesOf(map[string]int{g.sole: 1}), Settled: true})
	case !g.fresh:
		tables = slices.Insert(tables, 0, Table{ID: newID(), Seq: seq, Unknown: true, Settled: true})
	}
	return &row{First: tables[0].Seq, Tables: tables}
}

// accepting returns the slots of the listed versions that accept requests, of the largest ones if there are very many.
func (g *group) accepting() map[string]int {
	list := map[string]int{}
	for version, n := range g.slots {
		if n > 0 {
			list[version] = n
		}
	}
	for len(list) > replicasPerTable {
		names := slices.SortedFunc(maps.Keys(list), func(a, b string) int { return cmp.Or(list[a]-list[b], strings.Compare(a, b)) })
		delete(list, names[0])
	}
	return list
}

// overBy reports whether a row is no longer needed: all streams have begun at one version, and only that one is listed.
func (g *group) overBy(r row) bool {
	version, ok := r.newest().only()
	_, listed := g.slots[version]
	return ok && len(r.Tables) == 1 && r.Tables[0].Settled && listed && len(g.slots) == 1
}

// changing reports whether a listed version is in no settled table yet, or a table is not settled.
func (g *group) changing() bool {
	if g.row == nil {
		return g.hasSole && g.newcomers() > 0 || !g.hasSole && len(g.slots) > 1
	}
	return slices.ContainsFunc(g.row.Tables, func(t Table) bool { return !t.Settled }) || moved(g.row.newest().Shares, sharesOf(g.accepting()))
}

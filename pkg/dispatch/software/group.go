package software

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// Timing holds the times for which knowledge of versions may be used.
type Timing struct {
	// Bound is the age of a copy of the rows from which on it decides no take-up.
	Bound time.Duration
	// Margin is added to Bound until a table that was read is settled.
	Margin time.Duration
	// BeginFor is the age of a copy from which on no stream begins by it.
	BeginFor time.Duration
	// Hold is how long after a return of the store from an older copy nothing that it says is valid.
	Hold time.Duration
}

const (
	settleMargin   = 200 * time.Millisecond
	beginFor       = 10 * time.Second
	generationHold = time.Second
	// minRetryAfter is after how long a caller may return whose stream another VM knows.
	minRetryAfter = 200 * time.Millisecond
	// tableInterval is the least time between two new tables of a group.
	tableInterval = time.Second
)

// NewTiming returns the timing for a bound on the age of updates.
func NewTiming(bound time.Duration) Timing {
	return Timing{Bound: bound, Margin: settleMargin, BeginFor: max(beginFor, 2*bound), Hold: bound + generationHold}
}

// group is what a VM knows about the software versions of one group. It is not safe for concurrent use.
type group struct {
	timing Timing
	// slots are the slots of the endpoints that accept requests, by version; draining ones count as none.
	slots map[string]int
	// oldest is the start of the endpoint that has been up longest, in Unix milliseconds; 0 if none is listed.
	oldest int64
	// listed is the time at which the list was last current, since the time since which lists have followed each other within
	// the bound.
	listed, since time.Time
	// row is the group's row, nil if there is none. stored is the row as last read from the fleet's table, and version its version, 0
	// if it must be created.
	row, stored *row
	version     uint64
	// known is the time at which the row, or that there was none, was last certainly current; zero if it is not known.
	known time.Time
	// sole is the version at which all streams have begun if there is no row; hasSole says that it is known. unproven is the time
	// before which neither it nor the row decides a take-up: the store may have lost tables by which streams have begun.
	sole     string
	hasSole  bool
	unproven time.Time
	// seen is when each table was first read by this VM while all its versions were listed, settled when it was first seen settled,
	// by ID.
	seen, settled map[string]time.Time
	// addedAt is when a table was last added, as far as this VM has seen.
	addedAt time.Time
	// fresh says that no stream had begun before this VM started.
	fresh bool
	// ahead says that the fleet's table has lost a part of row by returning from an older copy.
	ahead bool
}

func newGroup(t Timing) *group {
	return &group{timing: t, slots: map[string]int{}, seen: map[string]time.Time{}, settled: map[string]time.Time{}}
}

// list applies the endpoints of the group, of a list that was current at the time confirmed.
func (g *group) list(endpoints []roster.Endpoint, confirmed, now time.Time) {
	clear(g.slots)
	g.oldest = 0
	for _, e := range endpoints {
		n := 0
		if e.AcceptsRequests(now) {
			n = max(e.Slots, 1)
		}
		g.slots[e.Software] += n
		if g.oldest == 0 || e.Started < g.oldest {
			g.oldest = e.Started
		}
	}
	g.restartSettling(now)
	g.confirmList(confirmed)
}

// restartSettling makes tables with a version that is not listed settle anew: VMs that read no rows see a version in the lists only.
func (g *group) restartSettling(now time.Time) {
	if g.row == nil {
		return
	}
	for _, t := range g.row.Tables {
		for version := range t.Shares {
			if _, listed := g.slots[version]; !listed && !t.Settled {
				g.seen[t.ID] = now
			}
		}
	}
}

// confirmList records that the list as last applied was current at a time. If it shows one version, as lists shortly before
// did, no stream has begun at another one: that takes an endpoint that is listed for the bound after the row is written.
func (g *group) confirmList(confirmed time.Time) {
	if confirmed.Sub(g.listed) >= g.timing.Bound {
		g.since = confirmed
	}
	if confirmed.After(g.listed) {
		g.listed = confirmed
	}
	if g.row != nil || g.known.IsZero() {
		return
	}
	if !g.hasSole {
		g.findSole()
		return
	}
	if g.newcomers() == 0 && confirmed.After(g.known) && confirmed.Sub(g.known) < g.timing.Bound {
		g.known = confirmed
	}
}

// findSole takes the one listed version for that of all streams, if the list is about as recent as the knowledge that there is
// no row.
func (g *group) findSole() {
	if g.row != nil || g.known.IsZero() || len(g.slots) != 1 || g.known.Sub(g.listed) >= g.timing.Bound {
		return
	}
	for version := range g.slots {
		g.sole, g.hasSole = version, true
	}
}

// newcomers returns the number of listed versions at which no stream may begin yet, while there is no row.
func (g *group) newcomers() int {
	n := 0
	for version := range g.slots {
		if version != g.sole {
			n++
		}
	}
	return n
}

// read applies the row as read from the fleet's table, nil if there was none, and the time at which it was certainly current.
// returned says that the table has returned from an older copy, so that what this VM knows goes on to hold.
func (g *group) read(r *row, version uint64, current, now time.Time, returned bool) {
	if !returned && version != 0 && version < g.version {
		return
	}
	switch {
	case returned && g.row != nil:
		old := *g.row
		g.ahead = true
		if r != nil {
			merged := r.merge(old)
			g.ahead = r.lacks(merged)
			g.row = &merged
		}
	case r == nil && g.row != nil && !g.ahead:
		g.dropRow(now)
	case r != nil && g.ahead && g.row != nil:
		merged := r.merge(*g.row)
		g.ahead = r.lacks(merged)
		g.row = &merged
	case r != nil:
		clone := r.clone()
		g.row = &clone
	}
	g.stored, g.version = nil, 0
	if r != nil {
		clone := r.clone()
		g.stored, g.version = &clone, version
	}
	if current.After(g.known) && !g.ahead {
		if g.row == nil && current.Sub(g.known) >= g.timing.Bound {
			// Lists have not followed each other within the bound.
			g.hasSole = g.hasSole && len(g.slots) != 1
		}
		g.known = current
	}
	g.note(now)
	g.findSole()
}

// dropRow records that the row has been deleted: all streams have begun at one version for long.
func (g *group) dropRow(now time.Time) {
	g.sole, g.hasSole = g.row.newest().only()
	if len(g.row.Tables) > 1 {
		// This VM has missed changes of the row.
		g.hasSole, g.since = false, now
	}
	g.row = nil
}

// note records which tables this VM has read, and which of them are settled.
func (g *group) note(now time.Time) {
	if g.row == nil {
		clear(g.seen)
		clear(g.settled)
		return
	}
	for i := range g.row.Tables {
		t := &g.row.Tables[i]
		if _, known := g.seen[t.ID]; !known {
			g.seen[t.ID], g.addedAt = now, now
		}
		t.Settled = t.Settled || g.listed.Sub(g.seen[t.ID]) >= g.timing.Bound+g.timing.Margin
		if _, known := g.settled[t.ID]; t.Settled && !known {
			g.settled[t.ID] = now
		}
	}
	gone := func(id string, _ time.Time) bool {
		return !slices.ContainsFunc(g.row.Tables, func(t Table) bool { return t.ID == id })
	}
	maps.DeleteFunc(g.seen, gone)
	maps.DeleteFunc(g.settled, gone)
}

// age returns how old the knowledge of the row may be.
func (g *group) age(now time.Time) time.Duration {
	if g.known.IsZero() {
		return unknownAge
	}
	return clock.Elapsed(g.known, now)
}

// unknownAge is the age of what was never known.
const unknownAge = 24 * time.Hour

// reason says why no version is decided.
type reason int

const (
	decided reason = iota
	// outOfDate says that this VM's copy of the row is too old.
	outOfDate
	// ambiguous says that the stream may have begun at several versions.
	ambiguous
	// unsettled says that no table may be used to begin streams yet.
	unsettled
	// conflicting says that one ID was used for streams of several versions.
	conflicting
)

// begin returns the version at which a stream begins, and by which source.
func (g *group) begin(key Key, now time.Time) (version, source string, why reason) {
	if g.age(now) >= g.timing.BeginFor {
		return "", "", outOfDate
	}
	if g.row == nil {
		if !g.hasSole {
			return "", "", unsettled
		}
		return g.sole, SourceSole, decided
	}
	g.note(now)
	for _, t := range slices.Backward(g.row.Tables) {
		if version, ok := t.VersionOf(key); ok && t.Settled {
			return version, SourceTable, decided
		}
	}
	return "", "", unsettled
}

// takeUp returns the version at which a stream has begun, and by which source. now must be read after the request arrived.
func (g *group) takeUp(key Key, now time.Time) (version, source string, why reason) {
	if g.age(now) >= g.timing.Bound || now.Before(g.unproven) {
		return "", "", outOfDate
	}
	if g.row == nil {
		switch {
		case !g.hasSole:
			return "", "", ambiguous
		case !g.proven(now):
			return "", "", outOfDate
		}
		return g.sole, SourceSole, decided
	}
	if version, ok := g.row.agreed(key); ok {
		return version, SourceTable, decided
	}
	return "", "", ambiguous
}

// proven reports whether the group has had its one version for so long that a second one would have a row.
func (g *group) proven(now time.Time) bool {
	enough := 2 * g.timing.Bound
	return g.oldest != 0 && now.UnixMilli()-g.oldest >= enough.Milliseconds() || g.listed.Sub(g.since) >= enough
}

// followsForAll reports whether every VM in step knows by itself that the stream began at the version.
func (g *group) followsForAll(key Key, version string, now time.Time) bool {
	if g.age(now) >= g.timing.Bound {
		return false
	}
	if g.row == nil {
		return g.hasSole && version == g.sole && g.newcomers() == 0
	}
	agreed, ok := g.row.agreed(key)
	return ok && agreed == version
}

// stage returns what decides whether the homes of the group's streams need records.
func (g *group) stage(now time.Time) groupStage {
	s := groupStage{outdated: g.age(now) >= g.timing.Bound, changing: g.row == nil && g.newcomers() > 0}
	if g.row != nil {
		s.tables, s.newest = len(g.row.Tables), g.row.newest().ID
	}
	return s
}

// describe returns the tables for people to read.
func (g *group) describe() []string {
	if g.row == nil {
		return nil
	}
	var list []string
	for _, t := range g.row.Tables {
		text := strings.Join(describeShares(t.Shares), " ")
		if t.Unknown {
			text = "any version"
		}
		if !t.Settled {
			text += " (not settled)"
		}
		list = append(list, text)
	}
	return list
}

// describeShares returns versions and their shares in order.
func describeShares(shares map[string]int) []string {
	var list []string
	for _, version := range slices.Sorted(maps.Keys(shares)) {
		list = append(list, version+":"+strconv.Itoa(shares[version]))
	}
	return list
}

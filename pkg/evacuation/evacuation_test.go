package evacuation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/platform"
)

var start = time.Unix(1_700_000_000, 0)

// at returns an update with the rows of the domains, read at a counter of a generation, by a VM that is in contact.
func at(generation, counter uint64, after time.Duration, domains ...string) Update {
	u := Update{Position: platform.VersionIn(generation, counter), Now: start.Add(after), Current: start.Add(after - time.Second), Within: DefaultWithin}
	for _, name := range domains {
		u.Rows = append(u.Rows, Row{Domain: name, Key: "evacuate/" + name, Value: []byte("{}")})
	}
	return u
}

// kept returns the update as one of a VM that keeps the rows although they are missing.
func (u Update) kept() Update {
	for i := range u.Rows {
		u.Rows[i].Kept = true
	}
	return u
}

// outdated returns the update as one whose position is not known.
func (u Update) outdated() Update {
	u.Position = 0
	return u
}

func names(domains []Domain) []string {
	var list []string
	for _, d := range domains {
		list = append(list, d.Name)
	}
	return list
}

// Guards against evacuations that begin late, never end, or end by information that is older than the known one.
func TestEvacuatedDomainsAfterUpdates(t *testing.T) {
	for name, test := range map[string]struct {
		updates []Update
		want    []string
	}{
		"row written":                            {[]Update{at(1, 5, 0), at(1, 6, 1, "a")}, []string{"a"}},
		"written twice":                          {[]Update{at(1, 5, 0, "a"), at(1, 6, 1, "a")}, []string{"a"}},
		"removed":                                {[]Update{at(1, 5, 0, "a", "b"), at(1, 6, 1, "b")}, []string{"b"}},
		"removed and written again":              {[]Update{at(1, 5, 0, "a"), at(1, 6, 1), at(1, 7, 2, "a")}, []string{"a"}},
		"older set of another steward without":   {[]Update{at(1, 6, 0, "a"), at(1, 5, 1)}, []string{"a"}},
		"older set of another steward with":      {[]Update{at(1, 5, 0, "a"), at(1, 6, 1), at(1, 5, 2, "a")}, nil},
		"set of unknown position without":        {[]Update{at(1, 5, 0, "a"), at(1, 6, 1).outdated()}, []string{"a"}},
		"set of unknown position with":           {[]Update{at(1, 5, 0), at(1, 6, 1, "a").outdated()}, []string{"a"}},
		"set of unknown position, then removed":  {[]Update{at(1, 5, 0), at(1, 6, 1, "a").outdated(), at(1, 7, 2)}, nil},
		"missing in a new generation":            {[]Update{at(1, 5, 0, "a"), at(2, 4, 1)}, []string{"a"}},
		"missing in two reads of a generation":   {[]Update{at(1, 5, 0, "a"), at(2, 4, 1), at(2, 6, 2)}, []string{"a"}},
		"written again, then removed":            {[]Update{at(1, 5, 0, "a"), at(2, 4, 1), at(2, 6, 2, "a"), at(2, 7, 3)}, nil},
		"missing for longer than it is kept":     {[]Update{at(1, 5, 0, "a"), at(2, 4, 0), at(2, 6, missingRetention)}, nil},
		"written again before the time is over":  {[]Update{at(1, 5, 0, "a"), at(2, 4, 0), at(2, 6, 1, "a"), at(2, 7, missingRetention, "a")}, []string{"a"}},
		"missing in two generations":             {[]Update{at(1, 5, 0, "a"), at(2, 4, 0), at(3, 4, missingRetention/2), at(3, 5, missingRetention)}, nil},
		"removed row brought back":               {[]Update{at(1, 5, 0, "a"), at(1, 6, 1), at(2, 5, 2, "a")}, []string{"a"}},
		"removed row brought back and removed":   {[]Update{at(1, 5, 0, "a"), at(1, 6, 1), at(2, 5, 2, "a"), at(2, 6, 3)}, nil},
		"late set of the generation before":      {[]Update{at(1, 5, 0), at(2, 4, 1, "a"), at(1, 9, 2)}, []string{"a"}},
		"first position known lacks the row":     {[]Update{at(1, 5, 0, "a").outdated(), at(1, 6, 1)}, []string{"a"}},
		"set of unknown position confirms none":  {[]Update{at(1, 5, 0, "a"), at(2, 4, 0), at(2, 4, 1, "a").outdated(), at(2, 5, missingRetention)}, nil},
		"kept row is seen in an equal position":  {[]Update{at(1, 5, 0, "a"), at(2, 4, 0), at(2, 4, 1, "a"), at(2, 4, missingRetention, "a")}, []string{"a"}},
		"kept by one steward, not by the other":  {[]Update{at(1, 5, 0, "a"), at(2, 4, 0, "a").kept(), at(2, 4, 1)}, []string{"a"}},
		"kept by a steward for too long":         {[]Update{at(1, 5, 0, "a"), at(2, 4, 0, "a").kept(), at(2, 4, missingRetention, "a").kept()}, nil},
		"kept, but seen before":                  {[]Update{at(1, 5, 0, "a"), at(2, 4, 0, "a"), at(2, 4, 1, "a").kept(), at(2, 5, 2)}, nil},
		"first known as kept":                    {[]Update{at(2, 4, 0, "a").kept(), at(2, 5, 1)}, []string{"a"}},
		"end of retention passed on, same place": {[]Update{at(2, 4, 0, "a"), at(2, 4, 1)}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var s Set
			for _, u := range test.updates {
				s.Apply(u)
			}
			require.Equal(t, test.want, names(s.Domains()))
		})
	}
}

// Guards against changes that are reported twice or not at all: endpoints that return to service may be cold.
func TestChangesAreReportedOnce(t *testing.T) {
	var s Set
	c := s.Apply(at(1, 5, 0, "b", "a"))
	require.Equal(t, []string{"a", "b"}, names(c.Emptied))
	require.False(t, s.Apply(at(1, 5, 1, "b", "a")).Any())
	require.Equal(t, []string{"b"}, names(s.Apply(at(1, 6, 2, "a")).Restored))
	require.False(t, s.Apply(at(2, 3, 0)).Any())
	require.Equal(t, start.Add(missingRetention), s.NextExpiry())
	require.False(t, s.Expire(start.Add(missingRetention-1)).Any())
	require.Equal(t, []string{"a"}, names(s.Expire(start.Add(missingRetention)).Restored))
	require.True(t, s.NextExpiry().IsZero())
}

// Guards against requests later than the bound after the row was acknowledged: a VM may learn of a row long after that.
func TestTimeToMoveWorkAwayIsCountedFromTheWriteOfTheRow(t *testing.T) {
	for name, test := range map[string]struct {
		current, want time.Duration
	}{
		"in contact":     {-time.Second, 2500 * time.Millisecond},
		"late update":    {-2 * time.Second, 2 * time.Second},
		"out of contact": {-time.Minute, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var s Set
			s.Apply(at(1, 4, -time.Minute))
			u := at(1, 5, 0, "a")
			u.Current = start.Add(test.current)
			s.Apply(u)
			d, ok := s.Domain("a")
			require.True(t, ok)
			require.Equal(t, start.Add(test.want), d.From)
			again := at(1, 6, time.Second, "a")
			s.Apply(again)
			d, _ = s.Domain("a")
			require.Equal(t, start.Add(test.want), d.From, "writing the row again must not give more time")
		})
	}
	var s Set
	u := at(1, 5, 0, "a")
	u.Current = time.Time{}
	s.Apply(u)
	d, _ := s.Domain("a")
	require.Equal(t, start, d.From, "a VM that has just started does not know how old the row is")
}

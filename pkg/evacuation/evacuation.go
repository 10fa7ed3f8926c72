// Package evacuation decides which failure domains are evacuated, from the sets of the operator's rows that a VM reads from the
// store or gets from other VMs. It has no clock and does no I/O.
package evacuation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mallowlink/mallowlink/pkg/platform"
)

const (
	// DefaultWithin is the time within which nothing more may reach an evacuated domain if the settings do not state one.
	DefaultWithin = 5 * time.Second
	// moveShare is the part of that time in which adapters may still be moved out of the domain.
	moveShare = 0.5
	// transitShare is the part of that time that is reserved for changes that arrive late and for requests in transit.
	transitShare = 0.2
	// missingRetention is how long a domain stays evacuated whose row is missing after the store has returned from an older
	// copy. The operator writes lost rows again within that time.
	missingRetention = 6 * time.Second
)

// Domain is an evacuated failure domain.
type Domain struct {
	Name string
	// Key and Value are the operator's row.
	Key   string
	Value []byte
	// Since is when this VM learned of the row.
	Since time.Time
	// From is the time from which nothing may be sent to the endpoints of the domain.
	From time.Time
	// Position is the position of the first set that contained the row; zero if it is not known.
	Position uint64
	// keptUntil is when the evacuation ends unless the row is seen again; zero while the row is known to exist.
	keptUntil time.Time
}

// Kept reports whether the domain stays evacuated although its row is missing in this generation of the store.
func (d Domain) Kept() bool { return !d.keptUntil.IsZero() }

// keep makes the evacuation end after missingRetention, unless it already has an end.
func (d *Domain) keep(now time.Time) {
	if !d.Kept() {
		d.keptUntil = now.Add(missingRetention)
	}
}

// Row is one of the operator's rows that evacuate a domain.
type Row struct {
	Domain string
	Key    string
	Value  []byte
	// Kept says that the VM that read the set keeps the row although it is missing in this generation of the store.
	Kept bool
}

// Update is a set of the operator's rows as read from the store.
type Update struct {
	Rows []Row
	// Position is the position in the history of the operator's table at which the set was read. If it is zero, the set may
	// be incomplete or outdated, and only adds to the domains.
	Position uint64
	// Current is the time up to which the set known before is known to have been current; zero if there was none. The rows
	// that are new were written after it.
	Current time.Time
	Now     time.Time
	// Within is the time after which nothing more may reach an evacuated domain.
	Within time.Duration
}

// Change lists the domains whose state an update has changed, sorted by name.
type Change struct {
	Emptied, Restored []Domain
}

// Any reports whether the state of any domain has changed.
func (c Change) Any() bool { return len(c.Emptied)+len(c.Restored) > 0 }

// Set is the set of evacuated failure domains that one VM knows. The zero value is empty. It is not safe for concurrent use.
type Set struct {
	domains map[string]Domain
	// position is the highest position of a set that was applied.
	position uint64
}

// Position returns the position in the history of the operator's table that the set corresponds to; zero if it is not known.
func (s *Set) Position() uint64 { return s.position }

// Domain returns an evacuated domain, and whether it is one.
func (s *Set) Domain(name string) (Domain, bool) {
	d, ok := s.domains[name]
	return d, ok
}

// Domains returns the evacuated domains, sorted by name.
func (s *Set) Domains() []Domain {
	list := slices.Collect(maps.Values(s.domains))
	sortDomains(list)
	return list
}

// Apply applies an update. One that was read before the known set is ignored. A domain whose row is missing in the first set of a
// new generation of the store stays evacuated until its row was seen and removed, or for missingRetention.
func (s *Set) Apply(u Update) Change {
	if u.Position != 0 && u.Position < s.position {
		return Change{}
	}
	var c Change
	present := map[string]bool{}
	newGeneration := s.position == 0 || platform.GenerationOf(u.Position) > platform.GenerationOf(s.position)
	for _, row := range u.Rows {
		present[row.Domain] = true
		known, ok := s.domains[row.Domain]
		if !ok {
			known = Domain{Name: row.Domain, Since: u.Now, From: s.from(u), Position: u.Position}
			c.Emptied = append(c.Emptied, known)
		}
		switch {
		case row.Kept && (!ok || newGeneration):
			known.keep(u.Now)
		case !row.Kept && u.Position != 0:
			known.keptUntil = time.Time{}
		}
		known.Key, known.Value = row.Key, row.Value
		s.set(known)
	}
	if u.Position != 0 {
		c.Restored = s.removeMissing(u, present, newGeneration)
		s.position = u.Position
	}
	sortDomains(c.Emptied)
	sortDomains(c.Restored)
	return c
}

// removeMissing removes the domains whose rows are missing in the update, and returns them.
func (s *Set) removeMissing(u Update, present map[string]bool, newGeneration bool) []Domain {
	var removed []Domain
	for name, d := range s.domains {
		switch {
		case present[name] || d.Kept():
		case newGeneration:
			d.keep(u.Now)
			s.set(d)
		default:
			delete(s.domains, name)
			removed = append(removed, d)
		}
	}
	return append(removed, s.expire(u.Now)...)
}

// Expire ends the evacuations that were kept although their rows are missing, and whose time is over.
func (s *Set) Expire(now time.Time) Change {
	c := Change{Restored: s.expire(now)}
	sortDomains(c.Restored)
	return c
}

func (s *Set) expire(now time.Time) []Domain {
	var removed []Domain
	for name, d := range s.domains {
		if d.Kept() && !now.Before(d.keptUntil) {
			delete(s.domains, name)
			removed = append(removed, d)
		}
	}
	return removed
}

// NextExpiry returns when Expire is to be called next; zero if there is no need.
func (s *Set) NextExpiry() time.Time {
	var next time.Time
	for _, d := range s.domains {
		if d.Kept() && (next.IsZero() || d.keptUntil.Before(next)) {
			next = d.keptUntil
		}
	}
	return next
}

func (s *Set) set(d Domain) {
	if s.domains == nil {
		s.domains = map[string]Domain{}
	}
	s.domains[d.Name] = d
}

// from returns the time from which nothing may be sent to a domain whose row is new in the update. The row may be as old as
// u.Current: a VM that has just started, or was out of contact, may have no time left to move work.
func (s *Set) from(u Update) time.Time {
	if s.position == 0 || u.Current.IsZero() {
		return u.Now
	}
	from := u.Now.Add(share(u.Within, moveShare))
	if latest := u.Current.Add(share(u.Within, 1-transitShare)); latest.Before(from) {
		from = latest
	}
	if from.Before(u.Now) {
		return u.Now
	}
	return from
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

func sortDomains(list []Domain) {
	slices.SortFunc(list, func(a, b Domain) int { return strings.Compare(a.Name, b.Name) })
}

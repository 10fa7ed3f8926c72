// Package roster holds the endpoints of the fleet, as read from the platform's list of endpoints.
package roster

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Incarnation identifies one run of an endpoint's process, as distinct from earlier and later runs under the same
// ID.
type Incarnation struct {
	ID string
	// Started is the time when the process started, in Unix milliseconds.
	Started int64
}

// Endpoint is one endpoint of the platform's list. VMs send it to each other as JSON under its field names.
type Endpoint struct {
	Incarnation
	Group         string
	Address       string
	FailureDomain string
	// Software is the version of the endpoint's software, empty if its entry states none. Streams of two versions do not fit
	// together; there is no order between versions.
	Software string `json:",omitzero"`
	// Slots is the number of requests that the endpoint can run at the same time.
	Slots int
	// Draining reports that the endpoint accepts no new requests.
	Draining bool
	// Loaded lists the adapters that were loaded on the endpoint when it last reported.
	Loaded []Adapter
	// Kept reports that the endpoint is missing from the platform's list but retained for now: the VM that reads
	// the list could not reach the store for a while, and the endpoint may come back to the list.
	Kept bool
	// Cold is what the entry says about how long the endpoint stays cold.
	Cold Cold `json:",omitzero"`
	// GoneAt is the time when an endpoint that leaves at short notice will terminate; zero if not known.
	GoneAt time.Time
	// EvacuatedFrom is the time from which nothing may be sent to the endpoint because its failure domain is evacuated;
	// zero if it is not. Each VM sets it for itself.
	EvacuatedFrom time.Time `json:"-"`
}

// Evacuating reports whether the failure domain of the endpoint is evacuated. Work is moved elsewhere, and nothing may be sent
// to the endpoint from EvacuatedFrom on.
func (e Endpoint) Evacuating() bool { return !e.EvacuatedFrom.IsZero() }

// Evacuated reports whether nothing may be sent to the endpoint now because its failure domain is evacuated.
func (e Endpoint) Evacuated(now time.Time) bool {
	return e.Evacuating() && !now.Before(e.EvacuatedFrom)
}

// AcceptsRequests reports whether new requests may be sent to the endpoint now.
func (e Endpoint) AcceptsRequests(now time.Time) bool { return !e.Draining && !e.Evacuated(now) }

// Cold is what an entry of the list of endpoints says about how long the endpoint stays cold, which means that it accepts
// requests at a low rate only. The zero value stands for an entry that says nothing.
type Cold struct {
	// Stated reports that the entry states a remaining time.
	Stated bool `json:",omitzero"`
	// Left is the remaining time when the entry was written; 0 if the endpoint is not cold.
	Left time.Duration `json:",omitzero"`
	// Version identifies what was written: the same version is read again until the endpoint writes the entry again, and
	// the remaining time counts from when a version is first seen. It is 0 if it is not known. To VMs that do not read
	// the list themselves it is passed on for cold endpoints only, since it changes with each heartbeat.
	Version uint64 `json:",omitzero"`
	// Malformed is the value as written, if that is out of range. It is not passed on to other VMs.
	Malformed string `json:"-"`
}

// Adapter is one version of an adapter.
type Adapter struct {
	Model   string
	Name    string
	Version int
}

// View is an immutable snapshot of the endpoints.
type View struct {
	byID   map[string]Endpoint
	groups map[string][]Endpoint
	all    []Endpoint
	// evacuating holds the groups that have endpoints in evacuated failure domains.
	evacuating map[string]bool
}

// NewView returns a View of the endpoints. It does not change or keep the slice.
func NewView(endpoints []Endpoint) *View {
	v := &View{byID: make(map[string]Endpoint, len(endpoints)), groups: map[string][]Endpoint{}, evacuating: map[string]bool{}}
	sorted := slices.Clone(endpoints)
	v.all = sorted
	slices.SortFunc(sorted, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	for _, e := range sorted {
		v.byID[e.ID] = e
		v.groups[e.Group] = append(v.groups[e.Group], e)
		if e.Evacuating() {
			v.evacuating[e.Group] = true
		}
	}
	return v
}

// Endpoint returns the endpoint with the ID, and whether there is one.
func (v *View) Endpoint(id string) (Endpoint, bool) {
	e, ok := v.byID[id]
	return e, ok
}

// Group returns the endpoints of a group, sorted by ID. The returned slice must not be modified.
func (v *View) Group(name string) []Endpoint { return v.groups[name] }

// Evacuating reports whether an endpoint of a group is in an evacuated failure domain.
func (v *View) Evacuating(group string) bool { return v.evacuating[group] }

// All returns every endpoint, sorted by ID. The returned slice must not be modified.
func (v *View) All() []Endpoint { return v.all }

// Len returns the number of endpoints.
func (v *View) Len() int { return len(v.byID) }

// Roster holds the current View. It is safe for concurrent use.
type Roster struct {
	view atomic.Pointer[View]
}

// New returns a Roster without endpoints.
func New() *Roster {
	r := &Roster{}
	r.view.Store(NewView(nil))
	return r
}

// View returns the current view.
func (r *Roster) View() *View { return r.view.Load() }

// Set replaces the current view.
func (r *Roster) Set(v *View) { r.view.Store(v) }

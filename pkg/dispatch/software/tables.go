// Package software decides at which software version of the endpoints a resumable stream may begin or go on. What two versions
// write does not fit together, and endpoints do not check it.
//
// A stream's version is a pure function of its ID and of tables of shares in the fleet's table, so that it is known after the VM
// that served the stream, or all VMs, have gone. Where the tables do not tell, the VMs' memories of streams do. A take-up is never
// guessed. docs/design/software-versions.md has the reasons, and the bounds added up.
package software

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

const (
	// replicasPerTable is the sum of the shares of a table, about: each version has one at least.
	replicasPerTable = 32
	// movedShare is the part of the shares that must have moved for a new table.
	movedShare = 0.2
	// maxTables and maxVersions bound a row. Versions of endpoints come from outside.
	maxTables   = 24
	maxVersions = 64
)

// Key identifies a stream: a hash of its group and of the ID of the caller's attempt that brought its first event.
type Key uint64

// KeyOf returns the key of a stream.
func KeyOf(group, id string) Key { return Key(xxhash.Sum64String(group + "\x00" + id)) }

// Table maps software versions to their shares of the streams.
type Table struct {
	// ID tells tables apart.
	ID string `json:"id"`
	// Seq orders tables, oldest first.
	Seq int64 `json:"seq"`
	// Unknown says that streams may have begun at any version.
	Unknown bool `json:"unknown,omitempty"`
	// Shares are numbers of replicas for rendezvous hashing.
	Shares map[string]int `json:"shares,omitempty"`
	// Settled says that every copy of the row without this table is too old to decide a take-up.
	Settled bool `json:"settled,omitempty"`
}

// VersionOf returns the version at which a stream begins by the table, false if the table does not tell.
func (t Table) VersionOf(key Key) (string, bool) {
	if t.Unknown || len(t.Shares) == 0 {
		return "", false
	}
	var best uint64
	var version string
	text := strconv.FormatUint(uint64(key), 16) + "/"
	for name, replicas := range t.Shares {
		for i := range replicas {
			score := xxhash.Sum64String(text + strconv.Itoa(i) + "/" + name)
			if score > best || score == best && name > version {
				best, version = score, name
			}
		}
	}
	return version, true
}

// only returns the version that has all shares of the table, false if there is none.
func (t Table) only() (string, bool) {
	if t.Unknown || len(t.Shares) != 1 {
		return "", false
	}
	for version := range t.Shares {
		return version, true
	}
	return "", false
}

// sharesOf returns the shares of versions by their slots.
func sharesOf(slots map[string]int) map[string]int {
	total := 0
	for _, n := range slots {
		total += n
	}
	shares := make(map[string]int, len(slots))
	for version, n := range slots {
		shares[version] = max((n*replicasPerTable+total/2)/max(total, 1), 1)
	}
	return shares
}

// moved reports whether shares differ so much that a new table is due: in their versions, or by movedShare.
func moved(a, b map[string]int) bool {
	if len(a) != len(b) {
		return true
	}
	sumA, sumB := 0, 0
	for version, n := range a {
		if _, ok := b[version]; !ok {
			return true
		}
		sumA, sumB = sumA+n, sumB+b[version]
	}
	more := 0.0
	for version, n := range a {
		more += max(0, float64(n)/float64(sumA)-float64(b[version])/float64(sumB))
	}
	return more >= movedShare
}

// row is the value of a group's row.
type row struct {
	// First is the least number of a table that has not been dropped.
	First int64 `json:"first"`
	// Tables are the tables by which streams may have begun that are still alive, oldest first.
	Tables []Table `json:"tables"`
}

var errRow = errors.New("row has no tables, or too many")

func decodeRow(data []byte) (row, error) {
	var r row
	if err := json.Unmarshal(data, &r); err != nil {
		return row{}, errors.Wrap(err, "decode row of software versions")
	}
	if len(r.Tables) == 0 || len(r.Tables) > maxTables {
		return row{}, errRow
	}
	for _, t := range r.Tables {
		replicas := 0
		for _, n := range t.Shares {
			if n < 1 || n > replicasPerTable {
				return row{}, errors.Errorf("table %q has a share of %d", t.ID, n)
			}
			replicas += n
		}
		if len(t.Shares) > maxVersions || !t.Unknown && replicas == 0 {
			return row{}, errors.Errorf("table %q has %d versions", t.ID, len(t.Shares))
		}
	}
	return r, nil
}

// unknownRow stands for a row that cannot be read.
var unknownRow = row{Tables: []Table{{ID: "unreadable", Unknown: true}}}

// agreed returns the version of a stream if all tables name the same one.
func (r row) agreed(key Key) (string, bool) {
	version := ""
	for i, t := range r.Tables {
		v, ok := t.VersionOf(key)
		if !ok || i > 0 && v != version {
			return "", false
		}
		version = v
	}
	return version, len(r.Tables) > 0
}

func (r row) newest() Table { return r.Tables[len(r.Tables)-1] }

// merge returns the row with the tables of another one that it lacks. What either of them has dropped is dropped.
func (r row) merge(other row) row {
	merged := row{First: max(r.First, other.First)}
	for _, t := range slices.Concat(r.Tables, other.Tables) {
		if t.Seq >= merged.First && !slices.ContainsFunc(merged.Tables, func(have Table) bool { return have.ID == t.ID }) {
			merged.Tables = append(merged.Tables, t)
		}
	}
	slices.SortFunc(merged.Tables, func(a, b Table) int { return cmp.Or(cmp.Compare(a.Seq, b.Seq), strings.Compare(a.ID, b.ID)) })
	if over := len(merged.Tables) - maxTables; over > 0 {
		merged.Tables = merged.Tables[over:]
		merged.Tables[0] = Table{ID: merged.Tables[0].ID, Seq: merged.Tables[0].Seq, Unknown: true, Settled: true}
	}
	return merged
}

// lacks reports whether another row tells more than this one.
func (r row) lacks(other row) bool { return r.First < other.First || len(r.Tables) < len(other.Tables) }

func (r row) clone() row {
	tables := slices.Clone(r.Tables)
	for i := range tables {
		tables[i].Shares = maps.Clone(tables[i].Shares)
	}
	return row{First: r.First, Tables: tables}
}

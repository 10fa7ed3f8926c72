package lease

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowlink/mallowlink/pkg/platform"
)

// Directory lists the VMs that may hold leases and the holder of each lease, according to the rows of the table.
type Directory struct {
	Holders map[string]Holder
	// VMs are those whose sessions are not over, in the order in which other VMs should poll them.
	VMs []SessionVM
	// SettledGeneration is the highest generation of the table service that is known to have settled: no VM relies on what
	// the service held before its return any more. NeverUsed says that no VM has had a session yet.
	SettledGeneration uint64
	NeverUsed         bool
}

// Settled reports whether a generation of the table service has settled.
func (d Directory) Settled(generation uint64) bool {
	return d.NeverUsed || d.SettledGeneration >= generation
}

// SessionVM is a VM as its session row describes it.
type SessionVM struct {
	ID          string
	Incarnation string
	Address     string
	// Capacity is the VM's relative capacity for work, compared with other VMs.
	Capacity float64
	Draining bool
	// SettledGeneration is the highest generation of the table service that the VM knows to have settled.
	SettledGeneration uint64
}

// ReadDirectory builds a directory from rows of the table. Rows that cannot be decoded are skipped.
func ReadDirectory(rows []platform.Row) Directory {
	d := Directory{Holders: map[string]Holder{}}
	sessions, leases, _ := splitRows(rows)
	d.NeverUsed = len(sessions) == 0
	for _, row := range sessions {
		s, err := decodeSession(row)
		if err != nil {
			continue
		}
		d.SettledGeneration = max(d.SettledGeneration, s.SettledGeneration)
		if s.over() {
			continue
		}
		s.VM = strings.TrimPrefix(row.Key, sessionPrefix)
		d.VMs = append(d.VMs, s.toSessionVM())
	}
	for _, row := range leases {
		l, err := decodeLease(row)
		if err == nil && l.Holder != "" {
			d.Holders[strings.TrimPrefix(row.Key, leasePrefix)] = l.toHolder()
		}
	}
	SortVMs(d.VMs)
	return d
}

// Directory returns the directory according to the rows that this VM listed last. VMs that are proven gone are
// left out; this VM is described by its own state.
func (m *Manager) Directory() Directory {
	d := Directory{Holders: map[string]Holder{}}
	m.mu.RLock()
	defer m.mu.RUnlock()
	d.SettledGeneration = m.settledGeneration
	for vm, s := range m.sessions {
		if vm == m.cfg.ID || s.malformed || s.over() || m.fleet.Gone(vm, s.Incarnation) {
			continue
		}
		d.VMs = append(d.VMs, s.toSessionVM())
	}
	if m.own.created != 0 && !m.closed {
		d.VMs = append(d.VMs, SessionVM{
			ID: m.cfg.ID, Incarnation: m.cfg.Incarnation, Address: m.cfg.Address,
			Capacity: m.cfg.Capacity, Draining: m.draining, SettledGeneration: m.settledGeneration,
		})
	}
	for name, l := range m.leases {
		if l.Holder != "" && !l.malformed {
			d.Holders[name] = l.toHolder()
		}
	}
	SortVMs(d.VMs)
	return d
}

func (s sessionRow) toSessionVM() SessionVM {
	return SessionVM{
		ID: s.VM, Incarnation: s.Incarnation, Address: s.Address, Capacity: s.Capacity, Draining: s.Draining,
		SettledGeneration: s.SettledGeneration,
	}
}

func (l leaseRow) toHolder() Holder {
	return Holder{VM: l.Holder, Incarnation: l.Incarnation, Address: l.Address, Fencing: l.Fencing}
}

// SortVMs sorts the VMs so that all VMs of the fleet get the same order: VMs that do not drain come first, then
// those of higher capacity, then by the hash of the ID.
func SortVMs(vms []SessionVM) {
	slices.SortFunc(vms, func(a, b SessionVM) int {
		if a.Draining != b.Draining {
			if a.Draining {
				return 1
			}
			return -1
		}
		return cmp.Or(
			cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)),
		)
	})
}

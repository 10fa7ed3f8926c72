package lease

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowlink/mallowlink/pkg/platform"
)

// Directory is what the rows say of the VMs that may hold leases, and of who holds which.
type Directory struct {
	Holders map[string]Holder
	// VMs are those whose sessions are not over, in the order in which other VMs turn to them.
	VMs []SessionVM
}

// SessionVM is a VM with a session.
type SessionVM struct {
	ID          string
	Incarnation string
	Address     string
	// Capacity says how much work the VM can bear, compared with others.
	Capacity float64
	Draining bool
}

// ReadDirectory reads rows of the table. Rows that cannot be read are left out.
func ReadDirectory(rows []platform.Row) Directory {
	d := Directory{Holders: map[string]Holder{}}
	sessions, leases, _ := split(rows)
	for _, row := range sessions {
		s, err := decodeSession(row)
		if err != nil || s.over() {
			continue
		}
		s.VM = strings.TrimPrefix(row.Key, sessionPrefix)
		d.VMs = append(d.VMs, s.public())
	}
	for _, row := range leases {
		l, err := decodeLease(row)
		if err == nil && l.Holder != "" {
			d.Holders[strings.TrimPrefix(row.Key, leasePrefix)] = l.public()
		}
	}
	OrderVMs(d.VMs)
	return d
}

// Directory returns what the rows say, as this VM has listed them last.
func (m *Manager) Directory() Directory {
	d := Directory{Holders: map[string]Holder{}}
	m.mu.RLock()
	defer m.mu.RUnlock()
	for vm, s := range m.sessions {
		if vm == m.cfg.ID || s.malformed || s.over() || m.fleet.Gone(vm, s.Incarnation) {
			continue
		}
		d.VMs = append(d.VMs, s.public())
	}
	if m.own.created != 0 && !m.closed {
		d.VMs = append(d.VMs, SessionVM{
			ID: m.cfg.ID, Incarnation: m.cfg.Incarnation, Address: m.cfg.Address,
			Capacity: m.cfg.Capacity, Draining: m.draining,
		})
	}
	for name, l := range m.leases {
		if l.Holder != "" && !l.malformed {
			d.Holders[name] = l.public()
		}
	}
	OrderVMs(d.VMs)
	return d
}

func (s sessionRow) public() SessionVM {
	return SessionVM{ID: s.VM, Incarnation: s.Incarnation, Address: s.Address, Capacity: s.Capacity, Draining: s.Draining}
}

func (l leaseRow) public() Holder {
	return Holder{VM: l.Holder, Incarnation: l.Incarnation, Address: l.Address, Fencing: l.Fencing}
}

// OrderVMs puts the VMs into one order on all VMs: those that drain last, the more able first.
func OrderVMs(vms []SessionVM) {
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

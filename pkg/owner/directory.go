package owner

import (
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/work"
)

// Directory implements work.Directory: the owner of a group is the process that holds its lease.
type Directory struct {
	vm          string
	incarnation string
	local       work.Owner
	leases      lease.View
	peerClient  peer.Client
}

// NewDirectory returns a directory for the process with the given VM name and incarnation. For groups
// that this process owns itself, OwnerOf returns local, which needs no network call.
func NewDirectory(vm, incarnation string, local work.Owner, leases lease.View, peerClient peer.Client) *Directory {
	return &Directory{vm: vm, incarnation: incarnation, local: local, leases: leases, peerClient: peerClient}
}

// OwnerOf implements work.Directory.
func (d *Directory) OwnerOf(group string) (string, work.Owner, error) {
	holder, ok := d.leases.HolderOf(lease.GroupPrefix + group)
	if !ok {
		err := result.New(result.NoOwner, "no VM owns group "+group)
		err.RetryAfter = noOwnerRetryAfter
		return "", nil, err
	}
	name := holder.VM + "/" + holder.Incarnation
	if holder.VM == d.vm && holder.Incarnation == d.incarnation {
		return name, d.local, nil
	}
	target := Target{Incarnation: holder.Incarnation}
	return name, &remote{peerClient: d.peerClient, address: holder.Address, target: target}, nil
}

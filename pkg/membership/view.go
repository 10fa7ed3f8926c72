// Package membership tracks which VMs of the fleet exist and respond. VMs exchange heartbeats, poll the
// platform's list of VMs and read each other's session rows in the lease table.
package membership

import "time"

// Member is one VM as seen from this VM.
type Member struct {
	ID            string
	Incarnation   string
	FailureDomain string
	PeerAddress   string
	Draining      bool
	// BundleVersion is the version of the configuration bundle that the VM last reported.
	BundleVersion uint64
	// StoreDown says that the VM last reported that the table service does not respond to it.
	StoreDown bool
	// SilentFor is the time since the last sign of life of the VM, by the clock of this VM.
	SilentFor time.Duration
	// Gone says that the VM is proven gone: it was on the platform's list and no longer is, it has announced its
	// end, or a newer incarnation responds at its address.
	Gone bool
	// GoneFor is the time since the VM was proven gone, or 0 if it is not gone.
	GoneFor time.Duration
}

// View is the fleet as this VM sees it.
type View interface {
	// Self returns this VM.
	Self() Member
	// Members returns every VM that may exist, this one included, ordered by ID.
	Members() []Member
	// Live returns the members that have responded within the heartbeat timeout and are not draining,
	// ordered by ID. This VM is included unless it is draining.
	Live() []Member
}

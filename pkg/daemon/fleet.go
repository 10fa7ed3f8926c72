package daemon

import (
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/bundle/rollout"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/settings"
)

func newMembership(s settings.Settings, id identity, l *listeners, lister platform.VMLister, p pools, log logrus.FieldLogger) *membership.Registry {
	return membership.New(membership.Config{
		ID:            id.VM,
		Incarnation:   id.Incarnation,
		FailureDomain: id.FailureDomain,
		PeerAddress:   l.Peer.Addr().String(),
		BeatInterval:  s.Timeouts.Heartbeat,
		BeatTimeout:   s.Timeouts.Silence,
	}, lister, p.control, log)
}

func newFollower(s settings.Settings, table platform.Table, objects platform.ObjectStore, p pools, members *membership.Registry, registry metrics.Registry, log logrus.FieldLogger) *rollout.Follower {
	return rollout.NewFollower(rollout.Config{
		Store:    rollout.Store{Table: table, Objects: objects},
		Peers:    p.control,
		View:     members,
		Trust:    bundle.Trust{Signers: s.Bundle.Signers, Required: s.Bundle.Required},
		Poll:     s.Bundle.Poll,
		Log:      log,
		Registry: registry,
	})
}

// leaseListeners notifies several listeners of leases gained and lost. The lease manager is built before
// the components that listen, so connectLeaseListeners sets the fields afterwards, but before the manager
// runs.
type leaseListeners struct {
	listeners []lease.Listener
	// state returns the data that this VM passes on to the next holder of a lease.
	state func(name string) []byte
}

func newLeaseListeners() *leaseListeners { return &leaseListeners{} }

// LeaseGained implements lease.Listener.
func (s *leaseListeners) LeaseGained(grant lease.Grant) {
	for _, listener := range s.listeners {
		listener.LeaseGained(grant)
	}
}

// LeaseLost implements lease.Listener.
func (s *leaseListeners) LeaseLost(name string) {
	for _, listener := range s.listeners {
		listener.LeaseLost(name)
	}
}

// handoverState implements lease.Config.State.
func (s *leaseListeners) handoverState(name string) []byte {
	if s.state == nil {
		return nil
	}
	return s.state(name)
}

func newLeases(s settings.Settings, id identity, l *listeners, table platform.Table, members *membership.Registry, follower *rollout.Follower, p pools, set *leaseListeners, log logrus.FieldLogger) *lease.Manager {
	return lease.NewManager(lease.Config{
		ID:          id.VM,
		Incarnation: id.Incarnation,
		Address:     l.Peer.Addr().String(),
		Duration:    s.Timeouts.Lease,
		Names:       func() []string { return leaseNames(follower.Current()) },
		State:       set.handoverState,
	}, table, members, p.control, set, log)
}

// leaseNames returns the names of the leases that must have a holder under the bundle: one for the
// fleet-wide load budget, one for each endpoint group and one for each client account.
func leaseNames(b *bundle.Bundle) []string {
	if b == nil {
		return nil
	}
	names := []string{lease.Budget}
	for group := range b.Groups {
		names = append(names, lease.GroupPrefix+group)
	}
	for account := range b.Accounts {
		names = append(names, lease.AccountPrefix+account)
	}
	return names
}

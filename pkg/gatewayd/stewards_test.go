package gatewayd

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/relay"
)

// unavailableTable is a table whose store does not respond. It counts the calls.
type unavailableTable struct{ calls int }

func (d *unavailableTable) List(context.Context, string) ([]platform.Row, error) {
	d.calls++
	return nil, platform.ErrUnavailable
}

// A VM that is cut off from the store, and knows of too few stewards, must keep the known holders of the
// leases. Otherwise it would no longer contact the homes of client accounts (the VMs that hold the accounts'
// leases), and would spend tokens without their consent.
func TestKnownHoldersRemainWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := test.NewNullLogger()
		table := &unavailableTable{}
		s := &stewardSet{self: relay.VM{ID: "a", Cores: 1}, table: table, log: log, vms: map[string]knownVM{}}
		name := lease.AccountPrefix + "north"
		home := lease.Holder{VM: "b", Incarnation: "1", Address: "b:1", Fencing: 7}
		s.setDirectory(lease.Directory{Holders: map[string]lease.Holder{name: home}, VMs: []lease.SessionVM{{ID: "b", Incarnation: "1", Address: "b:1"}}})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		s.run(ctx)

		require.Positive(t, table.calls)
		holder, ok := s.HolderOf(name)
		require.True(t, ok)
		require.Equal(t, home, holder)
		require.Len(t, s.list(), 1)
		require.False(t, s.isSteward(), "the VM must not become a steward without the store")
	})
}

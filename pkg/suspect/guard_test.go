package suspect

import (
	"context"
	"flag"
	"os"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// fleet passes calls to the services of other VMs, by address.
type fleet map[string]*Service

func (f fleet) Call(_ context.Context, address, method string, args, reply any) error {
	service := f[address]
	switch {
	case service == nil:
		return peer.ErrRefused
	case method == ServiceName+".Crashed":
		return service.Crashed(args.(*NoticeArgs), reply.(*NoticeReply))
	}
	return service.List(args.(*ListArgs), reply.(*ListReply))
}

type view []membership.Member

func (v view) Self() membership.Member      { return v[0] }
func (v view) Members() []membership.Member { return v }
func (v view) Live() []membership.Member    { return v }

func TestCrashesAreToldToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := map[string]*Table{}
		services := fleet{}
		var members view
		for _, name := range []string{"a", "b", "c"} {
			tables[name] = NewTable(OwnerLimits())
			services[name] = NewService(tables[name])
			members = append(members, membership.Member{ID: name, PeerAddress: name})
		}
		members = append(members, membership.Member{ID: "gone", PeerAddress: "gone"})
		announcer := NewPeerAnnouncer(services, members)
		ctx, cancel := context.WithCancel(t.Context())
		go announcer.Run(ctx)
		guard := NewGuard(tables["a"], announcer)
		guard.CrashSeen(fp, "e1/1")
		guard.CrashSeen(fp, "e2/1")
		synctest.Wait()
		for name, table := range tables {
			decision, _ := NewGuard(table, nil).Admit(fp)
			require.Equal(t, Refuse, decision, name)
		}
		fresh := NewTable(OwnerLimits())
		require.NoError(t, announcer.Fetch(ctx, fresh))
		decision, _ := NewGuard(fresh, nil).Admit(fp)
		require.Equal(t, Refuse, decision)
		cancel()
	})
}

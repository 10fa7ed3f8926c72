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

// serviceCaller is a peer.Client that calls the services of other VMs in this process, by address.
type serviceCaller map[string]*Service

func (c serviceCaller) Call(_ context.Context, address, method string, args, reply any) error {
	service := c[address]
	switch {
	case service == nil:
		return peer.ErrRefused
	case method == ServiceName+".Crashed":
		return service.Crashed(args.(*ReportArgs), reply.(*ReportReply))
	}
	return service.List(args.(*ListArgs), reply.(*ListReply))
}

// staticView is a membership.View whose first member is this VM.
type staticView []membership.Member

func (v staticView) Self() membership.Member      { return v[0] }
func (v staticView) Members() []membership.Member { return v }
func (v staticView) Live() []membership.Member    { return v }

// The crashes that one entry VM sees must become known to its peers, and to a VM that starts later, even if a peer cannot
// be reached.
func TestCrashesAreReportedToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tables := map[string]*Table{}
		services := serviceCaller{}
		var members staticView
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

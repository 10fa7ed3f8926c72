package membership_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/fleettest"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// pair is a fleet of two VMs that know each other from the platform's list.
type pair struct {
	net    *fleettest.Network
	lister *fleettest.Lister
	ctx    context.Context
	a, b   *membership.Registry
	// cancels stop the VMs' processes, by VM ID.
	cancels map[string]context.CancelFunc
}

func (p *pair) start(id, incarnation string) *membership.Registry {
	address := id + ":1"
	r := membership.New(membership.Config{ID: id, Incarnation: incarnation, PeerAddress: address},
		p.lister, p.net.Client(address, nil), fleettest.Quiet())
	p.net.Listen(address, nil, map[string]any{membership.ServiceName: r.Service()})
	ctx, cancel := context.WithCancel(p.ctx)
	p.cancels[id] = cancel
	go r.Run(ctx)
	return r
}

// kill stops the process of the VM, which then sends nothing, and makes its address refuse connections.
func (p *pair) kill(id string) {
	p.cancels[id]()
	p.net.Kill(id + ":1")
}

func runPair(t *testing.T, body func(*testing.T, *pair)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &pair{net: fleettest.NewNetwork(1), lister: &fleettest.Lister{}, ctx: ctx, cancels: map[string]context.CancelFunc{}}
		both := []platform.VM{{ID: "a", PeerAddress: "a:1"}, {ID: "b", PeerAddress: "b:1"}}
		p.lister.Set(both)
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		p.a, p.b = p.start("a", "1"), p.start("b", "1")
		time.Sleep(5 * time.Second)
		body(t, p)
	})
}

func TestListedVMsExchangeHeartbeats(t *testing.T) {
	runPair(t, func(t *testing.T, p *pair) {
		require.Len(t, p.a.Live(), 2)
		require.Len(t, p.b.Live(), 2)
		answer, ok := p.a.LastReply("b", "1")
		require.True(t, ok)
		require.Equal(t, "b", answer.Beat.ID)
	})
}

// Guards against taking a VM for ended because connections to it are refused: the network may reject them while the
// process runs. Only a newer incarnation proves it gone.
func TestRefusedConnectionDoesNotProveGone(t *testing.T) {
	runPair(t, func(t *testing.T, p *pair) {
		p.net.SetRefused("a:1", "b:1", true)
		time.Sleep(2 * time.Minute)
		require.False(t, p.a.Gone("b", "1"))
		require.Len(t, p.a.Live(), 1, "a VM that cannot be reached does not count as live")
		p.net.SetRefused("a:1", "b:1", false)
		time.Sleep(3 * time.Second)
		require.Len(t, p.a.Live(), 2)

		p.kill("b")
		time.Sleep(3 * time.Second)
		require.False(t, p.a.Gone("b", "1"))
		p.start("b", "2")
		time.Sleep(3 * time.Second)
		require.True(t, p.a.Gone("b", "1"))
		require.False(t, p.a.Gone("b", "2"))
		require.Len(t, p.a.Live(), 2)
	})
}

// A process that announces its end is gone at once, and its heartbeats that arrive later do not bring it back.
func TestAnnouncedEndProvesGone(t *testing.T) {
	runPair(t, func(t *testing.T, p *pair) {
		late := membership.Beat{ID: "b", Incarnation: "1", PeerAddress: "b:1"}
		p.b.AnnounceEnd(t.Context(), 0)
		require.True(t, p.a.Gone("b", "1"))
		require.Len(t, p.a.Live(), 1)
		var reply membership.Beat
		require.NoError(t, p.a.Service().Beat(&late, &reply))
		p.kill("b")
		time.Sleep(3 * time.Second)
		require.True(t, p.a.Gone("b", "1"))
		p.start("b", "2")
		time.Sleep(3 * time.Second)
		require.False(t, p.a.Gone("b", "2"))
		require.Len(t, p.a.Live(), 2)
	})
}

// Guards against taking a process that has ended, but whose calls may still arrive, for gone at once.
func TestAnnouncedEndProvesGoneOnceItsCallsHaveEnded(t *testing.T) {
	runPair(t, func(t *testing.T, p *pair) {
		p.b.AnnounceEnd(t.Context(), 2*time.Second)
		p.kill("b")
		require.False(t, p.a.Gone("b", "1"))
		require.False(t, p.a.EndAnnounced("b", "1"))
		require.Len(t, p.a.Live(), 1)
		time.Sleep(1900 * time.Millisecond)
		require.False(t, p.a.Gone("b", "1"))
		time.Sleep(200 * time.Millisecond)
		require.True(t, p.a.Gone("b", "1"))
		require.True(t, p.a.EndAnnounced("b", "1"))
	})
}

// A process that starts after the clock was set back has a lower incarnation than the process before
// it. It must be accepted all the same, and a late row of the earlier process must not replace it.
func TestRestartAfterClockSetBack(t *testing.T) {
	runPair(t, func(t *testing.T, p *pair) {
		p.kill("b")
		time.Sleep(3 * time.Second)
		p.start("b", "0")
		time.Sleep(3 * time.Second)
		require.True(t, p.a.Gone("b", "1"))
		require.False(t, p.a.Gone("b", "0"))
		require.Len(t, p.a.Live(), 2)
		_, ok := p.a.LastReply("b", "0")
		require.True(t, ok)

		p.a.RecordSession(membership.SessionUpdate{ID: "b", Incarnation: "1", PeerAddress: "b:1", Renewed: true})
		_, ok = p.a.LastReply("b", "0")
		require.True(t, ok, "a row of the previous process must change nothing")
		require.True(t, p.a.Gone("b", "1"))
	})
}

// A VM that cannot be reached may still be running, so it is not gone while the platform lists it. Once it is
// also off the list, it is gone.
func TestUnresponsiveListedVMIsNotGone(t *testing.T) {
	runPair(t, func(t *testing.T, p *pair) {
		p.net.SetCut("a:1", "b:1", true)
		time.Sleep(2 * time.Minute)
		require.False(t, p.a.Gone("b", "1"))
		require.Len(t, p.a.Live(), 1)
		p.lister.Set([]platform.VM{{ID: "a", PeerAddress: "a:1"}})
		time.Sleep(5 * time.Second)
		require.True(t, p.a.Gone("b", "1"), "off the list and unresponsive")
	})
}

// The platform's list may lag and still lack a VM that has been restarted. Until the new incarnation
// has been known for longer than the lag, its absence from the list must not prove it gone.
func TestLaggingListDoesNotProveANewIncarnationGone(t *testing.T) {
	runPair(t, func(t *testing.T, p *pair) {
		time.Sleep(2 * time.Minute)
		p.lister.Set([]platform.VM{{ID: "a", PeerAddress: "a:1"}})
		p.net.SetCut("a:1", "b:1", true)
		time.Sleep(10 * time.Second)
		require.True(t, p.a.Gone("b", "1"))
		p.a.RecordSession(membership.SessionUpdate{ID: "b", Incarnation: "2", PeerAddress: "b:1"})
		time.Sleep(membership.DefaultListLag / 2)
		require.True(t, p.a.Gone("b", "1"))
		require.False(t, p.a.Gone("b", "2"))
		time.Sleep(membership.DefaultListLag)
		require.True(t, p.a.Gone("b", "2"), "off the list for longer than the list lags")
	})
}

func TestResponsiveUnlistedVMIsNotGone(t *testing.T) {
	runPair(t, func(t *testing.T, p *pair) {
		p.lister.Set(nil)
		time.Sleep(5 * time.Minute)
		require.False(t, p.a.Gone("b", "1"))
	})
}

// FuzzBeat sends arbitrary heartbeats to a VM. None may count as a reply to a heartbeat of its own or
// change what the VM reports of itself.
func FuzzBeat(f *testing.F) {
	f.Add("b", "1", "x", "b:1", true, uint64(7), "group/a", uint64(1024))
	f.Add("", "", "", "", false, uint64(0), "", uint64(0))
	f.Add("a", "9", "", "", false, uint64(0), "", uint64(0))
	f.Fuzz(func(t *testing.T, id, incarnation, domain, address string, draining bool, seen uint64, name string, fencing uint64) {
		r := membership.New(membership.Config{ID: "a", Incarnation: "1"}, &fleettest.Lister{}, nil, fleettest.Quiet())
		beat := membership.Beat{ID: id, Incarnation: incarnation, FailureDomain: domain, PeerAddress: address}
		beat.Status = membership.Status{Draining: draining, LeaseSeen: seen, Claims: []membership.Claim{{Name: name, Fencing: fencing}}}
		var reply membership.Beat
		require.NoError(t, r.Service().Beat(&beat, &reply))
		require.Equal(t, "a", reply.ID)
		_, answered := r.LastReply(id, incarnation)
		require.False(t, answered, "a heartbeat from another VM is not a reply")
		require.Equal(t, "1", r.Self().Incarnation)
		require.False(t, r.Gone("a", "1"))
	})
}

package fleettest

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// Fleet is a set of VMs in one process. Each VM has a real membership registry and a real lease
// manager, which use the fakes of the table service, the network and the platform's list of VMs.
type Fleet struct {
	Ctx    context.Context
	Table  *Table
	Net    *Network
	Lister *Lister
	// Names are the names of the leases that the VMs' managers try to keep held.
	Names []string
	// Attach, if set, is called for each VM before it starts and returns the components that the
	// test adds to it.
	Attach func(*VM) Attachment
	// Log receives the VMs' log lines.
	Log logrus.FieldLogger

	cancel context.CancelFunc

	mu sync.Mutex
	// vms and starts, and the VMs' dead flags, are guarded by mu.
	vms    []*VM
	starts int
}

// Attachment holds the components that a test adds to a VM. Every field may be left unset.
type Attachment struct {
	// Listener is notified of the leases that the VM gains and loses.
	Listener lease.Listener
	// Services are further RPC services of the VM, by name.
	Services map[string]any
	// State, Note and Settled serve as the functions of the same names in the VM's lease.Config.
	State   func(name string) []byte
	Note    func(name string) []byte
	Settled func(name string) <-chan struct{}
	// CallsFor returns how long calls under the VM's leases may still arrive when it ends.
	CallsFor func() time.Duration
}

// VM is one incarnation of a VM of a Fleet: a restart yields a new VM value with the same ID.
type VM struct {
	ID, Address, Incarnation string
	Ctx                      context.Context
	Gate                     *Gate
	PeerClient               peer.Client
	Registry                 *membership.Registry
	Manager                  *lease.Manager

	fleet    *Fleet
	dead     bool
	stop     context.CancelFunc
	listener lease.Listener
	callsFor func() time.Duration

	mu     sync.Mutex
	gains  []lease.Grant
	losses []string
}

// Dead reports whether the VM's process was ended by Kill or Vanish.
func (v *VM) Dead() bool {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return v.dead
}

// Rand returns a random number generator for this incarnation of the VM, derived from the seed.
func (v *VM) Rand(seed int64) *rand.Rand {
	return rand.New(rand.NewSource(seed ^ int64(xxhash.Sum64String(v.ID+v.Incarnation))))
}

// VMs returns every VM that was started, in the order of the starts and including the dead ones.
func (f *Fleet) VMs() []*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*VM(nil), f.vms...)
}

// LeaseGained records the grant and notifies the test's listener, if there is one.
func (v *VM) LeaseGained(grant lease.Grant) {
	v.mu.Lock()
	v.gains = append(v.gains, grant)
	v.mu.Unlock()
	if v.listener != nil {
		v.listener.LeaseGained(grant)
	}
}

// LeaseLost records the loss and notifies the test's listener, if there is one.
func (v *VM) LeaseLost(name string) {
	v.mu.Lock()
	v.losses = append(v.losses, name)
	v.mu.Unlock()
	if v.listener != nil {
		v.listener.LeaseLost(name)
	}
}

// Gains returns the grants that the lease manager has reported to the VM.
func (v *VM) Gains() []lease.Grant {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]lease.Grant(nil), v.gains...)
}

// Losses returns the names of the leases that the manager has reported as lost.
func (v *VM) Losses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.losses...)
}

// gatedRegistry is a registry whose Live blocks while the VM is paused, so that a pause also stops
// the lease manager's guard.
type gatedRegistry struct {
	*membership.Registry
	gate *Gate
}

// Live returns the members that respond. It blocks while the VM is paused.
func (g gatedRegistry) Live() []membership.Member {
	g.gate.Pass()
	return g.Registry.Live()
}

// Quiet returns a logger that discards all log lines.
func Quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// NewFleet returns a fleet without VMs, whose leases have the given names. The seed determines the
// random faults of its table and network.
func NewFleet(ctx context.Context, seed int64, names []string) *Fleet {
	ctx, cancel := context.WithCancel(ctx)
	return &Fleet{
		Ctx: ctx, cancel: cancel, Names: names, Log: Quiet(),
		Table: NewTable(seed), Net: NewNetwork(seed), Lister: &Lister{},
	}
}

// StartAll starts n VMs, named vm0, vm1 and so on, and publishes them on the platform's list.
func (f *Fleet) StartAll(n int) {
	for i := range n {
		f.Start(fmt.Sprintf("vm%d", i))
	}
	f.Publish()
}

// stopTime is how long calls in progress at the end of a test may still take.
const stopTime = 20 * time.Second

// Stop ends every VM, the paused ones included, and waits for the calls in progress.
func (f *Fleet) Stop() {
	f.cancel()
	for _, v := range f.VMs() {
		v.Gate.Open()
	}
	time.Sleep(stopTime)
}

// Publish sets the platform's list to the VMs that are not dead.
func (f *Fleet) Publish() {
	var list []platform.VM
	for _, v := range f.VMs() {
		if !v.Dead() {
			list = append(list, platform.VM{ID: v.ID, FailureDomain: "a", PeerAddress: v.Address})
		}
	}
	f.Lister.Set(list)
}

// Start starts a VM. If a VM with the ID was started before, the new one is another incarnation at
// the same address. Start does not change the platform's list: see Publish.
func (f *Fleet) Start(id string) *VM {
	v := &VM{ID: id, Address: id + ":1", Incarnation: f.nextIncarnation(), Gate: &Gate{}, fleet: f}
	v.Ctx, v.stop = context.WithCancel(f.Ctx)
	v.PeerClient = f.Net.Client(v.Address, v.Gate)
	v.Registry = membership.New(membership.Config{
		ID: id, Incarnation: v.Incarnation, FailureDomain: "a", PeerAddress: v.Address,
	}, f.Lister, v.PeerClient, f.Log.WithField("vm_self", id))
	var attached Attachment
	config := lease.Config{
		ID: id, Incarnation: v.Incarnation, Address: v.Address,
		Names: func() []string { return f.Names },
		State: func(name string) []byte {
			if attached.State == nil {
				return nil
			}
			return attached.State(name)
		},
		Note: func(name string) []byte {
			if attached.Note == nil {
				return nil
			}
			return attached.Note(name)
		},
		Settled: func(name string) <-chan struct{} {
			if attached.Settled == nil {
				return nil
			}
			return attached.Settled(name)
		},
	}
	registry := gatedRegistry{v.Registry, v.Gate}
	v.Manager = lease.NewManager(config, f.Table.Client(id, v.Gate), registry, v.PeerClient, v, f.Log.WithField("vm_self", id))
	if f.Attach != nil {
		attached = f.Attach(v)
	}
	v.listener, v.callsFor = attached.Listener, attached.CallsFor
	f.listen(v, attached.Services)
	go v.Registry.Run(v.Ctx)
	go v.Manager.Run(v.Ctx)
	f.mu.Lock()
	f.vms = append(f.vms, v)
	f.mu.Unlock()
	return v
}

func (f *Fleet) nextIncarnation() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	return fmt.Sprintf("%016x", f.starts)
}

func (f *Fleet) listen(v *VM, extra map[string]any) {
	v.Registry.SetStatus(func() membership.Status {
		var s membership.Status
		v.Manager.AddStatus(&s)
		return s
	})
	v.Registry.OnChange(v.Manager.Wake)
	services := map[string]any{
		membership.ServiceName: v.Registry.Service(),
		lease.ServiceName:      v.Manager.Service(),
	}
	for name, service := range extra {
		services[name] = service
	}
	f.Net.Listen(v.Address, v.Gate, services)
}

// Kill ends the VM's process. The VM's address refuses connections from then on.
func (f *Fleet) Kill(v *VM) {
	f.Net.Kill(v.Address)
	f.terminate(v)
}

// End ends the VM's process after a planned stop: it uses no lease any more, and announces its end to the other VMs.
func (f *Fleet) End(v *VM) {
	v.Manager.Release()
	ctx, cancel := context.WithTimeout(v.Ctx, endAnnouncementTimeout)
	defer cancel()
	callsFor := time.Duration(0)
	if v.callsFor != nil {
		callsFor = v.callsFor()
	}
	v.Registry.AnnounceEnd(ctx, callsFor)
	f.Kill(v)
}

const endAnnouncementTimeout = 500 * time.Millisecond

// Vanish ends the whole VM. Calls to its address get no response from then on.
func (f *Fleet) Vanish(v *VM) {
	f.Net.Vanish(v.Address)
	f.terminate(v)
}

func (f *Fleet) terminate(v *VM) {
	f.mu.Lock()
	v.dead = true
	f.mu.Unlock()
	v.stop()
	v.Gate.Open()
}

// Holders returns the VMs that are not dead and that hold the lease according to their own clocks.
func (f *Fleet) Holders(name string) []*VM {
	var holders []*VM
	for _, v := range f.VMs() {
		if v.Dead() {
			continue
		}
		if _, ok := v.Manager.Held(name); ok {
			holders = append(holders, v)
		}
	}
	return holders
}

const holderPollInterval = 10 * time.Millisecond

// WaitHolder waits until a VM holds the lease and returns that VM, or nil if none does within the
// limit.
func (f *Fleet) WaitHolder(name string, limit time.Duration) *VM {
	deadline := time.Now().Add(limit)
	for {
		if holders := f.Holders(name); len(holders) > 0 {
			return holders[0]
		}
		if !time.Now().Before(deadline) {
			return nil
		}
		time.Sleep(holderPollInterval)
	}
}

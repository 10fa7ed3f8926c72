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

// Fleet is a set of VMs with real registries and lease managers on fakes.
type Fleet struct {
	Ctx    context.Context
	Table  *Table
	Net    *Network
	Lister *Lister
	// Names are the leases that should be held.
	Names []string
	// Attach, if set, adds to a VM that is about to start.
	Attach func(*VM) Attachment
	// Log takes the VMs' log lines.
	Log logrus.FieldLogger

	cancel context.CancelFunc

	mu sync.Mutex
	// vms and starts, and the VMs' dead flags, are guarded by mu.
	vms    []*VM
	starts int
}

// Attachment is what a test adds to a VM.
type Attachment struct {
	Listener lease.Listener
	Services map[string]any
	State    func(name string) []byte
	Note     func(name string) []byte
}

// VM is one VM of a Fleet.
type VM struct {
	ID, Address, Incarnation string
	Ctx                      context.Context
	Gate                     *Gate
	Caller                   peer.Client
	Registry                 *membership.Registry
	Manager                  *lease.Manager

	fleet    *Fleet
	dead     bool
	stop     context.CancelFunc
	listener lease.Listener

	mu     sync.Mutex
	gains  []lease.Grant
	losses []string
}

// Dead reports whether the VM's process has ended.
func (v *VM) Dead() bool {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return v.dead
}

// Rand returns a source of chance of the VM's own, drawn from seed.
func (v *VM) Rand(seed int64) *rand.Rand {
	return rand.New(rand.NewSource(seed ^ int64(xxhash.Sum64String(v.ID+v.Incarnation))))
}

// VMs returns every VM that was started, the dead ones included.
func (f *Fleet) VMs() []*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*VM(nil), f.vms...)
}

// LeaseGained records the grant and passes it on.
func (v *VM) LeaseGained(grant lease.Grant) {
	v.mu.Lock()
	v.gains = append(v.gains, grant)
	v.mu.Unlock()
	if v.listener != nil {
		v.listener.LeaseGained(grant)
	}
}

// LeaseLost records the loss and passes it on.
func (v *VM) LeaseLost(name string) {
	v.mu.Lock()
	v.losses = append(v.losses, name)
	v.mu.Unlock()
	if v.listener != nil {
		v.listener.LeaseLost(name)
	}
}

// Gains returns the grants that the VM has been told of.
func (v *VM) Gains() []lease.Grant {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]lease.Grant(nil), v.gains...)
}

// Losses returns the losses that the VM has been told of.
func (v *VM) Losses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.losses...)
}

// gatedRegistry pauses the manager's guard together with the rest of the VM.
type gatedRegistry struct {
	*membership.Registry
	gate *Gate
}

// Live returns the members that answer, unless the VM is paused.
func (g gatedRegistry) Live() []membership.Member {
	g.gate.Pass()
	return g.Registry.Live()
}

// Quiet returns a log that drops everything.
func Quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// NewFleet returns a fleet without VMs whose faults are drawn from seed.
func NewFleet(ctx context.Context, seed int64, names []string) *Fleet {
	ctx, cancel := context.WithCancel(ctx)
	return &Fleet{
		Ctx: ctx, cancel: cancel, Names: names, Log: Quiet(),
		Table: NewTable(seed), Net: NewNetwork(seed), Lister: &Lister{},
	}
}

// StartAll starts n VMs and puts them on the platform's list.
func (f *Fleet) StartAll(n int) {
	for i := range n {
		f.Start(fmt.Sprintf("vm%d", i))
	}
	f.Publish()
}

// drainTime is what calls under way at the end of a test may still take.
const drainTime = 20 * time.Second

// Stop ends every VM and waits for the calls under way.
func (f *Fleet) Stop() {
	f.cancel()
	for _, v := range f.VMs() {
		v.Gate.Open()
	}
	time.Sleep(drainTime)
}

// Publish puts every VM that is not dead on the platform's list.
func (f *Fleet) Publish() {
	var list []platform.VM
	for _, v := range f.VMs() {
		if !v.Dead() {
			list = append(list, platform.VM{ID: v.ID, FailureDomain: "a", PeerAddress: v.Address})
		}
	}
	f.Lister.Set(list)
}

// Start starts a VM. If one of that ID was there, it starts a new incarnation at its address.
func (f *Fleet) Start(id string) *VM {
	v := &VM{ID: id, Address: id + ":1", Incarnation: f.nextIncarnation(), Gate: &Gate{}, fleet: f}
	v.Ctx, v.stop = context.WithCancel(f.Ctx)
	v.Caller = f.Net.Caller(v.Address, v.Gate)
	v.Registry = membership.New(membership.Config{
		ID: id, Incarnation: v.Incarnation, FailureDomain: "a", PeerAddress: v.Address,
	}, f.Lister, v.Caller, f.Log.WithField("vm_self", id))
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
	}
	registry := gatedRegistry{v.Registry, v.Gate}
	v.Manager = lease.NewManager(config, f.Table.Client(id, v.Gate), registry, v.Caller, v, f.Log.WithField("vm_self", id))
	if f.Attach != nil {
		attached = f.Attach(v)
	}
	v.listener = attached.Listener
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

func (f *Fleet) listen(v *VM, more map[string]any) {
	v.Registry.SetStatus(func() membership.Status {
		var s membership.Status
		s.StoreDown, s.LeaseSeen, s.Claims = v.Manager.Status()
		return s
	})
	v.Registry.OnChange(v.Manager.Wake)
	services := map[string]any{
		membership.ServiceName: v.Registry.Service(),
		lease.ServiceName:      v.Manager.Service(),
	}
	for name, service := range more {
		services[name] = service
	}
	f.Net.Listen(v.Address, v.Gate, services)
}

// Kill ends the VM's process: its address refuses connections.
func (f *Fleet) Kill(v *VM) {
	f.Net.Kill(v.Address)
	f.end(v)
}

// Vanish ends the whole VM: its address does not answer.
func (f *Fleet) Vanish(v *VM) {
	f.Net.Vanish(v.Address)
	f.end(v)
}

func (f *Fleet) end(v *VM) {
	f.mu.Lock()
	v.dead = true
	f.mu.Unlock()
	v.stop()
	v.Gate.Open()
}

// Holders returns the VMs that hold the lease by their own clocks.
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

const holderPoll = 10 * time.Millisecond

// WaitHolder waits for the lease's holder and returns it, nil if there is none within the limit.
func (f *Fleet) WaitHolder(name string, limit time.Duration) *VM {
	deadline := time.Now().Add(limit)
	for {
		if holders := f.Holders(name); len(holders) > 0 {
			return holders[0]
		}
		if !time.Now().Before(deadline) {
			return nil
		}
		time.Sleep(holderPoll)
	}
}

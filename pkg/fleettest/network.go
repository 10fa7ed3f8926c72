package fleettest

import (
	"context"
	"math/rand"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// Gate simulates a pause of a VM's process: while it is closed, calls of Pass block. The zero value
// is open.
type Gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

// Close pauses the VM until Open is called.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

// Open resumes the VM.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// Pass waits while the VM is paused. A nil gate is always open.
func (g *Gate) Pass() {
	if g == nil {
		return
	}
	for {
		g.mu.Lock()
		closed := g.closed
		g.mu.Unlock()
		if closed == nil {
			return
		}
		<-closed
	}
}

// Network is an in-memory network between VMs. It dispatches calls by reflection to services whose
// methods have the form that net/rpc requires.
type Network struct {
	mu  sync.Mutex
	vms map[string]*networkVM // by address
	cut map[[2]string]bool
	// refused are the pairs of addresses between which connections are refused.
	refused map[[2]string]bool
	loss    float64
	rnd     *rand.Rand
	// Observe, if set, is called with the arguments and the reply of each call that succeeds. It
	// must be set before the first call.
	Observe func(from, to, method string, args, reply any)
}

// networkVM is one VM on the network.
type networkVM struct {
	gate     *Gate
	services map[string]any
	// refusing means that the process has ended, vanished that the whole VM is gone. Both are
	// guarded by Network.mu.
	refusing, vanished bool
}

const networkLatency = time.Millisecond

// NewNetwork returns a network without VMs.
func NewNetwork(seed int64) *Network {
	return &Network{
		vms: map[string]*networkVM{},
		cut: map[[2]string]bool{}, refused: map[[2]string]bool{},
		rnd: rand.New(rand.NewSource(seed)),
	}
}

// Listen makes services, keyed by name, reachable at the address. It replaces the VM that had the
// address before, if any.
func (n *Network) Listen(address string, gate *Gate, services map[string]any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms[address] = &networkVM{gate: gate, services: services}
}

// Kill makes the address refuse connections, as after the end of the VM's process.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if vm := n.vms[address]; vm != nil {
		vm.refusing = true
	}
}

// Vanish makes calls to the address go without response, as after the loss of the whole VM.
func (n *Network) Vanish(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if vm := n.vms[address]; vm != nil {
		vm.vanished = true
	}
}

// SetCut interrupts (cut is true) or restores the connection between two addresses, in both
// directions.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
}

// SetRefused makes the network refuse (refused is true) or allow connections between two addresses, in both directions,
// as a packet filter does that rejects connections. The processes go on running.
func (n *Network) SetRefused(a, b string, refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[[2]string{a, b}] = refused
	n.refused[[2]string{b, a}] = refused
}

// SetLoss sets the share of requests, and separately of replies, that are lost: from 0 to 1.
func (n *Network) SetLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

// Client returns a peer client that calls from the given address. Its calls block while the gate is
// closed. The gate may be nil.
func (n *Network) Client(from string, gate *Gate) peer.Client {
	return &networkClient{network: n, from: from, gate: gate}
}

type networkClient struct {
	network *Network
	from    string
	gate    *Gate
}

// route returns the VM at the address to, nil if there is none, and whether the request and the
// reply are lost.
func (n *Network) route(from, to string) (vm *networkVM, lost, replyLost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	vm = n.vms[to]
	lost = n.cut[[2]string{from, to}] || n.rnd.Float64() < n.loss
	replyLost = n.rnd.Float64() < n.loss
	return vm, lost || vm != nil && vm.vanished, replyLost
}

// Call calls the method on the VM at the address. If the request or the reply is lost, Call blocks
// until ctx ends and returns peer.ErrUnreachable.
func (c *networkClient) Call(ctx context.Context, address, method string, args, reply any) error {
	c.gate.Pass()
	defer c.gate.Pass()
	vm, lost, replyLost := c.network.route(c.from, address)
	time.Sleep(networkLatency)
	if lost {
		<-ctx.Done()
		return peer.ErrUnreachable
	}
	if vm == nil || c.network.refuses(vm) || c.network.rejects(c.from, address) {
		return peer.ErrRefused
	}
	response := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan error, 1)
	go func() { done <- c.network.dispatch(vm, method, args, response) }()
	select {
	case <-ctx.Done():
		return peer.ErrUnreachable
	case err := <-done:
		return c.receive(ctx, address, method, args, reply, response, err, replyLost)
	}
}

// receive copies the response into reply, or blocks until ctx ends if the reply is lost.
func (c *networkClient) receive(ctx context.Context, address, method string, args, reply any, response reflect.Value, err error, lost bool) error {
	if lost {
		<-ctx.Done()
		return peer.ErrUnreachable
	}
	time.Sleep(networkLatency)
	if err != nil {
		return err
	}
	reflect.ValueOf(reply).Elem().Set(response.Elem())
	if c.network.Observe != nil {
		c.network.Observe(c.from, address, method, args, reply)
	}
	return nil
}

// rejects reports whether the network refuses connections between two addresses.
func (n *Network) rejects(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refused[[2]string{from, to}]
}

// refuses reports whether the VM's process has ended, so that its address refuses connections.
func (n *Network) refuses(vm *networkVM) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return vm.refusing
}

// dispatch runs the method on the VM, as soon as the VM is not paused, and writes its result to
// response.
func (n *Network) dispatch(vm *networkVM, method string, args any, response reflect.Value) error {
	vm.gate.Pass()
	if n.refuses(vm) {
		return peer.ErrUnreachable
	}
	service, name, _ := strings.Cut(method, ".")
	handler := reflect.ValueOf(vm.services[service]).MethodByName(name)
	if !handler.IsValid() {
		return errors.Errorf("rpc: no method %s", method)
	}
	in := reflect.ValueOf(args)
	if in.Kind() != reflect.Pointer {
		pointer := reflect.New(in.Type())
		pointer.Elem().Set(in)
		in = pointer
	}
	out := handler.Call([]reflect.Value{in, response})
	vm.gate.Pass()
	err, _ := out[0].Interface().(error)
	return err
}

// Lister is a fake of the platform's list of VMs.
type Lister struct {
	mu  sync.Mutex
	vms []platform.VM
}

// Set replaces the list.
func (l *Lister) Set(vms []platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = vms
}

// ListVMs returns the list.
func (l *Lister) ListVMs(context.Context) ([]platform.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]platform.VM(nil), l.vms...), nil
}

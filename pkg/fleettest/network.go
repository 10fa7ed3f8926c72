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

// Gate stops a VM's work while it is closed, as a pause of its process does.
type Gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

// Close pauses the VM.
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

// Network carries calls between VMs by reflection on net/rpc style services.
type Network struct {
	mu    sync.Mutex
	nodes map[string]*Node // by address
	cut   map[[2]string]bool
	loss  float64
	rnd   *rand.Rand
	// Observe, if set before use, is called with each call's arguments and reply.
	Observe func(from, to, method string, args, reply any)
}

// Node is one VM on the network.
type Node struct {
	Gate     *Gate
	services map[string]any
	// refusing says that the process is gone, vanished that the whole VM is.
	refusing, vanished bool
}

const networkLatency = time.Millisecond

// NewNetwork returns a network without VMs.
func NewNetwork(seed int64) *Network {
	return &Network{
		nodes: map[string]*Node{},
		cut:   map[[2]string]bool{},
		rnd:   rand.New(rand.NewSource(seed)),
	}
}

// Listen makes services, by name, reachable at the address. It replaces what was there.
func (n *Network) Listen(address string, gate *Gate, services map[string]any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = &Node{Gate: gate, services: services}
}

// Kill ends the process at the address: connections are refused.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node := n.nodes[address]; node != nil {
		node.refusing = true
	}
}

// Vanish ends the whole VM at the address: nothing answers.
func (n *Network) Vanish(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node := n.nodes[address]; node != nil {
		node.vanished = true
	}
}

// SetCut cuts or mends the way between two addresses, in both directions.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
}

// SetLoss sets the share of requests, and of replies, that are lost.
func (n *Network) SetLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

// Client returns the network as the VM at the address reaches it.
func (n *Network) Caller(from string, gate *Gate) peer.Client {
	return &networkCaller{network: n, from: from, gate: gate}
}

type networkCaller struct {
	network *Network
	from    string
	gate    *Gate
}

// route returns the node that the call reaches, and whether the request and the reply are lost.
func (n *Network) route(from, to string) (node *Node, lost, replyLost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	node = n.nodes[to]
	lost = n.cut[[2]string{from, to}] || n.rnd.Float64() < n.loss
	replyLost = n.rnd.Float64() < n.loss
	return node, lost || node != nil && node.vanished, replyLost
}

// Call carries one call.
func (c *networkCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	c.gate.Pass()
	defer c.gate.Pass()
	node, lost, replyLost := c.network.route(c.from, address)
	time.Sleep(networkLatency)
	if lost {
		<-ctx.Done()
		return peer.ErrUnreachable
	}
	if node == nil || c.network.gone(node) {
		return peer.ErrRefused
	}
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan error, 1)
	go func() { done <- c.network.dispatch(node, method, args, answer) }()
	select {
	case <-ctx.Done():
		return peer.ErrUnreachable
	case err := <-done:
		return c.receive(ctx, address, method, args, reply, answer, err, replyLost)
	}
}

func (c *networkCaller) receive(ctx context.Context, address, method string, args, reply any, answer reflect.Value, err error, lost bool) error {
	if lost {
		<-ctx.Done()
		return peer.ErrUnreachable
	}
	time.Sleep(networkLatency)
	if err != nil {
		return err
	}
	reflect.ValueOf(reply).Elem().Set(answer.Elem())
	if c.network.Observe != nil {
		c.network.Observe(c.from, address, method, args, reply)
	}
	return nil
}

func (n *Network) gone(node *Node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return node.refusing
}

func (n *Network) dispatch(node *Node, method string, args any, answer reflect.Value) error {
	node.Gate.Pass()
	if n.gone(node) {
		return peer.ErrUnreachable
	}
	service, name, _ := strings.Cut(method, ".")
	handler := reflect.ValueOf(node.services[service]).MethodByName(name)
	if !handler.IsValid() {
		return errors.Errorf("rpc: no method %s", method)
	}
	in := reflect.ValueOf(args)
	if in.Kind() != reflect.Pointer {
		boxed := reflect.New(in.Type())
		boxed.Elem().Set(in)
		in = boxed
	}
	out := handler.Call([]reflect.Value{in, answer})
	node.Gate.Pass()
	err, _ := out[0].Interface().(error)
	return err
}

// Lister is the platform's list of VMs.
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

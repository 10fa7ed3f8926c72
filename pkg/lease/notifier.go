package lease

import (
	"context"
	"sync"
)

// notifier delivers events to the listener one at a time and in order, on a goroutine of its own, so that the
// listener runs without the locks of those that add the events.
type notifier struct {
	listener Listener
	ready    chan struct{}

	mu    sync.Mutex
	queue []func() // guarded by mu
}

func newNotifier(listener Listener) *notifier {
	return &notifier{listener: listener, ready: make(chan struct{}, 1)}
}

func (n *notifier) gained(grant Grant) {
	n.push(func() { n.listener.LeaseGained(grant) })
}

func (n *notifier) lost(name string, done func()) {
	n.push(func() {
		n.listener.LeaseLost(name)
		if done != nil {
			done()
		}
	})
}

func (n *notifier) push(call func()) {
	n.mu.Lock()
	n.queue = append(n.queue, call)
	n.mu.Unlock()
	select {
	case n.ready <- struct{}{}:
	default:
	}
}

func (n *notifier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.ready:
		}
		for _, call := range n.takeQueued() {
			call()
		}
	}
}

func (n *notifier) takeQueued() []func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	calls := n.queue
	n.queue = nil
	return calls
}

package rollout

import (
	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/chart"
)

// Bounds of the changes that a VM keeps for its peers.
const (
	maxChanges     = 64
	maxChangeBytes = 1 << 20
)

// held is a bundle in force with what peers need to get it. It is immutable, but for the state of
// its life, which is guarded by Follower.mu.
type held struct {
	bundle   *bundle.Bundle
	envelope *bundle.Envelope
	hash     string
	changes  []Change
	life     *chart.Machine
}

// after returns the changes to keep once next, with the given hash, follows h.
func (h *held) after(next *bundle.Envelope, hash string) []Change {
	if h == nil {
		return nil
	}
	changes := append([]Change(nil), h.changes...)
	changes = append(changes, newChange(h.envelope, h.hash, next, hash))
	size := 0
	for i := len(changes) - 1; i >= 0; i-- {
		size += len(changes[i].Head) + len(changes[i].Delta)
		if size > maxChangeBytes || len(changes)-i > maxChanges {
			return changes[i+1:]
		}
	}
	return changes
}

// since returns the changes that lead from the bundle with the given hash to h, or nil if they are
// not kept or would not be smaller than the whole.
func (h *held) since(hash string) []Change {
	for i, change := range h.changes {
		if change.From != hash {
			continue
		}
		size := 0
		for _, c := range h.changes[i:] {
			size += len(c.Delta)
		}
		if size > len(h.envelope.Body) {
			return nil
		}
		return h.changes[i:]
	}
	return nil
}

// follow applies the changes to h's envelope one after the other.
func (h *held) follow(changes []Change) (*bundle.Envelope, error) {
	e := h.envelope
	for _, change := range changes {
		next, err := change.apply(e)
		if err != nil {
			return nil, err
		}
		e = next
	}
	return e, nil
}

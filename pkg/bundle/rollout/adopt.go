package rollout

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// ErrOlder says that a bundle is not later than the one in force.
var ErrOlder = errors.New("rollout: bundle is not later than the one in force")

// ErrFork says that a bundle names another predecessor than the bundle in force.
var ErrFork = errors.New("rollout: bundle follows another than the one in force")

// candidate is a version on its way into force.
type candidate struct {
	version uint64
	life    *chart.Machine
}

func (f *Follower) newCandidate(version uint64) *candidate {
	return &candidate{version: version, life: chart.NewMachine(life)}
}

// PollStore reads the pointer row once and brings a later version into force.
func (f *Follower) PollStore(ctx context.Context) {
	short, cancel := context.WithTimeout(ctx, pointerTimeout)
	pointer, err := f.cfg.Store.Pointer(short)
	cancel()
	if errors.Is(err, platform.ErrNotFound) {
		return
	}
	if err != nil {
		f.fail("store", err)
		return
	}
	switch h := f.held.Load(); {
	case h == nil || pointer.Version > h.bundle.Version:
		f.fetchFromStore(ctx, f.newCandidate(pointer.Version), pointer)
	case pointer.Version < h.bundle.Version:
		f.meters.older.Inc(1)
	case pointer.Hash != h.hash:
		f.mu.Lock()
		f.refuse(pointer.Hash, "store", ErrFork)
		f.mu.Unlock()
	}
}

// fetchFromStore takes the delta to the version where it fits, else asks peers, else takes the whole.
func (f *Follower) fetchFromStore(ctx context.Context, c *candidate, pointer Pointer) {
	if h := f.held.Load(); h != nil && h.hash == pointer.Previous {
		if f.try(c, "store_delta", func() (*bundle.Envelope, error) { return f.storeDelta(ctx, h, pointer) }) {
			return
		}
	}
	if f.askPeers(ctx, c) {
		return
	}
	f.try(c, "store", func() (*bundle.Envelope, error) { return f.storeWhole(ctx, pointer) })
}

func (f *Follower) storeDelta(ctx context.Context, h *held, pointer Pointer) (*bundle.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, deltaTimeout)
	defer cancel()
	change, err := f.cfg.Store.change(ctx, pointer)
	if err != nil {
		return nil, err
	}
	return h.follow([]Change{change})
}

func (f *Follower) storeWhole(ctx context.Context, pointer Pointer) (*bundle.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, wholeTimeout)
	defer cancel()
	data, err := f.cfg.Store.Envelope(ctx, pointer)
	if err != nil {
		return nil, err
	}
	return bundle.ParseEnvelope(data)
}

// PollPeers asks peers that report a later version for it.
func (f *Follower) PollPeers(ctx context.Context) {
	newest := uint64(0)
	for _, m := range f.cfg.View.Live() {
		newest = max(newest, m.BundleVersion)
	}
	if newest > f.Version() {
		f.askPeers(ctx, f.newCandidate(newest))
	}
}

// askPeers asks a few peers that report the candidate's version or a later one.
func (f *Follower) askPeers(ctx context.Context, c *candidate) bool {
	reports := func(m membership.Member) bool { return m.BundleVersion >= c.version }
	for _, address := range f.choosePeers(askedPeers, reports) {
		if f.fetchFromPeer(ctx, c, address) {
			return true
		}
	}
	return false
}

// choosePeers returns the addresses of at most n live peers that are fit, in random order.
func (f *Follower) choosePeers(n int, fit func(membership.Member) bool) []string {
	var addresses []string
	self := f.cfg.View.Self().ID
	for _, m := range f.cfg.View.Live() {
		if m.ID != self && fit(m) {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	f.randMu.Lock()
	defer f.randMu.Unlock()
	f.cfg.Rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

func (f *Follower) fetchFromPeer(ctx context.Context, c *candidate, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return f.try(c, "peer", func() (*bundle.Envelope, error) { return f.peerBundle(ctx, address) })
}

func (f *Follower) peerBundle(ctx context.Context, address string) (*bundle.Envelope, error) {
	var args FetchArgs
	h := f.held.Load()
	if h != nil {
		args = FetchArgs{Have: h.bundle.Version, HaveHash: h.hash}
	}
	var reply FetchReply
	if err := f.cfg.Peers.Call(ctx, address, fetchMethod, args, &reply); err != nil {
		return nil, err
	}
	if reply.Version <= args.Have {
		return nil, ErrOlder
	}
	if len(reply.Changes) > 0 && h != nil {
		return h.follow(reply.Changes)
	}
	data, err := decompress(reply.Whole)
	if err != nil {
		return nil, err
	}
	return bundle.ParseEnvelope(data)
}

// try fetches the candidate in one way, verifies it and brings it into force.
func (f *Follower) try(c *candidate, source string, fetch func() (*bundle.Envelope, error)) bool {
	if c.life.Fire(EventFetch) != nil {
		return false
	}
	e, err := fetch()
	if err != nil {
		f.fire(c.life, EventUnavailable)
		if !errors.Is(err, ErrOlder) {
			f.fail(source, err)
		}
		return false
	}
	f.fire(c.life, EventFetched)
	err = f.adopt(c, e, source)
	if errors.Is(err, ErrOlder) {
		return true
	}
	return err == nil
}

func (f *Follower) fire(m *chart.Machine, event chart.Event) {
	if err := m.Fire(event); err != nil {
		f.log.WithFields(logrus.Fields{"event": "bundle_chart_rejected", "error": err.Error()}).Error("")
	}
}

// adopt verifies the envelope and brings it into force if it is later than the bundle in force.
func (f *Follower) adopt(c *candidate, e *bundle.Envelope, source string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, hash := f.held.Load(), e.Hash()
	if before != nil && before.hash == hash {
		f.fire(c.life, EventNewer)
		return ErrOlder
	}
	b, err := f.verify(before, e)
	if errors.Is(err, ErrOlder) {
		f.meters.older.Inc(1)
		f.fire(c.life, EventNewer)
		return err
	}
	if err != nil {
		f.fire(c.life, EventInvalid)
		f.refuse(hash, source, err)
		return err
	}
	f.fire(c.life, EventValid)
	next := &held{bundle: b, envelope: e, hash: hash, changes: before.after(e, hash), life: c.life}
	f.held.Store(next)
	if before != nil {
		f.fire(before.life, EventNewer)
	}
	f.announceInForce(next, source)
	return nil
}

// verify checks signatures before anything else, then version and predecessor.
func (f *Follower) verify(before *held, e *bundle.Envelope) (*bundle.Bundle, error) {
	if err := e.Verify(f.cfg.Trust.Signers, f.cfg.Trust.Required); err != nil {
		return nil, err
	}
	if before == nil {
		return e.Bundle()
	}
	b, err := bundle.Update(before.bundle, before.envelope, e)
	if err != nil {
		return nil, err
	}
	if b.Version <= before.bundle.Version {
		return nil, ErrOlder
	}
	if b.Version == before.bundle.Version+1 && b.Previous != before.hash {
		return nil, ErrFork
	}
	return b, nil
}

// announceInForce logs, calls listeners and tells peers. The caller holds mu.
func (f *Follower) announceInForce(h *held, source string) {
	f.meters.version.Update(int64(h.bundle.Version))
	f.meters.adopted.Inc(1)
	f.log.WithFields(logrus.Fields{
		"event": "bundle_in_force", "version": h.bundle.Version, "hash": h.hash, "source": source,
	}).Info("")
	for _, listener := range f.listeners {
		listener(h.bundle)
	}
	f.tellPeers(h.bundle.Version)
}

// tellPeers announces the version to a few peers, without waiting for them.
func (f *Follower) tellPeers(version uint64) {
	a := Announcement{Version: version, Address: f.cfg.View.Self().PeerAddress}
	behind := func(m membership.Member) bool { return m.BundleVersion < version }
	for _, address := range f.choosePeers(announceFanout, behind) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
			defer cancel()
			_ = f.cfg.Peers.Call(ctx, address, announceMethod, a, &struct{}{})
		}()
	}
}

// refuse logs a bundle that was not accepted, once. The caller holds mu.
func (f *Follower) refuse(hash, source string, err error) {
	f.meters.refused.Inc(1)
	if f.refused != hash {
		f.refused = hash
		f.log.WithFields(logrus.Fields{
			"event": "bundle_refused", "hash": hash, "source": source, "error": err.Error(),
		}).Error("")
	}
}

func (f *Follower) fail(source string, err error) {
	f.meters.failures.Inc(1)
	f.log.WithFields(logrus.Fields{
		"event": "bundle_fetch_failed", "source": source, "error": err.Error(),
	}).Debug("")
}

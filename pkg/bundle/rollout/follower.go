package rollout

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/peer"
)

// DefaultPoll is how often the pointer row is read, at most.
const DefaultPoll = 900 * time.Millisecond

// Bounds of calls.
const (
	pointerTimeout  = 800 * time.Millisecond
	deltaTimeout    = 2 * time.Second
	wholeTimeout    = 10 * time.Second
	peerTimeout     = 3 * time.Second
	announceTimeout = time.Second
	// announceFanout bounds the peers that a VM tells of a new version.
	announceFanout = 8
	// askedPeers bounds the peers that are asked for one version at a time.
	askedPeers = 2
)

// Config is what a Follower needs. Log, Registry and Poll may be left out.
type Config struct {
	Store    Store
	Peers    peer.Client
	View     membership.View
	Trust    bundle.Trust
	Poll     time.Duration
	Log      logrus.FieldLogger
	Registry metrics.Registry
	// Rand spreads polls and chooses peers; it is used under Follower.randMu.
	Rand *rand.Rand
}

// Follower keeps this VM at the bundle in force. It learns of versions from the pointer row and
// from peers, and takes them from either.
type Follower struct {
	cfg    Config
	log    logrus.FieldLogger
	meters meters
	held   atomic.Pointer[held]
	heard  chan Announcement

	randMu sync.Mutex

	// mu is held while a bundle is brought into force and listeners are called.
	mu        sync.Mutex
	listeners []func(*bundle.Bundle)
	// refused holds the hash of the newest version that was refused, to log it once.
	refused string
}

type meters struct {
	version  metrics.Gauge
	adopted  metrics.Counter
	refused  metrics.Counter
	older    metrics.Counter
	failures metrics.Counter
}

// NewFollower returns a follower without a bundle. Run starts it.
func NewFollower(cfg Config) *Follower {
	if cfg.Poll <= 0 {
		cfg.Poll = DefaultPoll
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Follower{
		cfg:   cfg,
		log:   cfg.Log,
		heard: make(chan Announcement, 1),
		meters: meters{
			version:  metrics.GetOrRegisterGauge("bundle.version", cfg.Registry),
			adopted:  metrics.GetOrRegisterCounter("bundle.adopted", cfg.Registry),
			refused:  metrics.GetOrRegisterCounter("bundle.refused", cfg.Registry),
			older:    metrics.GetOrRegisterCounter("bundle.older_seen", cfg.Registry),
			failures: metrics.GetOrRegisterCounter("bundle.failures", cfg.Registry),
		},
	}
}

// Service returns what the VM registers for peers under ServiceName.
func (f *Follower) Service() *Service { return &Service{follower: f} }

// Current returns the bundle in force, or nil before the first.
func (f *Follower) Current() *bundle.Bundle {
	if h := f.held.Load(); h != nil {
		return h.bundle
	}
	return nil
}

// Version returns the version in force, or 0.
func (f *Follower) Version() uint64 {
	if b := f.Current(); b != nil {
		return b.Version
	}
	return 0
}

// OnChange calls fn with the bundle in force, if there is one, and with each later one. Calls are
// made one at a time and in the order of versions; fn must not call OnChange.
func (f *Follower) OnChange(fn func(*bundle.Bundle)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners = append(f.listeners, fn)
	if b := f.Current(); b != nil {
		fn(b)
	}
}

// Status describes the bundle in force for the state dump.
type Status struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	State   string `json:"state"`
	Changes int    `json:"changes_kept"`
}

// Status returns the state for the dump.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.held.Load()
	if h == nil {
		return Status{State: string(StateAnnounced)}
	}
	return Status{Version: h.bundle.Version, Hash: h.hash, State: string(h.life.State()), Changes: len(h.changes)}
}

// Run follows the pointer row and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.every(ctx, f.PollStore) })
	group.Go(func() error { return f.every(ctx, f.PollPeers) })
	group.Go(func() error { return f.listen(ctx) })
	_ = group.Wait()
	return nil
}

// every calls step at once, and again after each pause of half to the whole poll interval.
func (f *Follower) every(ctx context.Context, step func(context.Context)) error {
	for {
		step(ctx)
		if !clock.Sleep(ctx, f.pause()) {
			return ctx.Err()
		}
	}
}

func (f *Follower) pause() time.Duration {
	f.randMu.Lock()
	defer f.randMu.Unlock()
	half := f.cfg.Poll / 2
	return half + time.Duration(f.cfg.Rand.Int64N(int64(half)+1))
}

func (f *Follower) listen(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-f.heard:
			f.fetchFromPeer(ctx, f.newCandidate(a.Version), a.Address)
		}
	}
}

// hear takes in an announcement. While one is being followed up, others are dropped: polls make up
// for them.
func (f *Follower) hear(a Announcement) {
	if a.Version <= f.Version() {
		return
	}
	select {
	case f.heard <- a:
	default:
	}
}

package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/platform"
)

// Default settings of the registry.
const (
	DefaultBeatInterval = time.Second
	DefaultBeatTimeout  = 2500 * time.Millisecond
	DefaultListInterval = 2 * time.Second
	DefaultListLag      = time.Minute
	DefaultFullMesh     = 8
	DefaultPartners     = 6
)

// Config describes this VM and the pace of heartbeats.
type Config struct {
	ID            string
	Incarnation   string
	FailureDomain string
	PeerAddress   string
	// BeatInterval is the time between two heartbeats to one VM.
	BeatInterval time.Duration
	// BeatTimeout is the silence after which a VM no longer counts as live.
	BeatTimeout time.Duration
	// ListInterval is the time between two polls of the platform's list.
	ListInterval time.Duration
	// ListLag bounds how far the platform's list lags behind: a process that has been known for longer
	// and is not on the list is gone.
	ListLag time.Duration
	// FullMesh is the fleet size up to which every VM beats to every other.
	FullMesh int
	// Partners is the number of VMs that each VM beats to in a larger fleet.
	Partners int
}

func (c *Config) setDefaults() {
	setDefault(&c.BeatInterval, DefaultBeatInterval)
	setDefault(&c.BeatTimeout, DefaultBeatTimeout)
	setDefault(&c.ListInterval, DefaultListInterval)
	setDefault(&c.ListLag, DefaultListLag)
	setDefault(&c.FullMesh, DefaultFullMesh)
	setDefault(&c.Partners, DefaultPartners)
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v == 0 {
		*v = def
	}
}

// Registry is this VM's view of the fleet, kept up to date by the platform's list and heartbeats.
type Registry struct {
	cfg    Config
	lister platform.VMLister
	caller peer.Caller
	log    logrus.FieldLogger
	// status and changed are set before Run.
	status  func() Status
	changed func()
	// announce asks for heartbeats ahead of time.
	announce chan struct{}
	// everyone says that the next heartbeats go to every VM.
	everyone atomic.Bool

	mu      sync.Mutex
	records map[string]*record // by VM ID, guarded by mu
}

// New returns a registry that knows only this VM. Without a lister it knows the VMs that it is told of
// by Learn and by their heartbeats.
func New(cfg Config, lister platform.VMLister, caller peer.Caller, log logrus.FieldLogger) *Registry {
	cfg.setDefaults()
	return &Registry{
		cfg:     cfg,
		lister:  lister,
		caller:  caller,
		log:     log,
		status:  func() Status { return Status{} },
		changed: func() {},

		announce: make(chan struct{}, 1),
		records:  map[string]*record{},
	}
}

// Announce sends heartbeats at once, because there is news. It never blocks.
func (r *Registry) Announce() {
	select {
	case r.announce <- struct{}{}:
	default:
	}
}

// AskAll sends heartbeats to every VM at once, not only to partners. It never blocks.
func (r *Registry) AskAll() {
	r.everyone.Store(true)
	r.Announce()
}

// SetStatus sets the source of this VM's changing status. It must be called before Run.
func (r *Registry) SetStatus(status func() Status) { r.status = status }

// OnChange sets a function that is called, without locks, after a VM has started to answer, has
// fallen silent, drains or is proven gone. It must be called before Run.
func (r *Registry) OnChange(changed func()) { r.changed = changed }

// Service returns the service to register with net/rpc under ServiceName.
func (r *Registry) Service() *Service { return &Service{registry: r} }

// Run polls the platform's list and sends heartbeats until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	if r.lister != nil {
		group.Go(func() { every(ctx, r.cfg.ListInterval, r.pollList) })
	}
	group.Go(func() { r.announceLoop(ctx, &group) })
	every(ctx, r.cfg.BeatInterval, func(ctx context.Context) {
		r.beatAll(ctx, &group)
		r.markSilent()
	})
}

// announceLoop sends heartbeats when there is news.
func (r *Registry) announceLoop(ctx context.Context, group *sync.WaitGroup) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.announce:
			r.beatAll(ctx, group)
		}
	}
}

// beatAll sends a heartbeat to every partner that none is under way to.
func (r *Registry) beatAll(ctx context.Context, group *sync.WaitGroup) {
	for _, target := range r.targets() {
		group.Go(func() { r.beat(ctx, target) })
	}
}

func every(ctx context.Context, interval time.Duration, do func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

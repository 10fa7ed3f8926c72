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

// Defaults of the settings in Config.
const (
	DefaultBeatInterval = time.Second
	DefaultBeatTimeout  = 2500 * time.Millisecond
	DefaultListInterval = 2 * time.Second
	DefaultListLag      = time.Minute
	DefaultFullMesh     = 8
	DefaultPartners     = 6
)

// Config describes this VM and sets the intervals and timeouts of the registry.
type Config struct {
	ID            string
	Incarnation   string
	FailureDomain string
	PeerAddress   string
	// BeatInterval is the time between two heartbeats to one VM.
	BeatInterval time.Duration
	// BeatTimeout is how long a VM may be unresponsive and still count as live.
	BeatTimeout time.Duration
	// ListInterval is the time between two polls of the platform's list.
	ListInterval time.Duration
	// ListLag bounds how far the platform's list lags behind. A VM whose process has been known for
	// longer counts as unlisted if the list does not have it.
	ListLag time.Duration
	// FullMesh is the fleet size up to which every VM sends heartbeats to every other.
	FullMesh int
	// Partners is the number of VMs that each VM sends heartbeats to in a larger fleet.
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

// Registry is this VM's view of the fleet, kept up to date by the platform's list, heartbeats and the
// session rows in the lease table.
type Registry struct {
	cfg        Config
	lister     platform.VMLister
	peerClient peer.Client
	log        logrus.FieldLogger
	// status and onChange are set before Run.
	status   func() Status
	onChange func()
	// beatNow requests heartbeats ahead of the next interval.
	beatNow chan struct{}
	// nextToAll says that the next heartbeats go to every VM, not only to partners.
	nextToAll atomic.Bool
	// end is set once AnnounceEnd has been called.
	end atomic.Pointer[announcedEnd]

	mu      sync.Mutex
	records map[string]*record // by VM ID, guarded by mu
}

// New returns a registry that knows only this VM. Without a lister, the registry finds other VMs only
// through RecordSession and their heartbeats.
func New(cfg Config, lister platform.VMLister, peerClient peer.Client, log logrus.FieldLogger) *Registry {
	cfg.setDefaults()
	return &Registry{
		cfg:        cfg,
		lister:     lister,
		peerClient: peerClient,
		log:        log,
		status:     func() Status { return Status{} },
		onChange:   func() {},

		beatNow: make(chan struct{}, 1),
		records: map[string]*record{},
	}
}

// Announce sends heartbeats at once, because the state of this VM or of another one has changed. It
// never blocks.
func (r *Registry) Announce() {
	select {
	case r.beatNow <- struct{}{}:
	default:
	}
}

// AnnounceToAll sends heartbeats to every VM at once, not only to partners. It never blocks.
func (r *Registry) AnnounceToAll() {
	r.nextToAll.Store(true)
	r.Announce()
}

// SetStatus sets the function that returns this VM's current status. It must be called before Run.
func (r *Registry) SetStatus(status func() Status) { r.status = status }

// OnChange sets a function that is called, without locks held, after a VM has become responsive or
// unresponsive, has begun to drain or is proven gone. It must be called before Run.
func (r *Registry) OnChange(changed func()) { r.onChange = changed }

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
		r.sendBeats(ctx, &group)
		r.markUnresponsive()
	})
}

// announceLoop sends heartbeats when Announce requests them.
func (r *Registry) announceLoop(ctx context.Context, group *sync.WaitGroup) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.beatNow:
			r.sendBeats(ctx, group)
		}
	}
}

// sendBeats sends a heartbeat to every target that has none in flight.
func (r *Registry) sendBeats(ctx context.Context, group *sync.WaitGroup) {
	for _, target := range r.pickTargets() {
		group.Go(func() { r.sendBeat(ctx, target) })
	}
}

// every calls do at once and then at each interval, until ctx ends.
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

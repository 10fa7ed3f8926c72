package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mallowlink/mallowlink/pkg/clock"
	"github.com/mallowlink/mallowlink/pkg/peer"
)

const (
	// maxPullWait is the longest time that a pull waits at its source, also at one of an earlier build.
	maxPullWait = 700 * time.Millisecond
	// pullTimeout bounds a pull in addition to its wait. VMs are about 1 ms apart.
	pullTimeout = 300 * time.Millisecond
	// ageCheckInterval is the time between two checks of the age of the updates while they are too old.
	ageCheckInterval = 50 * time.Millisecond
	// sourceBackoff is how long a VM is not polled after it did not respond or had only old updates. The time
	// doubles with each further failure, up to maxSourceBackoff.
	sourceBackoff    = 1500 * time.Millisecond
	maxSourceBackoff = 12 * time.Second
	// readLinger is how long a VM continues to read the store after another VM last polled it.
	readLinger = 3 * time.Second
	// firstReadTimeout bounds how long a pull waits for a source that has just begun to read the store.
	firstReadTimeout = 250 * time.Millisecond
	// sourceRetryInterval is the time after which a VM that reads the store for itself tries again to find a VM
	// to poll.
	sourceRetryInterval = time.Second
	// unresponsiveAfter is the time after which a VM that does not poll counts as unresponsive.
	unresponsiveAfter = 2500 * time.Millisecond
	// startupLookups is how many times a VM that starts looks up the stewards before it reads the store for itself.
	// startupLookupInterval, plus a random part of up to startupLookupJitter, is the time between two lookups: when
	// all VMs start together, there are stewards by then.
	startupLookups        = 2
	startupLookupInterval = 600 * time.Millisecond
	startupLookupJitter   = 200 * time.Millisecond
	// startupTimeout is how long a VM that starts waits for the first lookup and for the updates of a steward
	// that the lookup returned, before it also begins to read the store.
	startupTimeout = 50 * time.Millisecond
	// lookupTimeout bounds a lookup of the stewards. The store responds within milliseconds.
	lookupTimeout = 300 * time.Millisecond
	// switchDelayPerVM, times the number of VMs but at most maxSwitchDelay, is the period over which VMs whose
	// source fails spread their switch to another source.
	switchDelayPerVM = 1500 * time.Microsecond
	maxSwitchDelay   = 300 * time.Millisecond
	// firstReadPollInterval is the time between two checks whether the store has been read for the first time.
	firstReadPollInterval = 5 * time.Millisecond
)

// Reader reads the store and publishes what it reads in the update log.
type Reader interface {
	// Run reads until ctx ends.
	Run(ctx context.Context)
	// Ages returns the ages of the last responses of the store with the operator's rows and with the endpoints.
	Ages() (operator, endpoints time.Duration)
}

// Config holds the dependencies and callbacks of a node.
type Config struct {
	Self      VM
	UpdateLog *UpdateLog
	// Timing returns the intervals and limits in force.
	Timing func() Timing
	// Ages returns the ages of the operator's rows and of the list of endpoints by which this VM acts, from whatever source,
	// and false while it does not have both.
	Ages func() (operator, endpoints time.Duration, known bool)
	// Reader reads the store for this VM and for those that poll it.
	Reader     Reader
	PeerClient peer.Client
	// Stewards returns the stewards that this VM knows, in the order in which to poll them. This VM may be among
	// them.
	Stewards func() []VM
	// FleetSize returns the number of VMs that this VM knows.
	FleetSize func() int
	// ReadStewards reads the list of stewards from the store once.
	ReadStewards func(ctx context.Context) error
	// OnVMChange is called with the description of a VM that polls this one for the first time, has changed, or has
	// become unresponsive, and of this VM when it begins to read the store.
	OnVMChange func(VM)
	// Apply applies updates received from another VM. full says that they are all entries there are. operator and
	// endpoints are the times up to which the operator's rows and the list of endpoints are known to be current.
	Apply func(entries []Entry, full bool, operator, endpoints time.Time)
	Log   logrus.FieldLogger
}

// Node is the participation of one VM in the relay: it polls a source for updates, and serves other VMs.
type Node struct {
	cfg Config
	ctx context.Context

	mu sync.Mutex
	// The fields below are guarded by mu.

	// pulledLog and pulledRevision are the id of the update log that was last pulled, and the revision reached.
	pulledLog      string
	pulledRevision uint64
	// source is the VM that was polled last, empty while this VM reads the store for itself.
	source   string
	backoffs map[string]backoff
	// servedAt is when this VM last received fresh updates from another VM.
	servedAt time.Time
	// readUntil is the time until which this VM reads the store, readingSince when it began. stopReading ends the reading;
	// nil while this VM does not read.
	readUntil    time.Time
	readingSince time.Time
	stopReading  context.CancelFunc
	// readingEnded is closed when the last run of the reader has returned; nil before the first.
	readingEnded chan struct{}
	// lastPull is when each VM that polls this one last did so; pullers are the descriptions of these VMs.
	lastPull map[string]time.Time
	pullers  map[string]VM
}

// backoff says until when a VM is not polled, and how long the last backoff was.
type backoff struct {
	until time.Time
	last  time.Duration
}

// New returns a node. Once ctx ends, the node no longer reads the store and its calls no longer wait.
func New(ctx context.Context, cfg Config) *Node {
	return &Node{
		cfg: cfg, ctx: ctx,
		backoffs: map[string]backoff{}, lastPull: map[string]time.Time{}, pullers: map[string]VM{},
	}
}

// Run keeps this VM's data up to date until ctx ends.
func (n *Node) Run(ctx context.Context) {
	go n.watch(ctx)
	go n.watchAge(ctx)
	n.start(ctx)
	for ctx.Err() == nil {
		source, ok := n.chooseSource(time.Now())
		if !ok {
			n.readFor(sourceRetryInterval + readLinger)
			source, ok = n.chooseSubstitute(time.Now())
		}
		if !ok {
			n.setSource("")
			clock.Sleep(ctx, sourceRetryInterval)
			continue
		}
		n.setSource(source.ID)
		if !n.pull(ctx, source) && ctx.Err() == nil {
			n.backOff(source.ID, time.Now())
			n.delaySwitch(ctx)
		}
	}
}

// start looks for a steward that has updates, so that VMs that start do not all read the store. A VM that finds no
// steward, or one that does not respond, reads the store for itself.
func (n *Node) start(ctx context.Context) {
	// A lookup or pull that takes longer than usual must not delay this VM: the store may be slow, and a steward that the
	// first lookup returns may have started together with this VM.
	fallback := time.AfterFunc(startupTimeout, func() { n.readFor(sourceRetryInterval + readLinger) })
	defer fallback.Stop()
	for i := range startupLookups {
		if i > 0 && !clock.Sleep(ctx, startupLookupInterval+rand.N(startupLookupJitter)) {
			return
		}
		if len(n.cfg.Stewards()) == 0 {
			if err := n.lookUpStewards(ctx); err != nil {
				n.cfg.Log.WithError(err).WithField("event", "stewards_not_read").Warn("could not read the list of stewards from the store")
				return
			}
		}
		if source, ok := n.chooseSource(time.Now()); ok {
			n.pullAtStart(ctx, source)
			return
		}
		if n.isSteward() {
			return
		}
		fallback.Stop()
	}
}

// pullAtStart pulls the first updates from a steward. If that fails, this VM reads the store.
func (n *Node) pullAtStart(ctx context.Context, source VM) {
	n.setSource(source.ID)
	if !n.pull(ctx, source) {
		n.backOff(source.ID, time.Now())
		n.readFor(sourceRetryInterval + readLinger)
	}
}

func (n *Node) lookUpStewards(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	return n.cfg.ReadStewards(ctx)
}

func (n *Node) isSteward() bool {
	return slices.ContainsFunc(n.cfg.Stewards(), func(vm VM) bool { return vm.ID == n.cfg.Self.ID })
}

// chooseSource returns the VM to poll; false if this VM is to read the store for itself. VMs in the failure domain of a source
// that has failed recently come last: they may have lost the store for the same reason.
func (n *Node) chooseSource(now time.Time) (VM, bool) {
	list := n.cfg.Stewards()
	n.mu.Lock()
	defer n.mu.Unlock()
	failed := n.failedDomains(list, now)
	for _, vm := range list {
		if vm.ID == n.cfg.Self.ID {
			return VM{}, false
		}
		if !n.inBackoff(vm, now) && !failed[vm.FailureDomain] {
			return vm, true
		}
	}
	return n.firstSource(list, now)
}

// chooseSubstitute returns a VM to poll for a VM that is to read the store for itself but gets no response from it.
func (n *Node) chooseSubstitute(now time.Time) (VM, bool) {
	operator, endpoints := n.cfg.Reader.Ages()
	_, _, known := n.cfg.Ages()
	if !known || max(operator, endpoints) <= n.cfg.Timing().SourceAge {
		// A VM that has no updates yet has just started, maybe together with all others.
		return VM{}, false
	}
	list := n.cfg.Stewards()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.firstSource(list, now)
}

// firstSource returns the first other VM that has not failed recently. n.mu is held.
func (n *Node) firstSource(list []VM, now time.Time) (VM, bool) {
	for _, vm := range list {
		if vm.ID != n.cfg.Self.ID && !n.inBackoff(vm, now) {
			return vm, true
		}
	}
	return VM{}, false
}

// inBackoff reports whether a VM has failed as a source recently. n.mu is held.
func (n *Node) inBackoff(vm VM, now time.Time) bool {
	return now.Before(n.backoffs[vm.ID].until)
}

// failedDomains returns the known failure domains of the VMs that have failed as sources recently. n.mu is held.
func (n *Node) failedDomains(list []VM, now time.Time) map[string]bool {
	failed := map[string]bool{}
	for _, vm := range list {
		if vm.FailureDomain != "" && n.inBackoff(vm, now) {
			failed[vm.FailureDomain] = true
		}
	}
	return failed
}

// delaySwitch waits for a random time: all VMs have lost the same source, and each requests all entries of the next
// one.
func (n *Node) delaySwitch(ctx context.Context) {
	spread := min(switchDelayPerVM*time.Duration(n.cfg.FleetSize()), maxSwitchDelay)
	clock.Sleep(ctx, rand.N(spread+1))
}

func (n *Node) setSource(id string) {
	n.mu.Lock()
	old := n.source
	n.source = id
	n.mu.Unlock()
	if old != id {
		n.cfg.Log.WithFields(logrus.Fields{"event": "news_source", "from": old, "to": id}).Info("source of updates changed")
	}
}

// Source returns the VM that this VM polls, or an empty string while it reads the store for itself.
func (n *Node) Source() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.source
}

// backOff excludes a VM that failed as a source for some time.
func (n *Node) backOff(id string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := min(max(2*n.backoffs[id].last, sourceBackoff), maxSourceBackoff)
	n.backoffs[id] = backoff{until: now.Add(d), last: d}
}

// pull requests updates from a VM once and applies them. It reports false if the VM does not respond or has only
// old updates.
func (n *Node) pull(ctx context.Context, source VM) bool {
	n.mu.Lock()
	args := PullArgs{From: n.cfg.Self, Board: n.pulledLog, After: n.pulledRevision}
	n.mu.Unlock()
	wait := maxPullWait
	if args.Board == "" {
		wait = firstReadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait+pullTimeout)
	defer cancel()
	sent := clock.Now()
	var reply PullReply
	if err := n.cfg.PeerClient.Call(ctx, source.Address, pullMethod, &args, &reply); err != nil {
		n.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "news_lost", "source": source.ID}).Debug("could not pull updates from the source")
		return false
	}
	if clock.Elapsed(sent, time.Now()) > maxPullWait+2*pullTimeout {
		// This process was paused during the call, so that the ages in the response are no longer valid.
		return false
	}
	n.mu.Lock()
	n.pulledLog, n.pulledRevision = reply.Board, reply.Revision
	n.mu.Unlock()
	n.cfg.Apply(reply.Entries, reply.Full, sent.Add(-reply.OperatorAge), sent.Add(-reply.EndpointsAge))
	if max(reply.OperatorAge, reply.EndpointsAge) > n.cfg.Timing().SourceAge {
		return false
	}
	n.recordServed(source.ID, time.Now())
	return true
}

// recordServed records that a VM has responded with fresh updates. This VM then stops reading the store, unless
// other VMs still poll it.
func (n *Node) recordServed(id string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.backoffs, id)
	n.servedAt = now
	for _, at := range n.lastPull {
		if now.Sub(at) < readLinger {
			return
		}
	}
	if n.readUntil.After(now) {
		n.readUntil = now
	}
}

// readFor makes this VM read the store for at least the given time from now on.
func (n *Node) readFor(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until := time.Now().Add(d); until.After(n.readUntil) {
		n.readUntil = until
	}
	if n.stopReading == nil && n.ctx.Err() == nil {
		defer n.publishVM(n.cfg.Self)
		ctx, cancel := context.WithCancel(n.ctx)
		n.stopReading, n.readingSince = cancel, time.Now()
		before, ended := n.readingEnded, make(chan struct{})
		n.readingEnded = ended
		go func() {
			defer close(ended)
			if before != nil {
				<-before
			}
			n.cfg.Reader.Run(ctx)
		}()
		n.cfg.Log.WithField("event", "reading_store").Info("started to read the store")
	}
}

// watchInterval is the time between two checks whether this VM must still read the store, and for unresponsive VMs.
const watchInterval = 250 * time.Millisecond

// watch ends the reading of the store when it is no longer needed, and marks VMs that have become unresponsive.
func (n *Node) watch(ctx context.Context) {
	clock.Every(ctx, watchInterval, func(now time.Time) {
		n.endReading(now)
		n.markUnresponsive(now)
	})
}

// watchAge makes this VM read the store for itself while its updates are so old that its sources may be unable to renew them
// in time.
func (n *Node) watchAge(ctx context.Context) {
	for ctx.Err() == nil {
		limit := n.cfg.Timing().ReadAge
		operator, endpoints, known := n.cfg.Ages()
		left := limit - max(operator, endpoints)
		if known && left <= 0 {
			n.readFor(readLinger)
		}
		clock.Sleep(ctx, max(left, ageCheckInterval))
	}
}

func (n *Node) endReading(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopReading != nil && now.After(n.readUntil) {
		n.stopReading()
		n.stopReading = nil
		n.cfg.Log.WithField("event", "reading_ended").Info("stopped reading the store")
	}
}

// State describes where a VM receives its updates from.
type State struct {
	// Source is the VM that this VM polls, empty while this VM reads the store for itself.
	Source string `json:"source"`
	// Reading says that this VM reads the store, Askers are the VMs that poll it.
	Reading bool     `json:"reading"`
	Askers  []string `json:"askers"`
}

// State returns where this VM receives its updates from.
func (n *Node) State() State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return State{Source: n.source, Reading: n.stopReading != nil, Askers: slices.Sorted(maps.Keys(n.lastPull))}
}

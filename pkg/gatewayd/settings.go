package gatewayd

import (
	"time"

	"github.com/mallowlink/mallowlink/pkg/placement"
	"github.com/mallowlink/mallowlink/pkg/relay"
)

// Settings are the settings of one VM's process. Some of them can be changed while the process runs.
type Settings struct {
	// VM is the ID of the VM.
	VM            string
	FailureDomain string
	Listen        Listen
	Limits        Limits
	Bounds        Bounds
	// Store is the address of the platform's metadata store, as IP and port.
	Store string
	// FirstStart says that the whole deployment starts for the first time.
	FirstStart bool
	// LogLevel is a logrus level. An empty string stands for info.
	LogLevel string
	// Placement selects the logic by which requests are placed; empty stands for placement.Homes.
	Placement placement.Mode
}

// Listen holds the addresses that the process listens on, as IP and port.
type Listen struct {
	// Callers is the address for callers' requests.
	Callers string
	// Readiness is the address at which the balancer asks whether it should send new callers' connections to
	// this VM.
	Readiness string
	// Peer is the address for calls from other VMs.
	Peer string
	// Metrics is the address that serves metrics and the dump of the process's state.
	Metrics string
	// PeerPublic is the address at which other VMs reach Peer if a proxy or an address translation is in
	// between. It is empty otherwise.
	PeerPublic string
}

// peerAddress returns the address at which other VMs reach this VM.
func (l Listen) peerAddress() string {
	if l.PeerPublic != "" {
		return l.PeerPublic
	}
	return l.Peer
}

// Limits are the resources of the VM that the process may use.
type Limits struct {
	// MemoryBytes is the memory limit of the process; zero stands for no limit.
	MemoryBytes int64
	// Descriptors is the limit of open files and sockets.
	Descriptors int
	// Cores is the share of CPU cores that the process may use; 0.4 stands for 40 % of one core.
	Cores float64
}

// Bounds are the limits that the deployment sets for the behaviour of all VMs.
type Bounds struct {
	// KeyWithdrawal is the time within which a withdrawn key must stop working on every VM.
	KeyWithdrawal time.Duration
	// Drain is the time after the acknowledged leaving of an endpoint within which requests may still reach it, and Config that
	// within which a change of the configuration must be in force; zero for the defaults.
	Drain, Config time.Duration
	// Contact is how long after a disruption the bounds hold for a VM again; zero for the default.
	Contact time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// MinOrderGap is the minimum time between orders of two different VMs to the same endpoint. It is also the
	// duration of a lease.
	MinOrderGap time.Duration
	// Heartbeat is the interval at which endpoints write their entries; zero for the default.
	Heartbeat time.Duration
	// Evacuation is the time after the write of the operator's row within which nothing more may reach an evacuated failure
	// domain; zero for the default.
	Evacuation time.Duration
	Retry      RetryBounds
	Quota      QuotaBounds
	Cold       ColdBounds
}

// RetryBounds limit the retries that all VMs together may make to an endpoint group within Window: to Share of
// the requests, plus Reserve retries.
type RetryBounds struct {
	Share   float64
	Reserve float64
	Window  time.Duration
}

// QuotaBounds set by how much a client account may exceed its limit within Window: by Overage, a share of the
// limit, plus Slack tokens.
type QuotaBounds struct {
	Overage float64
	Slack   float64
	Window  time.Duration
}

// ColdBounds set how many requests all VMs together may send to a cold endpoint within any one second: Overage times the
// rate that the endpoint accepts while it is cold, plus Slack.
type ColdBounds struct {
	Overage float64
	Slack   float64
}

// Defaults of ColdBounds for deployments that set none: within a second a cold endpoint gets a quarter more than its rate
// at most, and two requests more where the rate is low.
const (
	DefaultColdOverage = 1.25
	DefaultColdSlack   = 2
)

const (
	// defaultUpdateBound is the time within which changes must be in force if the settings do not state it.
	defaultUpdateBound = 2 * time.Second
	// defaultContact is the value of Bounds.Contact if the settings do not state it.
	defaultContact = 3 * time.Second
	// contactShare is the share of Bounds.Contact for which what an outage excuses goes on.
	contactShare = 0.95
	// defaultHeartbeat is the interval at which endpoints write their entries if the settings state none.
	defaultHeartbeat = 1200 * time.Millisecond
	// expiryHeartbeats is how many heartbeats of an endpoint must be missing at least before its entry expires in an outage of
	// the store. It expires after three intervals, of which one may have passed before the outage.
	expiryHeartbeats = 2
)

// updateBound returns the greatest age that the list of endpoints and the operator's rows may have at a VM that sends requests by
// them.
func (b Bounds) updateBound() time.Duration {
	return min(orDefault(b.Drain, defaultUpdateBound), orDefault(b.Config, defaultUpdateBound))
}

// timing returns the timing of updates that keeps their age within the bounds.
func (b Bounds) timing() relay.Timing { return relay.NewTiming(b.updateBound()) }

// contact returns how long after an outage what it excuses may go on.
func (b Bounds) contact() time.Duration {
	return time.Duration(contactShare * float64(orDefault(b.Contact, defaultContact)))
}

// minOutage returns the length from which on an outage of the store may have made entries of endpoints expire. A VM that reaches
// the store has newer updates in any case.
func (b Bounds) minOutage() time.Duration {
	return max(expiryHeartbeats*orDefault(b.Heartbeat, defaultHeartbeat), b.timing().WorstAge)
}

func orDefault(d, missing time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return missing
}

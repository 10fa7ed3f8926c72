package membership

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

// ServiceName is the name under which the daemon registers Service with net/rpc.
const ServiceName = "Membership"

const beatMethod = ServiceName + ".Beat"

// Beat is a heartbeat: the state that a VM reports about itself. Both the call and its reply carry one.
type Beat struct {
	ID            string
	Incarnation   string
	FailureDomain string
	PeerAddress   string
	Status        Status
}

// Status is the part of a heartbeat that changes while the process runs.
type Status struct {
	Draining bool
	// Ended says that the process has ended all its work and sends nothing more.
	Ended bool
	// CallsFor is how long calls that the process has made may still arrive after its end; 0 if none can. VMs of earlier builds
	// ignore the field.
	CallsFor      time.Duration
	BundleVersion uint64
	// StoreDown says that the table service does not respond to the VM.
	StoreDown bool
	// LeaseSeen is the highest table version among the lease rows that the VM has listed.
	LeaseSeen uint64
	// StoreGeneration is the generation of the table service that the VM last listed. The VM uses no right of an earlier
	// generation that the rows listed do not confirm.
	StoreGeneration uint64
	// Claims are the leases that name the VM as their holder, as far as the VM itself knows.
	Claims []Claim
}

// Claim is a lease and the fencing number under which a VM holds or held it.
type Claim struct {
	Name    string
	Fencing uint64
}

// Reply is the last reply of another VM to a heartbeat of this VM.
type Reply struct {
	Beat Beat
	// Sent is when this VM sent the heartbeat. The reply was written later than that.
	Sent time.Time
}

// NewIncarnation returns an identifier for a process started at now. The identifiers of one VM sort
// by the start times of their processes.
func NewIncarnation(now time.Time) string {
	return fmt.Sprintf("%016x-%s", now.UnixNano(), uuid.NewString()[:8])
}

// Service receives the heartbeats of other VMs over net/rpc.
type Service struct {
	registry *Registry
}

// Beat records the heartbeat of the calling VM and replies with this VM's own.
func (s *Service) Beat(args *Beat, reply *Beat) error {
	s.registry.recordCall(*args)
	*reply = s.registry.ownBeat()
	return nil
}

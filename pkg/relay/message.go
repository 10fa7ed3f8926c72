package relay

import "time"

// ServiceName is the name under which the daemon registers Service with net/rpc.
const ServiceName = "Relay"

const pullMethod = ServiceName + ".Pull"

// VM is a VM's description of itself.
type VM struct {
	ID            string  `json:"id"`
	Incarnation   string  `json:"incarnation"`
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	Cores         float64 `json:"cores"`
	// Silent says that the VM is unresponsive: it has not polled for a while.
	Silent bool `json:"silent,omitempty"`
}

// PullArgs requests the updates since a revision.
type PullArgs struct {
	From VM
	// Board and After say what the requesting VM has received already: the id of the update log, and the revision.
	Board string
	After uint64
}

// PullReply carries the updates since the requested revision.
type PullReply struct {
	Board    string
	Revision uint64
	// Full says that Entries are all entries of the update log, not only the changed ones.
	Full    bool
	Entries []Entry
	// OperatorAge and EndpointsAge are the ages of the store responses from which the operator's rows and the
	// list of endpoints come.
	OperatorAge, EndpointsAge time.Duration
}

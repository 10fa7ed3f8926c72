package relay

import "time"

// ServiceName is the name under which the daemon registers Service with net/rpc.
const ServiceName = "Relay"

const pullMethod = ServiceName + ".Pull"

// VM is what a VM tells of itself.
type VM struct {
	ID            string  `json:"id"`
	Incarnation   string  `json:"incarnation"`
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	Cores         float64 `json:"cores"`
	// Silent says that the VM has not asked for a while.
	Silent bool `json:"silent,omitempty"`
}

// PullArgs asks for news.
type PullArgs struct {
	From VM
	// Board and After name what the caller knows: the board's id, and the revision.
	Board string
	After uint64
}

// PullReply is the news.
type PullReply struct {
	Board    string
	Revision uint64
	// Full says that Entries are all there are.
	Full    bool
	Entries []Entry
	// OperatorAge and EndpointsAge are how old the answers of the store are that the operator's rows
	// and the list of endpoints rest on.
	OperatorAge, EndpointsAge time.Duration
}

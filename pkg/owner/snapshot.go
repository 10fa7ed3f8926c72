package owner

import (
	"slices"
	"strings"
	"time"

	"github.com/mallowlink/mallowlink/pkg/scheduler"
)

// GroupState describes one owned group for the state dump.
type GroupState struct {
	Group     string             `json:"group"`
	Fencing   uint64             `json:"fencing"`
	Scheduler scheduler.Snapshot `json:"scheduler"`
}

// AttemptState describes one attempt that has not ended, for the state dump.
type AttemptState struct {
	Request  string `json:"request"`
	Attempt  int    `json:"attempt"`
	Account  string `json:"account"`
	Group    string `json:"group"`
	Adapter  string `json:"adapter,omitempty"`
	State    string `json:"state"`
	Endpoint string `json:"endpoint,omitempty"`
	Unread   int    `json:"unread_bytes"`
}

// State describes an Owner for the state dump.
type State struct {
	Groups   []GroupState   `json:"groups"`
	Attempts []AttemptState `json:"attempts"`
}

// Snapshot returns the state of the owned groups and of the attempts that have not ended.
func (o *Owner) Snapshot() State {
	state := State{Groups: []GroupState{}, Attempts: []AttemptState{}}
	for _, r := range o.sortedRunners() {
		state.Groups = append(state.Groups, r.snapshot())
	}
	for _, a := range o.attempts.open() {
		state.Attempts = append(state.Attempts, a.snapshot())
	}
	slices.SortFunc(state.Attempts, func(x, y AttemptState) int { return strings.Compare(x.Request, y.Request) })
	return state
}

// sortedRunners returns the runners of the owned groups, sorted by group name.
func (o *Owner) sortedRunners() []*runner {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []*runner
	for _, r := range o.runners {
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y *runner) int { return strings.Compare(x.group, y.group) })
	return list
}

func (r *runner) snapshot() GroupState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return GroupState{Group: r.group, Fencing: r.grant.Fencing, Scheduler: r.sched.Snapshot(time.Now())}
}

func (a *attempt) snapshot() AttemptState {
	unread := a.log.unreadBytes()
	a.mu.Lock()
	defer a.mu.Unlock()
	state := AttemptState{
		Request:  a.req.ID.Request,
		Attempt:  a.req.ID.Attempt,
		Account:  a.req.Account,
		Group:    a.req.Group,
		State:    string(a.machine.State()),
		Endpoint: a.endpoint,
		Unread:   unread,
	}
	if a.req.Adapter.Adapter != "" {
		state.Adapter = a.req.Adapter.String()
	}
	return state
}

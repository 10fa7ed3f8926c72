package gatewayd

import (
	"slices"
	"strings"
	"time"

	"github.com/mallowlink/mallowlink/pkg/allowance"
	"github.com/mallowlink/mallowlink/pkg/dispatch"
	"github.com/mallowlink/mallowlink/pkg/dispatch/software"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/ratelimit"
	"github.com/mallowlink/mallowlink/pkg/relay"
	"github.com/mallowlink/mallowlink/pkg/suspect"
)

// State is the dump of a process's state. It contains no caller's key. An age is the time since the information
// was last known to be current.
type State struct {
	VM            string          `json:"vm"`
	Incarnation   string          `json:"incarnation"`
	FailureDomain string          `json:"failure_domain"`
	Uptime        string          `json:"uptime"`
	Ready         bool            `json:"ready"`
	Draining      bool            `json:"draining"`
	Requests      int64           `json:"requests"`
	Config        ConfigState     `json:"config"`
	Relay         relay.State     `json:"news"`
	Steward       bool            `json:"steward"`
	Leases        []LeaseState    `json:"leases"`
	VMs           []VMState       `json:"vms"`
	Endpoints     []EndpointState `json:"endpoints"`
	// EvacuatedDomains are the failure domains that the operator evacuates.
	EvacuatedDomains []EvacuatedDomainState   `json:"evacuated_domains"`
	EndpointsAge     string                   `json:"endpoints_age"`
	Engines          []orders.EngineState     `json:"engines"`
	Accounts         []allowance.AccountState `json:"accounts"`
	// Suspects are the requests that were running on endpoints when these crashed.
	Suspects []suspect.Suspect `json:"suspects"`
	// Streams describe the software versions of the groups with resumable streams.
	Streams []software.GroupState `json:"streams"`
	// HeldParts are the parts of prompts for which requests are refused.
	HeldParts []suspect.PartState `json:"held_parts"`
}

// ConfigState describes the configuration in force.
type ConfigState struct {
	Version  uint64 `json:"version"`
	Age      string `json:"age"`
	Routes   int    `json:"routes"`
	Groups   int    `json:"groups"`
	Accounts int    `json:"accounts"`
}

// LeaseState describes a lease that this VM holds.
type LeaseState struct {
	Lease   string `json:"lease"`
	Fencing uint64 `json:"fencing"`
}

// VMState describes another VM as seen from this one. Silent is the time since that VM last responded.
type VMState struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Gone    bool   `json:"gone"`
	Silent  string `json:"silent"`
}

// EvacuatedDomainState describes an evacuated failure domain.
type EvacuatedDomainState struct {
	Domain string `json:"domain"`
	// Since is when this VM learned of the evacuation, in RFC 3339. For is the time since then.
	Since string `json:"since"`
	For   string `json:"for"`
	// Moving is the time left in which work may still be moved out of the domain.
	Moving string `json:"moving"`
	// Kept says that the store has returned from an older copy without the row, and the evacuation ends soon unless the
	// operator writes the row again.
	Kept      bool `json:"kept"`
	Endpoints int  `json:"endpoints"`
}

// EndpointState describes an endpoint as seen from this VM.
type EndpointState struct {
	Endpoint string `json:"endpoint"`
	Group    string `json:"group"`
	Address  string `json:"address"`
	Draining bool   `json:"draining"`
	// Evacuated says that the failure domain of the endpoint is evacuated.
	Evacuated bool `json:"evacuated"`
	dispatch.HealthStatus
	ratelimit.State
}

// state returns the dump of the process's state.
func (p *process) state() any {
	view, coord := p.components.View, p.components.Coordination
	s := State{
		VM: p.components.ID.vm, Incarnation: p.components.ID.incarnation, FailureDomain: p.components.Settings.FailureDomain,
		Uptime: formatDuration(time.Since(p.components.ID.started)), Ready: p.ready(), Draining: p.draining.Load(),
		Requests: p.components.Gateway.Running(), Relay: p.components.Relay.State(), Steward: coord.stewards.isSteward(),
		Leases: coord.stewards.heldLeases(), EndpointsAge: formatDuration(view.endpointsAge()),
		Engines: p.components.Orders.State(), Accounts: p.components.Allowances.limiter.State(),
		Suspects: p.components.Suspects.detector.Suspects(), HeldParts: p.components.Suspects.detector.PartStates(),
		Streams: p.components.Streams.State(),
	}
	if rules := view.rules.Load(); rules != nil {
		s.Config = ConfigState{
			Version: rules.Bundle.Version, Age: formatDuration(view.rulesAge()), Routes: len(rules.Bundle.Routes),
			Groups: len(rules.Bundle.Groups), Accounts: len(rules.Bundle.Accounts),
		}
	}
	s.EvacuatedDomains = view.evacuationState(time.Now())
	for _, m := range coord.stewards.Members() {
		s.VMs = append(s.VMs, VMState{VM: m.ID, Address: m.PeerAddress, Gone: m.Gone, Silent: formatDuration(m.SilentFor)})
	}
	for _, e := range view.roster.View().All() {
		s.Endpoints = append(s.Endpoints, EndpointState{
			Endpoint: e.ID, Group: e.Group, Address: e.Address, Draining: e.Draining, Evacuated: e.Evacuating(),
			HealthStatus: p.components.Dispatcher.HealthStatus(e.Incarnation), State: p.components.Limits.State(e.ID),
		})
	}
	return s
}

func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }

// heldLeases returns the leases that this VM holds, ordered by name.
func (s *stewardSet) heldLeases() []LeaseState {
	var leases []LeaseState
	for name := range s.currentDirectory().Holders {
		if grant, ok := s.Held(name); ok {
			leases = append(leases, LeaseState{Lease: name, Fencing: grant.Fencing})
		}
	}
	slices.SortFunc(leases, func(a, b LeaseState) int { return strings.Compare(a.Lease, b.Lease) })
	return leases
}

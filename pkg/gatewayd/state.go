package gatewayd

import (
	"slices"
	"strings"
	"time"

	"github.com/mallowlink/mallowlink/pkg/allowance"
	"github.com/mallowlink/mallowlink/pkg/dispatch"
	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/pkg/relay"
	"github.com/mallowlink/mallowlink/pkg/suspect"
)

// State is the dump of a process's state. It holds no caller's key. Ages are those of what the process
// believes: how long ago it was certainly true.
type State struct {
	VM            string                   `json:"vm"`
	Incarnation   string                   `json:"incarnation"`
	FailureDomain string                   `json:"failure_domain"`
	Uptime        string                   `json:"uptime"`
	Ready         bool                     `json:"ready"`
	Draining      bool                     `json:"draining"`
	Requests      int64                    `json:"requests"`
	Config        ConfigState              `json:"config"`
	News          relay.State              `json:"news"`
	Steward       bool                     `json:"steward"`
	Leases        []LeaseState             `json:"leases"`
	VMs           []VMState                `json:"vms"`
	Endpoints     []EndpointState          `json:"endpoints"`
	EndpointsAge  string                   `json:"endpoints_age"`
	Engines       []orders.EngineState     `json:"engines"`
	Accounts      []allowance.AccountState `json:"accounts"`
	// Suspects are the requests under which endpoints have ended.
	Suspects []suspect.Suspect `json:"suspects"`
}

// ConfigState is the configuration in force.
type ConfigState struct {
	Version  uint64 `json:"version"`
	Age      string `json:"age"`
	Routes   int    `json:"routes"`
	Groups   int    `json:"groups"`
	Accounts int    `json:"accounts"`
}

// LeaseState is a lease that this VM holds.
type LeaseState struct {
	Lease   string `json:"lease"`
	Fencing uint64 `json:"fencing"`
}

// VMState is another VM as this one sees it.
type VMState struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Gone    bool   `json:"gone"`
	Silent  string `json:"silent"`
}

// EndpointState is an endpoint as this VM sees it.
type EndpointState struct {
	Endpoint string `json:"endpoint"`
	Group    string `json:"group"`
	Address  string `json:"address"`
	Draining bool   `json:"draining"`
	dispatch.Condition
}

// state returns the dump.
func (p *process) state() any {
	b, f := p.parts.Beliefs, p.parts.Fleet
	s := State{
		VM: p.parts.ID.vm, Incarnation: p.parts.ID.incarnation, FailureDomain: p.parts.Settings.FailureDomain,
		Uptime: text(time.Since(p.parts.ID.started)), Ready: p.ready(), Draining: p.draining.Load(),
		Requests: p.parts.Gateway.Running(), News: p.parts.Relay.State(), Steward: f.stewards.active(),
		Leases: f.stewards.held(), EndpointsAge: text(b.endpointsAge()),
		Engines: p.parts.Orders.State(), Accounts: p.parts.Allowances.holder.State(),
		Suspects: p.parts.Suspects.watch.Suspects(),
	}
	if rules := b.rules.Load(); rules != nil {
		s.Config = ConfigState{
			Version: rules.Bundle.Version, Age: text(b.rulesAge()), Routes: len(rules.Bundle.Routes),
			Groups: len(rules.Bundle.Groups), Accounts: len(rules.Bundle.Accounts),
		}
	}
	for _, m := range f.stewards.Members() {
		s.VMs = append(s.VMs, VMState{VM: m.ID, Address: m.PeerAddress, Gone: m.Gone, Silent: text(m.Silent)})
	}
	for _, e := range b.roster.View().All() {
		s.Endpoints = append(s.Endpoints, EndpointState{
			Endpoint: e.ID, Group: e.Group, Address: e.Address, Draining: e.Draining,
			Condition: p.parts.Dispatcher.Condition(e.Incarnation),
		})
	}
	return s
}

func text(d time.Duration) string { return d.Round(time.Millisecond).String() }

// held returns the leases that this VM holds, by name.
func (s *stewards) held() []LeaseState {
	var leases []LeaseState
	for name := range s.current().Holders {
		if grant, ok := s.Held(name); ok {
			leases = append(leases, LeaseState{Lease: name, Fencing: grant.Fencing})
		}
	}
	slices.SortFunc(leases, func(a, b LeaseState) int { return strings.Compare(a.Lease, b.Lease) })
	return leases
}

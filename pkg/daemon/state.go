package daemon

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	adminhttp "github.com/mallowlink/mallowlink/pkg/admin"
	"github.com/mallowlink/mallowlink/pkg/budget"
	"github.com/mallowlink/mallowlink/pkg/bundle/rollout"
	"github.com/mallowlink/mallowlink/pkg/lease"
	"github.com/mallowlink/mallowlink/pkg/membership"
	"github.com/mallowlink/mallowlink/pkg/owner"
	"github.com/mallowlink/mallowlink/pkg/request"
	"github.com/mallowlink/mallowlink/pkg/suspect"
)

// State is the dump of a process's state for operators. It contains no caller's API key.
type State struct {
	VM            string                `json:"vm"`
	Incarnation   string                `json:"incarnation"`
	FailureDomain string                `json:"failure_domain"`
	Uptime        string                `json:"uptime"`
	Bundle        rollout.Status        `json:"bundle"`
	Peers         []PeerState           `json:"peers"`
	Leases        lease.Snapshot        `json:"leases"`
	Budget        *budget.State         `json:"budget,omitempty"`
	Owner         owner.State           `json:"owner"`
	Requests      []request.OpenRequest `json:"requests"`
	Suspects      []suspect.CrashReport `json:"suspects"`
}

// PeerState is the state of another VM as this VM last observed it.
type PeerState struct {
	VM            string `json:"vm"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	Draining      bool   `json:"draining"`
	StoreDown     bool   `json:"store_down"`
	Gone          bool   `json:"gone"`
	BundleVersion uint64 `json:"bundle_version"`
	Silent        string `json:"silent"`
}

// admin holds the HTTP handler for operators.
type admin struct{ handler http.Handler }

func newAdmin(id identity, follower *rollout.Follower, members *membership.Registry, leases *lease.Manager, b budgets, o *owner.Owner, requests *request.Service, suspects *suspect.Table, registry metrics.Registry) admin {
	state := func() any {
		return State{
			VM:            id.VM,
			Incarnation:   id.Incarnation,
			FailureDomain: id.FailureDomain,
			Uptime:        time.Since(id.Started).Round(time.Millisecond).String(),
			Bundle:        follower.Status(),
			Peers:         peerStates(members),
			Leases:        leases.Snapshot(),
			Budget:        budgetState(b.home),
			Owner:         o.Snapshot(),
			Requests:      requests.Open(),
			Suspects:      suspects.Reports(time.Now()),
		}
	}
	return admin{handler: adminhttp.NewHandler(state, registry)}
}

func budgetState(home *budget.Home) *budget.State {
	state, ok := home.Snapshot()
	if !ok {
		return nil
	}
	return &state
}

func peerStates(members *membership.Registry) []PeerState {
	list := []PeerState{}
	for _, m := range members.Members() {
		list = append(list, PeerState{
			VM:            m.ID,
			Incarnation:   m.Incarnation,
			FailureDomain: m.FailureDomain,
			Address:       m.PeerAddress,
			Draining:      m.Draining,
			StoreDown:     m.StoreDown,
			Gone:          m.Gone,
			BundleVersion: m.BundleVersion,
			Silent:        m.SilentFor.Round(time.Millisecond).String(),
		})
	}
	return list
}

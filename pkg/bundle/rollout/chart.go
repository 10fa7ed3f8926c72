// Package rollout accepts bundles into the platform's services and brings the accepted one into
// force on every VM. No VM ever goes back to an earlier version.
package rollout

import (
	_ "embed"

	"github.com/mallowlink/mallowlink/pkg/chart"
)

// States of a bundle version at one VM.
const (
	StateAnnounced  chart.State = "announced"
	StateFetching   chart.State = "fetching"
	StateVerifying  chart.State = "verifying"
	StateInForce    chart.State = "in-force"
	StateSuperseded chart.State = "superseded"
	StateRefused    chart.State = "refused"
)

// Events in the life of a bundle version.
const (
	EventFetch       chart.Event = "fetch"
	EventFetched     chart.Event = "fetched"
	EventUnavailable chart.Event = "unavailable"
	EventValid       chart.Event = "valid"
	EventInvalid     chart.Event = "invalid"
	EventNewer       chart.Event = "newer"
)

//go:embed bundle.chart
var bundleChart []byte

var life = chart.MustParse(bundleChart,
	[]chart.State{StateAnnounced, StateFetching, StateVerifying, StateInForce, StateSuperseded, StateRefused},
	[]chart.Event{EventFetch, EventFetched, EventUnavailable, EventValid, EventInvalid, EventNewer})

// Charts returns the state charts of this package.
func Charts() []*chart.Chart { return []*chart.Chart{life} }

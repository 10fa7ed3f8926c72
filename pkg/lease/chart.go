package lease

import (
	_ "embed"

	"github.com/mallowlink/mallowlink/pkg/chart"
)

//go:embed lease.chart
var leaseChartFile []byte

const (
	stateIdle        chart.State = "idle"
	stateClaiming    chart.State = "claiming"
	stateHeld        chart.State = "held"
	stateProvisional chart.State = "provisional"
	stateSettling    chart.State = "settling"

	eventClaim      chart.Event = "claim"
	eventGranted    chart.Event = "granted"
	eventRefused    chart.Event = "refused"
	eventTake       chart.Event = "take"
	eventLapsed     chart.Event = "lapsed"
	eventSuperseded chart.Event = "superseded"
	eventRelease    chart.Event = "release"
	eventSettled    chart.Event = "settled"
)

var leaseChart = chart.MustParse(leaseChartFile,
	[]chart.State{stateIdle, stateClaiming, stateHeld, stateProvisional, stateSettling},
	[]chart.Event{eventClaim, eventGranted, eventRefused, eventTake, eventLapsed, eventSuperseded, eventRelease, eventSettled})

// Chart returns the state chart of a VM's right to one lease.
func Chart() *chart.Chart { return leaseChart }

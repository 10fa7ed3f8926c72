package membership

import (
	_ "embed"

	"github.com/mallowlink/mallowlink/pkg/chart"
)

//go:embed vm.chart
var vmChartFile []byte

const (
	stateListed   chart.State = "listed"
	stateLive     chart.State = "live"
	stateSilent   chart.State = "silent"
	stateDraining chart.State = "draining"
	stateGone     chart.State = "gone"

	eventAnswered chart.Event = "answered"
	eventDrains   chart.Event = "drains"
	eventMissed   chart.Event = "missed"
	eventUnlisted chart.Event = "unlisted"
	eventEnded    chart.Event = "ended"
)

var vmChart = chart.MustParse(vmChartFile,
	[]chart.State{stateListed, stateLive, stateSilent, stateDraining, stateGone},
	[]chart.Event{eventAnswered, eventDrains, eventMissed, eventUnlisted, eventEnded})

// Chart returns the state chart of a VM as other VMs see it.
func Chart() *chart.Chart { return vmChart }

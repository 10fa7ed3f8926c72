package scheduler

import (
	_ "embed"

	"github.com/mallowlink/mallowlink/pkg/chart"
)

//go:embed endpoint.chart
var endpointChartText []byte

//go:embed adapter.chart
var adapterChartText []byte

// States of an endpoint.
const (
	endpointUnknown chart.State = "unknown"
	endpointAlive   chart.State = "alive"
	endpointDown    chart.State = "down"
	endpointLeaving chart.State = "leaving"
)

// Events of an endpoint.
const (
	eventReport      chart.Event = "report"
	eventRestart     chart.Event = "restart"
	eventUnreachable chart.Event = "unreachable"
	eventRetry       chart.Event = "retry"
	eventLeave       chart.Event = "leave"
	eventReturn      chart.Event = "return"
)

// States of an adapter version on an endpoint.
const (
	adapterAbsent    chart.State = "absent"
	adapterLoading   chart.State = "loading"
	adapterResident  chart.State = "resident"
	adapterUnloading chart.State = "unloading"
)

// Events of an adapter version on an endpoint.
const (
	eventLoad         chart.Event = "load"
	eventLoaded       chart.Event = "loaded"
	eventLoadFailed   chart.Event = "load-failed"
	eventSeen         chart.Event = "seen"
	eventUnload       chart.Event = "unload"
	eventUnloaded     chart.Event = "unloaded"
	eventUnloadFailed chart.Event = "unload-failed"
	eventLost         chart.Event = "lost"
)

var (
	endpointChart = chart.MustParse(endpointChartText,
		[]chart.State{endpointUnknown, endpointAlive, endpointDown, endpointLeaving},
		[]chart.Event{eventReport, eventRestart, eventUnreachable, eventRetry, eventLeave, eventReturn})
	adapterChart = chart.MustParse(adapterChartText,
		[]chart.State{adapterAbsent, adapterLoading, adapterResident, adapterUnloading},
		[]chart.Event{
			eventLoad, eventLoaded, eventLoadFailed, eventSeen,
			eventUnload, eventUnloaded, eventUnloadFailed, eventLost,
		})
)

// Charts returns the state charts that this package interprets.
func Charts() []*chart.Chart {
	return []*chart.Chart{endpointChart, adapterChart}
}

package owner

import (
	_ "embed"

	"github.com/mallowlink/mallowlink/pkg/chart"
)

// States of an attempt, as in attempt.chart.
const (
	stateQueued    chart.State = "queued"
	stateRunning   chart.State = "running"
	stateWithdrawn chart.State = "withdrawn"
	stateEnded     chart.State = "ended"
)

// Events that change an attempt's state, as in attempt.chart.
const (
	eventDispatch chart.Event = "dispatch"
	eventReturn   chart.Event = "return"
	eventWithdraw chart.Event = "withdraw"
	eventEnd      chart.Event = "end"
)

//go:embed attempt.chart
var attemptChartFile []byte

var attemptChart = chart.MustParse(
	attemptChartFile,
	[]chart.State{stateQueued, stateRunning, stateWithdrawn, stateEnded},
	[]chart.Event{eventDispatch, eventReturn, eventWithdraw, eventEnd},
)

// Charts returns the state charts that this package runs.
func Charts() []*chart.Chart { return []*chart.Chart{attemptChart} }

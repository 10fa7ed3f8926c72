package gateway

import (
	_ "embed"

	"github.com/mallowlink/mallowlink/pkg/chart"
)

//go:embed call.chart
var callText []byte

// States and events of call.chart.
const (
	stateReceived   chart.State = "received"
	stateAuthorized chart.State = "authorized"
	stateAdmitted   chart.State = "admitted"
	statePlaced     chart.State = "placed"
	stateAnswering  chart.State = "answering"
	stateAnswered   chart.State = "answered"
	stateRefused    chart.State = "refused"
	stateFailed     chart.State = "failed"

	eventAuthorize chart.Event = "authorize"
	eventAdmit     chart.Event = "admit"
	eventPlace     chart.Event = "place"
	eventHead      chart.Event = "head"
	eventAgain     chart.Event = "again"
	eventResume    chart.Event = "resume"
	eventDone      chart.Event = "done"
	eventRefuse    chart.Event = "refuse"
	eventFail      chart.Event = "fail"
)

var callChart = chart.MustParse(callText,
	[]chart.State{
		stateReceived, stateAuthorized, stateAdmitted, statePlaced, stateAnswering,
		stateAnswered, stateRefused, stateFailed,
	},
	[]chart.Event{
		eventAuthorize, eventAdmit, eventPlace, eventHead, eventAgain, eventResume, eventDone,
		eventRefuse, eventFail,
	},
)

// Charts returns the package's state charts.
func Charts() []*chart.Chart { return []*chart.Chart{callChart} }

package request

import (
	_ "embed"

	"github.com/mallowlink/mallowlink/pkg/chart"
)

//go:embed request.chart
var chartFile []byte

// States of a request. Their names are those in request.chart.
const (
	received      chart.State = "received"
	authenticated chart.State = "authenticated"
	admitted      chart.State = "admitted"
	replaying     chart.State = "replaying"
	recorded      chart.State = "recorded"
	submitted     chart.State = "submitted"
	queued        chart.State = "queued"
	started       chart.State = "started"
	streaming     chart.State = "streaming"
	recovering    chart.State = "recovering"
	backoff       chart.State = "backoff"
	following     chart.State = "following"
	completing    chart.State = "completing"
	releasing     chart.State = "releasing"
	answered      chart.State = "answered"
	replayed      chart.State = "replayed"
	refused       chart.State = "refused"
	failed        chart.State = "failed"
)

// Events that cause a transition. Their names are those in request.chart.
const (
	evAuthenticate chart.Event = "authenticate"
	evAdmit        chart.Event = "admit"
	evRecord       chart.Event = "record"
	evReplay       chart.Event = "replay"
	evDispatch     chart.Event = "dispatch"
	evAccept       chart.Event = "accept"
	evLose         chart.Event = "lose"
	evStart        chart.Event = "start"
	evHead         chart.Event = "head"
	evEnd          chart.Event = "end"
	evNotRun       chart.Event = "not-run"
	evRetry        chart.Event = "retry"
	evDetach       chart.Event = "detach"
	evRefuse       chart.Event = "refuse"
	evFail         chart.Event = "fail"
	evDone         chart.Event = "done"
	evSettle       chart.Event = "settle"
)

var (
	states = []chart.State{
		received, authenticated, admitted, replaying, recorded, submitted, queued, started, streaming,
		recovering, backoff, following, completing, releasing, answered, replayed, refused, failed,
	}
	events = []chart.Event{
		evAuthenticate, evAdmit, evRecord, evReplay, evDispatch, evAccept, evLose, evStart, evHead, evEnd,
		evNotRun, evRetry, evDetach, evRefuse, evFail, evDone, evSettle,
	}
	requestChart = chart.MustParse(chartFile, states, events)
)

// Charts returns the state charts of this package.
func Charts() []*chart.Chart { return []*chart.Chart{requestChart} }

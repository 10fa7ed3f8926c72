package request

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/work"
	"github.com/mallowlink/mallowlink/pkg/work/worktest"
)

// crashCase describes how to bring a request into a given state, so that its VM can be crashed there.
type crashCase struct {
	plan worktest.Plan
	// fault returns a new fault function for the owner; nil means no faults.
	fault func() func(method string) worktest.Fault
	// prepare sets up the fixture before the request, for example by sending an earlier request.
	prepare func(t *testing.T, fx *fixture)
	// leaveAfter is the time after which the caller disconnects; 0 means that it stays connected.
	leaveAfter time.Duration
}

var slowPlan = worktest.Plan{Events: 2, QueueFor: 10 * time.Millisecond, EventEvery: 10 * time.Millisecond}

// faultOnce makes fault functions that return fault for the first call of the method, and None
// for all other calls.
func faultOnce(method string, fault worktest.Fault) func() func(string) worktest.Fault {
	return func() func(string) worktest.Fault {
		var done atomic.Bool
		return func(called string) worktest.Fault {
			if called == method && done.CompareAndSwap(false, true) {
				return fault
			}
			return worktest.None
		}
	}
}

// crashCases holds exactly one case for each non-final state. A new state must be added here.
var crashCases = map[chart.State]crashCase{
	received:      {plan: slowPlan},
	authenticated: {plan: slowPlan},
	admitted:      {plan: slowPlan},
	recorded:      {plan: slowPlan},
	submitted:     {plan: slowPlan},
	queued:        {plan: slowPlan},
	started:       {plan: slowPlan},
	streaming:     {plan: slowPlan},
	completing:    {plan: slowPlan},
	replaying: {plan: slowPlan, prepare: func(t *testing.T, fx *fixture) {
		require.Nil(t, fx.entries[1].Run(t.Context(), newCall("r0", "k"), &sink{}))
	}},
	recovering: {plan: slowPlan, fault: faultOnce("Submit", worktest.LoseReply)},
	backoff:    {plan: slowPlan, fault: faultOnce("Submit", worktest.LoseRequest)},
	following:  {plan: worktest.Plan{Events: 2, EventEvery: time.Second}, leaveAfter: 500 * time.Millisecond},
	releasing:  {plan: worktest.Plan{Unstarted: true, Failure: &work.Failure{Code: result.QueueFull, Outcome: result.NotRun}}},
}

var errCrash = errors.New("crashed by the test")

// TestCrashAtEveryStep guards against non-idempotent requests that run twice, and against wrong
// outcomes, when the VM crashes. It crashes the VM of a request before and after each step and
// sends the request again through another VM. The request must run at most once in total, and an
// outcome of not-run or a delivered answer must agree with what the endpoint ran.
func TestCrashAtEveryStep(t *testing.T) {
	for _, state := range requestChart.States() {
		if requestChart.Final(state) {
			continue
		}
		c, ok := crashCases[state]
		require.True(t, ok, "state %q has no crash case", state)
		for side, name := range []string{"before", "after"} {
			t.Run(fmt.Sprintf("%s %s", name, state), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { crashAt(t, state, Side(side), c) })
			})
		}
	}
	require.Len(t, crashCases, len(slices.DeleteFunc(requestChart.States(), requestChart.Final)))
}

func crashAt(t *testing.T, state chart.State, side Side, c crashCase) {
	crashed := false
	hook := func(id string, at chart.State, s Side) error {
		if id == "r1" && at == state && s == side {
			crashed = true
			return errCrash
		}
		return nil
	}
	fx := newFixture(plan(c.plan), hook)
	if c.fault != nil {
		fx.owner.Fault = c.fault()
	}
	if c.prepare != nil {
		c.prepare(t, fx)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if c.leaveAfter > 0 {
		time.AfterFunc(c.leaveAfter, cancel)
	}
	fx.entries[0].Run(ctx, newCall("r1", "k"), &sink{})
	synctest.Wait()
	for i := range 4 {
		time.Sleep(2 * time.Second)
		id := fmt.Sprintf("r%d", i+2)
		caller := &sink{}
		e := fx.entries[1].Run(t.Context(), newCall(id, "k"), caller)
		require.LessOrEqual(t, fx.endpoint.Total(), 1, "ran twice")
		switch {
		case e == nil:
			require.Equal(t, 1, fx.endpoint.Total())
			require.True(t, caller.whole)
			require.Contains(t, string(caller.body), "answer to r")
		case e.Outcome == result.NotRun:
			require.Zero(t, fx.endpoint.Runs(id))
		}
	}
	require.True(t, crashed, "the case does not reach state %q", state)
}

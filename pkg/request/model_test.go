package request

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/mallowlink/mallowlink/pkg/chart"
	"github.com/mallowlink/mallowlink/pkg/ledger/ledgertest"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/work"
	"github.com/mallowlink/mallowlink/pkg/work/worktest"
)

// kind says whether a request is idempotent, has an Idempotency-Key or is streamed.
type kind int

const (
	keyed    kind = iota // non-idempotent, with an Idempotency-Key
	unkeyed              // non-idempotent, without an Idempotency-Key
	plain                // idempotent
	streamed             // idempotent, as a stream
)

// requestSpec describes one request of the schedule.
type requestSpec struct {
	Kind    kind
	Key     int
	Body    int
	Entry   int
	At      time.Duration
	LeaveAt time.Duration // 0 means that the caller stays connected
	// CrashAt counts hook calls, two for each step; at this one the entry's VM crashes, which ends
	// its work on the request. 0 means never.
	CrashAt int
}

// schedule describes one test run: the requests, the faults and the changes of the group's owner.
type schedule struct {
	Requests    []requestSpec
	OwnerFaults []worktest.Fault
	TableFaults []ledgertest.Fault
	Plans       []worktest.Plan
	KillAt      time.Duration
	MoveAt      time.Duration
}

// pieces is the number of Data events of each answer.
const pieces = 4

const millisecond = int(time.Millisecond)

func drawDuration(t *rapid.T, maxMS int, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, maxMS).Draw(t, label) * millisecond)
}

func drawSchedule(t *rapid.T) schedule {
	s := schedule{
		OwnerFaults: rapid.SliceOfN(rapid.SampledFrom([]worktest.Fault{
			worktest.None, worktest.None, worktest.None, worktest.LoseRequest, worktest.LoseReply, worktest.Duplicate,
		}), 0, 30).Draw(t, "ownerFaults"),
		TableFaults: rapid.SliceOfN(rapid.SampledFrom([]ledgertest.Fault{
			ledgertest.None, ledgertest.None, ledgertest.Down, ledgertest.LoseRequest, ledgertest.LoseReply, ledgertest.Delay,
		}), 0, 10).Draw(t, "tableFaults"),
		KillAt: drawDuration(t, 2000, "killAt"),
		MoveAt: drawDuration(t, 2000, "moveAt"),
	}
	for range rapid.IntRange(1, 8).Draw(t, "sendings") {
		s.Requests = append(s.Requests, drawSending(t))
	}
	for range rapid.IntRange(1, 6).Draw(t, "plans") {
		s.Plans = append(s.Plans, drawPlan(t))
	}
	return s
}

func drawSending(t *rapid.T) requestSpec {
	s := requestSpec{
		Kind:  kind(rapid.IntRange(0, 3).Draw(t, "kind")),
		Key:   rapid.IntRange(0, 1).Draw(t, "key"),
		Body:  rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "body"),
		Entry: rapid.IntRange(0, 1).Draw(t, "entry"),
		At:    drawDuration(t, 3000, "at"),
	}
	if rapid.IntRange(0, 3).Draw(t, "leaves") == 0 {
		s.LeaveAt = time.Millisecond + drawDuration(t, 1000, "leaveAt")
	}
	if rapid.IntRange(0, 3).Draw(t, "crashes") == 0 {
		s.CrashAt = rapid.IntRange(1, 20).Draw(t, "crashAt")
	}
	return s
}

func drawPlan(t *rapid.T) worktest.Plan {
	p := worktest.Plan{
		Events:     pieces,
		QueueFor:   drawDuration(t, 300, "queueFor"),
		EventEvery: drawDuration(t, 100, "eventEvery"),
		FailAt:     rapid.IntRange(0, 4).Draw(t, "failAt"),
	}
	failures := []*work.Failure{
		nil, nil, nil,
		{Code: result.AnswerCut, Outcome: result.MayHaveRun},
		{Code: result.EndpointFailed, Outcome: result.MayHaveRun, Crashed: true},
		{Code: result.EndpointTimeout, Outcome: result.MayHaveRun},
	}
	p.Failure = rapid.SampledFrom(failures).Draw(t, "failure")
	if rapid.IntRange(0, 3).Draw(t, "unstarted") == 0 {
		p.Unstarted = true
		p.Failure = &work.Failure{Code: rapid.SampledFrom([]result.Code{result.Withdrawn, result.QueueFull}).Draw(t, "code"), Outcome: result.NotRun}
	}
	return p
}

// callerResult is the response that one caller received, with the request that it sent.
type callerResult struct {
	requestSpec
	id      string
	err     *result.Error
	sink    *sink
	crashed bool
}

// runSchedule sends the requests of the schedule, injects its faults, and returns what each caller
// received. At the end it sends one further request with each Idempotency-Key.
func runSchedule(t *testing.T, s schedule) (*fixture, []*callerResult) {
	var mu sync.Mutex
	steps := map[string]int{}
	crashAt := map[string]int{}
	hook := func(id string, _ chart.State, _ Side) error {
		mu.Lock()
		defer mu.Unlock()
		steps[id]++
		if steps[id] == crashAt[id] {
			return errCrash
		}
		return nil
	}
	fx := newFixture(cyclePlans(&mu, s.Plans), hook)
	fx.owner.Fault = nextOwnerFault(&mu, s.OwnerFaults)
	fx.table.Fault = func() ledgertest.Fault { return nextTableFault(&mu, &s.TableFaults) }
	fx.changeOwners(s)
	var wait sync.WaitGroup
	var all []*callerResult
	for i, sent := range s.Requests {
		c := &callerResult{requestSpec: sent, id: fmt.Sprintf("r%d", i), sink: &sink{}}
		all = append(all, c)
		crashAt[c.id] = sent.CrashAt
	}
	for _, c := range all {
		wait.Go(func() {
			time.Sleep(c.At)
			c.send(t.Context(), fx)
		})
	}
	wait.Wait()
	time.Sleep(time.Hour)
	for key := range 2 {
		c := &callerResult{requestSpec: requestSpec{Kind: keyed, Key: key}, id: fmt.Sprintf("last%d", key), sink: &sink{}}
		c.send(t.Context(), fx)
		all = append(all, c)
	}
	time.Sleep(time.Hour)
	mu.Lock()
	defer mu.Unlock()
	for _, c := range all {
		c.crashed = c.CrashAt > 0 && steps[c.id] >= c.CrashAt
	}
	return fx, all
}

// changeOwners schedules the changes of the group's owner: at MoveAt a second owner takes over while
// the first still runs; at KillAt the first owner is killed and a third one takes over.
func (fx *fixture) changeOwners(s schedule) {
	if s.MoveAt > 0 {
		time.AfterFunc(s.MoveAt, func() { fx.directory.Set(testGroup, worktest.NewOwner("owner/2", fx.endpoint)) })
	}
	if s.KillAt > 0 {
		first := fx.owner
		time.AfterFunc(s.KillAt, func() {
			first.Kill()
			fx.directory.Set(testGroup, worktest.NewOwner("owner/3", fx.endpoint))
		})
	}
}

func (c *callerResult) send(ctx context.Context, fx *fixture) {
	call := newCall(c.id, fmt.Sprint("k", c.Key))
	call.BodyHash = fmt.Sprint("body", c.Body)
	call.Fingerprint = uint64(c.Key + 2)
	if c.Kind == unkeyed {
		call.IdempotencyKey = ""
	}
	if c.Kind == plain || c.Kind == streamed {
		call = newIdempotent(c.id, c.Kind == streamed)
		call.Fingerprint = 1
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c.LeaveAt > 0 {
		time.AfterFunc(c.LeaveAt, cancel)
	}
	c.err = fx.entries[c.Entry].Run(ctx, call, c.sink)
}

func cyclePlans(mu *sync.Mutex, plans []worktest.Plan) func(*work.Request) worktest.Plan {
	next := 0
	return func(*work.Request) worktest.Plan {
		mu.Lock()
		defer mu.Unlock()
		next++
		return plans[next%len(plans)]
	}
}

func nextOwnerFault(mu *sync.Mutex, list []worktest.Fault) func(string) worktest.Fault {
	return func(string) worktest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if len(list) == 0 {
			return worktest.None
		}
		f := list[0]
		list = list[1:]
		return f
	}
}

func nextTableFault(mu *sync.Mutex, list *[]ledgertest.Fault) ledgertest.Fault {
	mu.Lock()
	defer mu.Unlock()
	if len(*list) == 0 {
		return ledgertest.None
	}
	f := (*list)[0]
	*list = (*list)[1:]
	return f
}

// ledgerModel is the reference model of the at-most-once records: for each Idempotency-Key the one
// answer that callers may receive, and the number of times that its requests ran.
type ledgerModel struct {
	answer map[int][]byte
	runs   map[int]int
}

// violations compares what the callers received with the endpoint's own record of what ran, and
// returns a description of each broken guarantee.
func violations(fx *fixture, all []*callerResult) []string {
	var found []string
	report := func(c *callerResult, format string, args ...any) {
		found = append(found, c.id+": "+fmt.Sprintf(format, args...))
	}
	model := ledgerModel{answer: map[int][]byte{}, runs: map[int]int{}}
	for _, c := range all {
		runs := fx.endpoint.Runs(c.id)
		if c.Kind == keyed {
			model.runs[c.Key] += runs
		}
		if (c.Kind == keyed || c.Kind == unkeyed) && runs > 1 {
			report(c, "non-idempotent, ran %d times", runs)
		}
		if c.crashed {
			continue
		}
		if c.err != nil && c.err.Outcome == result.NotRun && runs > 0 {
			report(c, "told not-run (%v), ran", c.err)
		}
		if c.err == nil && !c.gotWholeAnswer(model.answer) {
			report(c, "answer is not whole, its own, or the recorded one: %q", c.sink.body)
		}
		if !c.gotEventPrefix() {
			report(c, "stream has a gap, a repeat or another's event")
		}
	}
	for key, runs := range model.runs {
		if runs > 1 {
			found = append(found, fmt.Sprintf("key %d ran %d times", key, runs))
		}
	}
	return found
}

// gotWholeAnswer reports whether the caller received the complete answer to its own request, or the
// recorded answer that other requests with the same Idempotency-Key received. answers holds the
// answer of each key seen so far, and is updated.
func (c *callerResult) gotWholeAnswer(answers map[int][]byte) bool {
	if !c.sink.whole {
		return false
	}
	if c.Kind == streamed {
		return len(c.sink.pieces) == pieces
	}
	if c.Kind != keyed {
		return bytes.Equal(c.sink.body, worktest.WholeAnswer(c.id))
	}
	if !c.sink.replay && !bytes.Equal(c.sink.body, worktest.WholeAnswer(c.id)) {
		return false
	}
	known, ok := answers[c.Key]
	answers[c.Key] = c.sink.body
	return !ok || bytes.Equal(known, c.sink.body)
}

// gotEventPrefix reports whether the stream events that reached the caller are the first events of
// its own answer, in order and without a gap.
func (c *callerResult) gotEventPrefix() bool {
	for i, piece := range c.sink.pieces {
		if !bytes.Equal(piece, worktest.StreamEvent(c.id, i)) {
			return false
		}
	}
	return true
}

// TestCallersView guards against duplicate runs, wrong outcomes and corrupted streams under
// combinations of faults. It draws random schedules of requests, lost and duplicated messages,
// table faults, VM crashes and changes of owner, and checks what each caller received against what
// the endpoint ran. No request may stay open at the end.
func TestCallersView(t *testing.T) {
	answered, refusedNotRun, unknown := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt)
		var found []string
		synctest.Test(t, func(t *testing.T) {
			fx, all := runSchedule(t, s)
			found = violations(fx, all)
			for _, c := range all {
				switch {
				case c.err == nil:
					answered++
				case c.err.Outcome == result.NotRun:
					refusedNotRun++
				default:
					unknown++
				}
			}
			for _, entry := range fx.entries {
				if open := entry.Open(); len(open) > 0 {
					found = append(found, fmt.Sprintf("still open: %+v", open))
				}
			}
		})
		if len(found) > 0 {
			rt.Fatalf("%v\nschedule: %+v", found, s)
		}
	})
	t.Logf("answered %d, refused as not-run %d, other ends %d", answered, refusedNotRun, unknown)
}

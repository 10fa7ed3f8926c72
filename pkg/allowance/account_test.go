package allowance

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testPolicy = Policy{Window: 8 * time.Second, Overage: 0.1, Slack: 10_000}

var testLimit = Limit{Rate: 10_000, Burst: 20_000}

// windowBound returns the most tokens that the deployment allows within any window.
func windowBound() float64 {
	return testPolicy.windowLimit(testLimit) + testPolicy.toleratedOverage(testLimit)
}

// admission is one admitted request of the account.
type admission struct {
	at     time.Time
	tokens int64
}

// maxWithinWindow returns the most tokens that were spent within any window.
func maxWithinWindow(list []admission) int64 {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b admission) int { return a.at.Compare(b.at) })
	most, sum, first := int64(0), int64(0), 0
	for _, a := range list {
		sum += a.tokens
		for ; a.at.Sub(list[first].at) >= testPolicy.Window; first++ {
			sum -= list[first].tokens
		}
		most = max(most, sum)
	}
	return most
}

// vm is one VM that spends tokens. It calls the home directly, without a network.
type vm struct {
	id      string
	balance *balance
	started time.Time
}

func newVM(id string, now time.Time) *vm {
	return &vm{id: id, balance: &balance{spent: newSlidingWindow(testPolicy.Window)}, started: now}
}

// report returns the VM's report of what it has spent and holds, with a request for what it needs.
func (v *vm) report(now time.Time) Request {
	v.balance.expire(now)
	req := v.balance.newRequest("x", now)
	req.VM, req.Incarnation = v.id, v.id+v.started.String()
	req.Covers = min(now.Sub(v.started), testPolicy.Window+binWidth)
	return req
}

// settle sends the VM's request to the home and applies the reply.
func (v *vm) settle(home *account, now time.Time) {
	req := v.report(now)
	home.recordUsage(req, now)
	// As in Home, VMs that have not reported count as absent.
	home.absentShare = float64(home.vmCount-len(home.reported)) / float64(home.vmCount)
	reply := home.settle(req, now)
	v.balance.applyReply(req, reply, now, now)
	v.balance.fallback.homeReplied(v.balance.spent.sum(now)+v.balance.tokens, reply.remaining(), now)
}

// admit spends tokens for a request and reports whether it was admitted. As in production, it requests tokens from the
// home if there are too few, or if few are left.
func (v *vm) admit(home *account, tokens int64, now time.Time) bool {
	v.balance.expire(now)
	v.balance.recordDemand(tokens, now)
	if v.balance.tokens < tokens {
		w := &waiter{tokens: tokens, done: make(chan admitResult, 1)}
		v.balance.waiters = append(v.balance.waiters, w)
		v.settle(home, now)
		return (<-w.done).err == nil
	}
	v.balance.spend(tokens, now)
	if float64(v.balance.tokens) < refillShare*v.balance.target() {
		v.settle(home, now)
	}
	return true
}

// An account sends many times its rate, spread unevenly over the VMs. What is admitted must stay within the bound in
// every window, and must come close to the limit.
func TestFloodingAccountStaysWithinBound(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	now := time.Unix(1_700_000_000, 0)
	home := newAccount(testPolicy, testLimit, 5, now)
	home.reported = map[string]bool{"a": true, "b": true, "c": true, "d": true, "e": true}
	vms := []*vm{newVM("a", now), newVM("b", now), newVM("c", now), newVM("d", now), newVM("e", now)}
	var admitted []admission
	for range 6000 {
		now = now.Add(5 * time.Millisecond)
		v := vms[min(rnd.Intn(len(vms)), rnd.Intn(len(vms)))]
		tokens := int64(100 + rnd.Intn(900))
		if v.admit(home, tokens, now) {
			admitted = append(admitted, admission{now, tokens})
		}
	}
	most := float64(maxWithinWindow(admitted))
	require.LessOrEqual(t, most, windowBound())
	require.Greater(t, most, 0.9*testPolicy.windowLimit(testLimit))
}

// An account within its limit must never be refused, however its requests are spread over the VMs.
func TestAccountWithinLimitIsNotRefused(t *testing.T) {
	rnd := rand.New(rand.NewSource(2))
	now := time.Unix(1_700_000_000, 0)
	home := newAccount(testPolicy, testLimit, 3, now)
	home.reported = map[string]bool{"a": true, "b": true, "c": true}
	vms := []*vm{newVM("a", now), newVM("b", now), newVM("c", now)}
	for range 4000 {
		now = now.Add(10 * time.Millisecond)
		v := vms[min(rnd.Intn(len(vms)), rnd.Intn(len(vms)))]
		require.True(t, v.admit(home, int64(rnd.Intn(150)), now))
	}
}

// The home changes again and again during a flood. A new home must assume the worst of VMs that have not reported to it,
// and once all have reported must admit no more than the previous home would have.
func TestNewHomeCountsReportedUsage(t *testing.T) {
	rnd := rand.New(rand.NewSource(3))
	now := time.Unix(1_700_000_000, 0)
	vms := []*vm{newVM("a", now), newVM("b", now)}
	home := newAccount(testPolicy, testLimit, 2, now)
	home.reported = map[string]bool{"a": true, "b": true}
	var admitted []admission
	for i := range 6000 {
		now = now.Add(5 * time.Millisecond)
		if i%700 == 699 {
			home = newAccount(testPolicy, testLimit, 2, now)
			for _, v := range vms {
				v.settle(home, now)
			}
		}
		tokens := int64(100 + rnd.Intn(900))
		if vms[rnd.Intn(2)].admit(home, tokens, now) {
			admitted = append(admitted, admission{now, tokens})
		}
	}
	require.LessOrEqual(t, float64(maxWithinWindow(admitted)), windowBound())
}

// All VMs crash and restart without memory of what they spent. The new home must count what was spent before by the
// record of the previous home, so that the bound holds across the restart.
func TestRestartOfAllVMsKeepsBound(t *testing.T) {
	rnd := rand.New(rand.NewSource(4))
	now := time.Unix(1_700_000_000, 0)
	var admitted []admission
	vms := []*vm{newVM("a", now), newVM("b", now), newVM("c", now)}
	home := newAccount(testPolicy, testLimit, 3, now)
	home.reported = map[string]bool{"a": true, "b": true, "c": true}
	for i := range 6000 {
		now = now.Add(5 * time.Millisecond)
		if i%900 == 899 {
			last := home.newRecord(now)
			now = now.Add(500 * time.Millisecond)
			home = newAccount(testPolicy, testLimit, 3, now)
			home.adoptRecord(last)
			for j, v := range vms {
				vms[j] = newVM(v.id, now)
				vms[j].settle(home, now)
			}
		}
		tokens := int64(100 + rnd.Intn(900))
		if vms[rnd.Intn(3)].admit(home, tokens, now) {
			admitted = append(admitted, admission{now, tokens})
		}
	}
	require.LessOrEqual(t, float64(maxWithinWindow(admitted)), windowBound())
}

// All VMs of a large fleet crash and restart, and the new home discovers them one by one. It must not assume that more
// was spent than may be lent: otherwise an account within its limit would be refused after the restart.
func TestRestartOfAllVMsServesAccountWithinLimit(t *testing.T) {
	const fleet, knownFirst = 60, 5
	const share = 0.55
	now := time.Unix(1_700_000_000, 0)
	home := newAccount(testPolicy, testLimit, knownFirst, now)
	vms := make([]*vm, fleet)
	for i := range vms {
		vms[i] = newVM(string(rune('A'+i)), now)
	}
	now = now.Add(time.Second)
	served, sent := 0, 0
	for i := range 600 {
		now = now.Add(10 * time.Millisecond)
		if i < fleet {
			home.vmCount, home.absentShare = max(knownFirst, i+1), 0
			vms[i].settle(home, now)
			require.LessOrEqual(t, home.tightestUsage(now).used, home.tightestUsage(now).lendable, "after %d VMs have reported", i+1)
			continue
		}
		sent++
		if vms[i%fleet].admit(home, int64(share*testLimit.Rate/100), now) {
			served++
		}
	}
	require.Equal(t, sent, served)
}

// All VMs restart while each holds tokens for seconds ahead. These tokens are lost with the VMs, and must not count as
// spent beyond what the account's rate of spending explains.
func TestTokensLostInRestartAreNotCountedTwice(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	home := newAccount(testPolicy, testLimit, 1, now)
	home.reported = map[string]bool{"a": true}
	windowLimit := testPolicy.windowLimit(testLimit)
	spent := make([]int64, int(testPolicy.Window/binWidth)+1)
	for i := range spent {
		spent[i] = int64(0.5 * windowLimit / float64(len(spent)))
	}
	home.settle(Request{VM: "a", Incarnation: "1", Spent: spent, Covers: time.Hour, Held: int64(0.4 * windowLimit)}, now)
	next := newAccount(testPolicy, testLimit, 1, now)
	next.adoptRecord(home.newRecord(now))
	next.recordUsage(Request{VM: "a", Incarnation: "2"}, now)
	require.Greater(t, next.tightestUsage(now).remaining(), 0.25*windowLimit)
}

// An idle account spends all that it may within seconds, then all VMs crash and restart. The record may be older by up to
// one lease renewal. The bound must hold across the restart nevertheless, and the account must be served again once the
// burst has left the window.
func TestRestartAfterBurstKeepsBound(t *testing.T) {
	const step, renewal, quietFor, burstFor = 5 * time.Millisecond, 1200 * time.Millisecond, 6 * time.Second, 4 * time.Second
	names := []string{"a", "b", "c", "d"}
	now := time.Unix(1_700_000_000, 0)
	var admitted []admission
	home := newAccount(testPolicy, testLimit, len(names), now)
	var vms []*vm
	for _, name := range names {
		home.reported[name] = true
		vms = append(vms, newVM(name, now))
	}
	written := home.newRecord(now)
	writtenAt := now
	spend := func(i int) bool {
		ok := vms[i%len(vms)].admit(home, 400, now)
		if ok {
			admitted = append(admitted, admission{now, 400})
		}
		return ok
	}
	for i := range int((quietFor + burstFor) / step) {
		now = now.Add(step)
		if now.Sub(writtenAt) >= renewal {
			written, writtenAt = home.newRecord(now), now
		}
		if i > int(quietFor/step) {
			spend(i)
		}
	}
	now = now.Add(time.Second)
	for i, v := range vms {
		vms[i] = newVM(v.id, now)
	}
	now = now.Add(700 * time.Millisecond)
	home = newAccount(testPolicy, testLimit, 1, now)
	home.adoptRecord(written)
	for i, v := range vms {
		home.vmCount, home.absentShare = i+1, 0
		v.settle(home, now)
	}
	before := len(admitted)
	for i := range int(12 * time.Second / step) {
		now = now.Add(step)
		spend(i)
	}
	require.LessOrEqual(t, float64(maxWithinWindow(admitted)), windowBound())
	require.Greater(t, float64(len(admitted)-before)*400, 0.9*testPolicy.windowLimit(testLimit))
}

// An account that spends steadily within its limit must be served without refusals after a restart of all VMs, although
// the new home counts earlier spending by the record.
func TestRestartWithRecordServesSteadyAccount(t *testing.T) {
	const step, share = 10 * time.Millisecond, 0.55
	now := time.Unix(1_700_000_000, 0)
	home := newAccount(testPolicy, testLimit, 2, now)
	home.reported = map[string]bool{"a": true, "b": true}
	vms := []*vm{newVM("a", now), newVM("b", now)}
	tokens := int64(share * testLimit.Rate * step.Seconds())
	for i := range 2000 {
		now = now.Add(step)
		require.True(t, vms[i%2].admit(home, tokens, now))
	}
	written := home.newRecord(now)
	now = now.Add(1200*time.Millisecond + time.Second)
	vms = []*vm{newVM("a", now), newVM("b", now)}
	now = now.Add(700 * time.Millisecond)
	home = newAccount(testPolicy, testLimit, 2, now)
	home.adoptRecord(written)
	for _, v := range vms {
		home.absentShare = 0
		v.settle(home, now)
	}
	served := 0
	for i := range 1000 {
		now = now.Add(step)
		if vms[i%2].admit(home, tokens, now) {
			served++
		}
	}
	require.Equal(t, 1000, served)
}

func TestMalformedRecordIsRejected(t *testing.T) {
	_, recorded, err := decodeRecord(nil)
	require.NoError(t, err)
	require.False(t, recorded)
	for _, note := range []string{"", "{", `{"spent":[-1]}`, `{"spent":"x"}`} {
		_, recorded, err := decodeRecord([]byte(note))
		require.Error(t, err, note)
		require.False(t, recorded)
	}
}

// VMs that cannot reach the home go on spending at their even share, for which the home sets tokens aside. All VMs
// together must stay within the bound.
func TestDisconnectedVMsStayWithinBound(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	home := newAccount(testPolicy, testLimit, 4, now)
	home.reported = map[string]bool{"a": true, "b": true}
	connected := newVM("a", now)
	disconnected := []*balance{{spent: newSlidingWindow(testPolicy.Window)}, {spent: newSlidingWindow(testPolicy.Window)}}
	var admitted []admission
	for range 4000 {
		now = now.Add(5 * time.Millisecond)
		if connected.admit(home, 500, now) {
			admitted = append(admitted, admission{now, 500})
		}
		for _, b := range disconnected {
			if b.spendFallback(testPolicy, testLimit, 4, 500, now) {
				admitted = append(admitted, admission{now, 500})
			}
		}
	}
	require.LessOrEqual(t, float64(maxWithinWindow(admitted)), windowBound())
}

func TestOverLimitIsMarked(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	home := newAccount(testPolicy, testLimit, 1, now)
	home.reported = map[string]bool{"a": true}
	windowLimit := int64(testPolicy.windowLimit(testLimit))
	reply := home.settle(Request{VM: "a", Incarnation: "1", Spent: []int64{windowLimit - 10}, Need: 100, Want: 100}, now)
	require.EqualValues(t, 100, reply.Tokens)
	require.False(t, reply.Excess)
	reply = home.settle(Request{VM: "a", Incarnation: "1", Spent: []int64{windowLimit + 90}, Need: 100, Want: 100}, now)
	require.EqualValues(t, 100, reply.Tokens)
	require.True(t, reply.Excess)
	reply = home.settle(Request{VM: "a", Incarnation: "1", Spent: []int64{2 * windowLimit}, Need: 100, Want: 100}, now)
	require.Zero(t, reply.Tokens)
	require.Positive(t, reply.RetryAfter)
}

func TestSlidingWindowExpires(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := newSlidingWindow(testPolicy.Window)
	r.add(100, now)
	require.EqualValues(t, 100, r.sum(now.Add(testPolicy.Window-time.Millisecond)))
	require.Zero(t, r.sum(now.Add(testPolicy.Window+2*binWidth)))
	r.add(50, now.Add(20*time.Second))
	r.remove(30, now.Add(20*time.Second), now.Add(20*time.Second))
	require.EqualValues(t, 20, r.sum(now.Add(20*time.Second)))
}

func TestMalformedRequests(t *testing.T) {
	require.True(t, Request{Held: -1}.malformed())
	require.True(t, Request{Spent: []int64{1, -1}}.malformed())
	require.True(t, Request{Want: maxTokens + 1}.malformed())
	require.False(t, Request{Spent: []int64{1, 2}, Need: 3}.malformed())
}

// The limit of an account is lowered far below what it has just spent. The account must be served at the lower limit at
// once, instead of being refused until its past spending has left the window. Windows that begin after the change must
// keep to the lower limit, earlier ones to the old limit.
func TestLoweredLimitAppliesFromItsChange(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	home := newAccount(testPolicy, testLimit, 1, now)
	home.reported = map[string]bool{"a": true}
	v := newVM("a", now.Add(-time.Minute))
	var before, after []admission
	spend := func(list *[]admission) bool {
		now = now.Add(50 * time.Millisecond)
		ok := v.admit(home, 500, now)
		if ok {
			*list = append(*list, admission{now, 500})
		}
		return ok
	}
	for range 400 {
		spend(&before)
	}
	lower := Limit{Rate: testLimit.Rate / 5, Burst: testLimit.Burst / 5}
	home.setLimit(lower, now)
	served := 0
	for range 20 {
		if spend(&after) {
			served++
		}
	}
	require.Greater(t, served, 10, "of 20 requests of the first second after the change")
	for range 600 {
		spend(&after)
	}
	lowest := testPolicy.windowLimit(lower) + testPolicy.toleratedOverage(lower)
	require.LessOrEqual(t, float64(maxWithinWindow(after)), lowest)
	require.LessOrEqual(t, float64(maxWithinWindow(append(before, after...))), windowBound())
}

// A refused caller must be given the time until its tokens are available again: when the oldest spending leaves the window,
// not when the rate of the account alone would have paid for them. At a flood, most of the window is spent in its newest bins.
func TestRetryAfterIsWhenTokensBecomeAvailable(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	lent := int64(testPolicy.lendable(testLimit))
	refused := func(spent ...int64) time.Duration {
		home := newAccount(testPolicy, testLimit, 1, now)
		home.reported = map[string]bool{"a": true}
		reply := home.settle(Request{VM: "a", Incarnation: "1", Spent: spent, Need: 100, Want: 100}, now)
		require.Zero(t, reply.Tokens)
		return reply.RetryAfter
	}
	require.Equal(t, testPolicy.Window+binWidth, refused(lent), "all spent just now")
	bins := make([]int64, testPolicy.Window/binWidth+1)
	bins[0], bins[len(bins)-1] = lent-100, 100
	require.Equal(t, binWidth, refused(bins...), "enough leaves the window next")
	bins[len(bins)-1], bins[len(bins)-4] = 50, 50
	require.Equal(t, 4*binWidth, refused(bins...), "the rest leaves it later")
}

// A caller that is refused because a new home does not know yet what the VMs have spent must not be kept away for the length of
// a window: the reports arrive within a fraction of a second.
func TestRetryAfterIsShortWhileReportsAreMissing(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	home := newAccount(testPolicy, testLimit, 10, now)
	home.absentShare = 1
	reply := home.settle(Request{VM: "a", Incarnation: "1", Need: 100, Want: 100}, now)
	require.Equal(t, reportsRetryAfter, reply.RetryAfter)
	later := now.Add(unresponsiveAfter)
	reply = home.settle(Request{VM: "a", Incarnation: "1", Seq: 1, Need: 100, Want: 100}, later)
	require.Equal(t, testPolicy.Window, reply.RetryAfter, "a VM that does not report for long may be spending")
}

// Callers that are refused together must not be asked to return together, since most of them would be refused again.
func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	home := newAccount(testPolicy, testLimit, 1, now)
	home.reported = map[string]bool{"a": true}
	lent := testPolicy.lendable(testLimit)
	bins := make([]int64, testPolicy.Window/binWidth+1)
	bins[len(bins)-1] = int64(lent)
	perSecond := lent / testPolicy.Window.Seconds()
	const need = 2000
	last := time.Duration(0)
	for i := range 20 {
		reply := home.settle(Request{VM: "a", Incarnation: "1", Seq: uint64(i), Spent: bins, Need: need, Want: need}, now)
		require.Zero(t, reply.Tokens)
		if i > 0 {
			require.InDelta(t, need/perSecond, (reply.RetryAfter - last).Seconds(), 0.001)
		}
		last = reply.RetryAfter
		require.LessOrEqual(t, last, maxRetryAfter)
	}
}

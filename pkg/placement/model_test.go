package placement

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowlink/mallowlink/pkg/dialect"
	"github.com/mallowlink/mallowlink/pkg/roster"
)

// The queue model runs engines that work in steps, owners that know the permits of their engines with a lag, and VMs
// that ask the owners, in virtual time. It is far simpler than real engines: its figures only compare ways to place
// requests on the same arrivals.

// modelKind is a kind of request.
type modelKind struct {
	name                string
	rank                int
	shared, own, output int
	rate                float64
	objective, limit    time.Duration
	value, lateValue    float64
	accounts            int
	overLimit           func(account int) bool
	// falseHints says which accounts state hints that are far too small.
	falseHints func(account int) bool
}

// modelLoad is a load pattern. Functions that are nil have no effect.
type modelLoad struct {
	name           string
	vms, engines   int
	domains        int
	slots, memory  int
	step           time.Duration
	tokensPerMS    float64
	adapterSlots   int
	loadTime       time.Duration
	loadsPerSecond float64
	adapters       int
	// hot is the share of the requests that one adapter gets.
	hot     float64
	kinds   []modelKind
	seconds int
	// factor returns the multiple of its rate at which a kind arrives.
	factor func(kind string, at time.Duration) float64
	// slow returns the factor on an engine's times, up whether it is listed, failing whether it fails every request.
	slow    func(engine int, at time.Duration) float64
	up      func(engine int, at time.Duration) bool
	failing func(engine int) bool
	// retryAtOnce makes callers ignore Retry-After.
	retryAtOnce bool
	// cold makes engines start without adapters. isolated makes VMs forget what owners have named.
	cold, isolated bool
}

// modelJob is a request of a caller, over all of its attempts.
type modelJob struct {
	kind                *modelKind
	account             int
	adapter             string
	session             string
	arrived, attempt    time.Time
	attempts            int
	engine              *modelEngine
	vm                  int
	permit              PermitKey
	work                Work
	memory              int
	unread, left, tries int
	output, hint        int
	sent, first         time.Time
	forecast            time.Duration
	done                bool
}

type modelEngine struct {
	index    int
	endpoint roster.Endpoint
	load     Load
	queue    []*modelJob
	running  []*modelJob
	memory   int
	busy     bool
	adapters map[string]*modelAdapter
	served   int
}

type modelAdapter struct {
	ready   time.Time
	users   int
	lastUse time.Time
}

type modelEvent struct {
	at  time.Time
	seq int
	run func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// kindResult counts what became of the requests of a kind.
type kindResult struct{ requests, inTime, late, failed, refusals int }

// modelResult is the result of a run.
type modelResult struct {
	kinds map[string]*kindResult
	// value is the value obtained, of the value that all requests in time would have had.
	value, best float64
	// attemptValue is the value if the time to the first token counts from the attempt that was served.
	attemptValue float64
	// skew is the requests of the busiest engine as a multiple of the mean.
	skew float64
	// calls counts the calls to owners.
	calls    int
	accounts map[int]*kindResult
	// errors are the times to the first token beyond the forecasts, of the requests that were served.
	errors []time.Duration
}

// model is one run.
type model struct {
	load     modelLoad
	policy   string
	rng      *rand.Rand
	now      time.Time
	seq      int
	events   modelEvents
	engines  []*modelEngine
	hotKeys  []*HotKeys
	contexts []CostContext
	nextLoad time.Time
	permits  uint64
	result   modelResult
	callers  *rand.Rand
	failures []map[int]time.Time
	lengths  []*Lengths
}

// Ways to place requests that the model compares.
const (
	leastLoadedPolicy = "least-loaded"
	homesPolicy       = "homes"
	costPolicy        = "cost"
)

func runModel(load modelLoad, policy string, seed uint64) modelResult {
	m := &model{
		load: load, policy: policy, rng: rand.New(rand.NewPCG(seed, 1)), callers: rand.New(rand.NewPCG(seed, 2)), now: start,
		result: modelResult{kinds: map[string]*kindResult{}, accounts: map[int]*kindResult{}},
	}
	group := NewGroupSpeed()
	for i := range load.engines {
		e := &modelEngine{index: i, adapters: map[string]*modelAdapter{}}
		e.endpoint = roster.Endpoint{Incarnation: roster.Incarnation{ID: fmt.Sprintf("e%02d", i), Started: int64(i)}, FailureDomain: fmt.Sprint(i % max(load.domains, 1))}
		if policy == costPolicy {
			e.load = NewCostLoad(load.slots, load.memory, group)
		} else {
			e.load = NewLoad(load.slots, load.memory)
		}
		m.engines = append(m.engines, e)
	}
	for i := range load.vms {
		m.hotKeys = append(m.hotKeys, NewHotKeys())
		m.contexts = append(m.contexts, NewCostContext(fmt.Sprint(i%max(load.domains, 1))))
		m.failures = append(m.failures, map[int]time.Time{})
		m.lengths = append(m.lengths, NewLengths())
	}
	if !load.cold {
		m.warm()
	}
	m.scheduleArrivals()
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.run()
	}
	m.finish()
	return m.result
}

// warm loads each adapter on its first homes.
func (m *model) warm() {
	for i := range m.load.adapters {
		name := fmt.Sprintf("a%d", i)
		for _, e := range RankHomes("m/"+name, m.listed())[:min(2, len(m.engines))] {
			if eng := m.engine(e); len(eng.adapters) < m.load.adapterSlots {
				eng.adapters[name] = &modelAdapter{ready: m.now}
			}
		}
	}
}

func (m *model) at(t time.Time, run func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{t, m.seq, run})
}

func (m *model) after(d time.Duration, run func()) { m.at(m.now.Add(d), run) }

func (m *model) elapsed() time.Duration { return m.now.Sub(start) }

// scheduleArrivals draws all arrivals before the run, so that all policies get the same.
func (m *model) scheduleArrivals() {
	for k := range m.load.kinds {
		kind := &m.load.kinds[k]
		for at := time.Duration(0); at < time.Duration(m.load.seconds)*time.Second; {
			rate := kind.rate
			if m.load.factor != nil {
				rate *= m.load.factor(kind.name, at)
			}
			at += time.Duration(m.callers.ExpFloat64() / rate * float64(time.Second))
			job := &modelJob{kind: kind, adapter: m.drawAdapter(), session: fmt.Sprint(m.callers.IntN(1 << 20)), arrived: start.Add(at)}
			job.account, job.vm = m.callers.IntN(max(kind.accounts, 1)), m.callers.IntN(m.load.vms)
			m.drawLength(job)
			m.at(job.arrived, func() { m.attempt(job) })
		}
	}
}

// drawLength draws the length of a response, and the hint of its caller.
func (m *model) drawLength(j *modelJob) {
	length := float64(j.kind.output) * math.Exp(0.4*m.callers.NormFloat64())
	hint := length * math.Exp(0.6*m.callers.NormFloat64())
	if j.kind.falseHints != nil && j.kind.falseHints(j.account) {
		hint = 1
	}
	j.output, j.hint = int(math.Ceil(length)), int(math.Ceil(hint))
}

// drawAdapter draws an adapter: the hot one, or one of the others with a few in frequent use.
func (m *model) drawAdapter() string {
	if m.callers.Float64() < m.load.hot {
		return "a0"
	}
	x := m.callers.Float64()
	return fmt.Sprintf("a%d", int(x*x*float64(m.load.adapters)))
}

func (m *model) listed() []roster.Endpoint {
	var list []roster.Endpoint
	for _, e := range m.engines {
		if m.load.up == nil || m.load.up(e.index, m.elapsed()) {
			list = append(list, e.endpoint)
		}
	}
	return list
}

// candidates are the engines that a VM has not seen fail in the last two seconds.
func (m *model) candidates(vm int) []roster.Endpoint {
	return slices.DeleteFunc(m.listed(), func(e roster.Endpoint) bool {
		failed, ok := m.failures[vm][m.engine(e).index]
		return ok && m.now.Sub(failed) < 2*time.Second
	})
}

func (m *model) engine(e roster.Endpoint) *modelEngine {
	return m.engines[e.Started]
}

func (m *model) kindResult(j *modelJob) *kindResult {
	if m.result.kinds[j.kind.name] == nil {
		m.result.kinds[j.kind.name] = &kindResult{}
	}
	return m.result.kinds[j.kind.name]
}

// attempt is one attempt of a caller.
func (m *model) attempt(j *modelJob) {
	j.attempt = m.now
	j.attempts++
	deadline := m.now.Add(j.kind.limit)
	over := j.kind.overLimit != nil && j.kind.overLimit(j.account)
	r := NewRequest(j.kind.objective, m.now, deadline, j.kind.rank, over)
	list := m.candidates(j.vm)
	key := "m/" + j.adapter
	switch m.policy {
	case leastLoadedPolicy:
		m.placeLeastLoaded(j, list)
	case homesPolicy:
		m.follow(j, NewSearch(r, j.session, RankHomes(key, list), m.hotKeys[j.vm].HomeCount(key, m.now)))
	case costPolicy:
		if m.load.isolated {
			m.contexts[j.vm].Known = NewKnownEngines()
		}
		ranked := RankHomes(key, list)
		r.Caller = xxhash.Sum64String(j.session + fmt.Sprint(j.account))
		r.Returned = m.contexts[j.vm].Returns.Returned(r.Caller, m.now)
		m.follow(j, m.newCostSearch(j, r, ranked, m.hotKeys[j.vm].HomeCount(key, m.now)))
	}
}

func (m *model) newCostSearch(j *modelJob, r Request, ranked []roster.Endpoint, homes int) Plan {
	return NewCostSearch(m.contexts[j.vm], r, "g", j.session, ranked, homes)
}

func (m *model) placeLeastLoaded(j *modelJob, list []roster.Endpoint) {
	offset := m.rng.IntN(len(list))
	best := m.engine(list[offset])
	for i := range list {
		e := m.engine(list[(offset+i)%len(list)])
		if running, _ := e.load.Running(); running < best.load.running {
			best = e
		}
	}
	m.grant(j, best, m.loadDelay(best, j.adapter))
}

// callTime is the time of a call to an owner.
const callTime = 1500 * time.Microsecond

// follow carries out a plan.
func (m *model) follow(j *modelJob, p Plan) {
	step := p.Next(m.now)
	switch step.Action {
	case Ask, Send:
		if step.AddHome {
			m.hotKeys[j.vm].AddHome("m/"+j.adapter, m.now)
		}
		m.after(callTime/2, func() { m.ask(j, p, step) })
	case Wait:
		m.after(step.For, func() { m.follow(j, p) })
	default:
		p.End(false, m.now)
		m.refused(j, step.RetryAfter)
	}
}

func (m *model) work(j *modelJob, e *modelEngine) Work {
	prompt := []dialect.PromptPart{{ID: j.kind.name, Tokens: j.kind.shared}}
	unread := e.load.Unread(j.adapter, prompt, j.kind.shared+j.kind.own)
	w := Work{Unread: unread, Memory: unread + maxOutput, Urgency: j.kind.rank}
	if m.policy == costPolicy {
		expected := m.lengths[j.vm].Expect(lengthKeyOf(j), fmt.Sprint(j.account), j.hint, maxOutput)
		w.Memory, w.Events = unread+expected.Tokens, expected.Events
	}
	return w
}

// maxOutput is the limit on the length of a response that callers state, in tokens.
const maxOutput = 512

func lengthKeyOf(j *modelJob) LengthKey { return LengthKey{Route: j.kind.name, Adapter: j.adapter} }

// ask is the owner's reply to a call.
func (m *model) ask(j *modelJob, p Plan, step Step) {
	m.result.calls++
	e := m.engine(step.Endpoint)
	f, delay := e.load.Forecast(m.work(j, e), m.now), m.loadDelay(e, j.adapter)
	if step.Bounds.Accept(f, delay) {
		p.End(true, m.now)
		m.grant(j, e, delay)
		return
	}
	spares := m.spares(e, j)
	m.after(callTime/2, func() {
		p.Named(spares, m.now)
		p.Offered(step.Endpoint, f, delay)
		m.follow(j, p)
	})
}

// ownerCount is the number of VMs that own engines.
const ownerCount = 4

// spares returns the four least loaded engines of the same owner.
func (m *model) spares(asked *modelEngine, j *modelJob) []Spare {
	var spares []Spare
	for _, e := range m.engines {
		if e != asked && e.index%ownerCount == asked.index%ownerCount {
			f := e.load.Forecast(Work{Urgency: j.kind.rank}, m.now)
			spares = append(spares, Spare{e.endpoint.Incarnation, f.First - f.Own, m.loadDelay(e, j.adapter)})
		}
	}
	slices.SortStableFunc(spares, func(a, b Spare) int { return cmp.Compare(a.Queue, b.Queue) })
	return spares[:min(4, len(spares))]
}

// loadDelay returns the wait for an adapter at an engine.
func (m *model) loadDelay(e *modelEngine, adapter string) time.Duration {
	if a := e.adapters[adapter]; a != nil {
		return max(a.ready.Sub(m.now), 0)
	}
	wait := max(m.nextLoad.Sub(m.now), 0)
	if len(e.adapters) >= m.load.adapterSlots && m.evictable(e) == "" {
		wait += 500 * time.Millisecond
	}
	return wait + m.load.loadTime
}

// evictable returns the least recently used adapter that no request uses; empty if there is none.
func (m *model) evictable(e *modelEngine) string {
	name := ""
	for other, a := range e.adapters {
		if a.users == 0 && !a.ready.After(m.now) && (name == "" || a.lastUse.Before(e.adapters[name].lastUse) || a.lastUse.Equal(e.adapters[name].lastUse) && other < name) {
			name = other
		}
	}
	return name
}

// grant sends a request to an engine, where it begins when its adapter is loaded.
func (m *model) grant(j *modelJob, e *modelEngine, delay time.Duration) {
	a := e.adapters[j.adapter]
	if a == nil {
		if len(e.adapters) >= m.load.adapterSlots {
			victim := m.evictable(e)
			if victim == "" {
				m.after(50*time.Millisecond, func() { m.grant(j, e, delay) })
				return
			}
			delete(e.adapters, victim)
			e.load.ForgetAdapter(victim)
		}
		begin := m.now
		if m.nextLoad.After(begin) {
			begin = m.nextLoad
		}
		m.nextLoad = begin.Add(time.Duration(float64(time.Second) / m.load.loadsPerSecond))
		a = &modelAdapter{ready: begin.Add(m.load.loadTime)}
		e.adapters[j.adapter] = a
	}
	a.users++
	m.after(max(a.ready.Sub(m.now), 0)+callTime/2, func() { m.deliver(j, e) })
}

// deliver brings a request to its engine.
func (m *model) deliver(j *modelJob, e *modelEngine) {
	m.permits++
	j.engine, j.permit, j.work = e, PermitKey{fmt.Sprint(j.vm), m.permits}, m.work(j, e)
	e.load.CachePrompt(j.adapter, []dialect.PromptPart{{ID: j.kind.name, Tokens: j.kind.shared}})
	f := e.load.Forecast(j.work, m.now)
	j.forecast = f.First
	e.load.Add(j.permit, j.adapter, j.work, f, m.now, m.now.Add(time.Hour))
	j.unread, j.left, j.sent, j.first = j.work.Unread, j.output, m.now, time.Time{}
	j.memory = j.work.Unread + j.output
	if m.lost(e) || m.load.failing != nil && m.load.failing(e.index) {
		m.after(5*time.Millisecond, func() { m.fail(j) })
		return
	}
	e.served++
	e.queue = append(e.queue, j)
	if !e.busy {
		e.busy = true
		m.step(e)
	}
}

func (m *model) lost(e *modelEngine) bool {
	return m.load.up != nil && !m.load.up(e.index, m.elapsed())
}

// fail ends an attempt that the engine has failed. The VM avoids the engine for a while.
func (m *model) fail(j *modelJob) {
	m.failures[j.vm][j.engine.index] = m.now
	m.leave(j, 0)
	j.tries++
	if j.tries < 3 && m.now.Sub(j.attempt) < j.kind.limit {
		m.attempt(j)
		return
	}
	m.kindResult(j).failed++
	m.count(j, 0)
}

// chunk is the number of prompt tokens that an engine reads in a step.
const chunk = 1024

// step is one step of an engine: it admits requests, reads prompts, and makes one token for each running request.
func (m *model) step(e *modelEngine) {
	if m.lost(e) {
		m.crash(e)
		return
	}
	m.admit(e)
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	slow := 1.0
	if m.load.slow != nil {
		slow = m.load.slow(e.index, m.elapsed())
	}
	budget := chunk
	for _, j := range e.running {
		read := min(budget, j.unread)
		j.unread -= read
		budget -= read
	}
	reading := float64(chunk-budget) / m.load.tokensPerMS * float64(time.Millisecond)
	decoding := float64(m.load.step) * (1 + 0.5*float64(len(e.running))/float64(m.load.slots))
	m.after(time.Duration(slow*(reading+decoding)), func() {
		m.produce(e)
		m.step(e)
	})
}

// admit moves waiting requests into free slots, the most urgent first.
func (m *model) admit(e *modelEngine) {
	slices.SortStableFunc(e.queue, func(a, b *modelJob) int { return cmp.Compare(a.kind.rank, b.kind.rank) })
	for len(e.queue) > 0 && len(e.running) < m.load.slots && e.memory+e.queue[0].memory <= m.load.memory {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if m.now.After(j.attempt.Add(j.kind.limit)) {
			m.leave(j, 0)
			m.count(j, 0)
			continue
		}
		e.memory += j.memory
		e.running = append(e.running, j)
	}
	slices.SortStableFunc(e.running, func(a, b *modelJob) int { return cmp.Compare(a.kind.rank, b.kind.rank) })
}

func (m *model) produce(e *modelEngine) {
	running := e.running[:0]
	for _, j := range e.running {
		if j.unread == 0 {
			j.left--
			if j.first.IsZero() {
				m.started(j)
			}
		}
		if j.left > 0 {
			running = append(running, j)
			continue
		}
		e.memory -= j.memory
		m.leave(j, m.now.Sub(j.first))
		m.count(j, j.first.Sub(j.arrived))
	}
	e.running = running
}

func (m *model) crash(e *modelEngine) {
	lost := append(e.queue, e.running...)
	e.queue, e.running, e.busy, e.memory = nil, nil, false, 0
	for _, j := range lost {
		m.fail(j)
	}
}

// updateLag is the time until the owner gets an update.
func (m *model) updateLag() time.Duration {
	return time.Duration(m.rng.Int64N(int64(25 * time.Millisecond)))
}

// started reports the first token to the owner. Model events hold one token.
func (m *model) started(j *modelJob) {
	j.first = m.now
	e, permit, took := j.engine, j.permit, m.now.Sub(j.sent)
	m.result.errors = append(m.result.errors, took-j.forecast)
	m.after(m.updateLag(), func() { e.load.MarkStarted(permit, took, m.now) })
}

// leave reports the end of a request at its engine to the owner.
func (m *model) leave(j *modelJob, ran time.Duration) {
	e, permit := j.engine, j.permit
	e.adapters[j.adapter].users--
	e.adapters[j.adapter].lastUse = m.now
	if ran > 0 {
		m.lengths[j.vm].Record(lengthKeyOf(j), fmt.Sprint(j.account), j.hint, maxOutput, j.output, m.now)
	}
	m.after(25*time.Millisecond, func() {
		e.load.RecordRun(permit, ran, j.output, m.now)
		e.load.Remove(permit)
	})
}

// refused lets the caller come back if it has time left.
func (m *model) refused(j *modelJob, after time.Duration) {
	m.kindResult(j).refusals++
	if m.load.retryAtOnce {
		after = 10 * time.Millisecond
	}
	if j.attempts < 6 && m.now.Add(after).Sub(j.arrived) < j.kind.limit {
		m.after(after, func() { m.attempt(j) })
		return
	}
	m.kindResult(j).failed++
	m.count(j, 0)
}

// count counts the end of a request. first is the time to its first token, 0 if it was not served.
func (m *model) count(j *modelJob, first time.Duration) {
	if j.done {
		return
	}
	j.done = true
	k := m.kindResult(j)
	k.requests++
	if m.result.accounts[j.account] == nil {
		m.result.accounts[j.account] = &kindResult{}
	}
	account := m.result.accounts[j.account]
	account.requests++
	m.result.best += j.kind.value
	if first > 0 {
		m.countAttempt(j, first-j.attempt.Sub(j.arrived))
	}
	switch {
	case first == 0 || first > j.kind.limit:
	case first <= j.kind.objective:
		k.inTime++
		account.inTime++
		m.result.value += j.kind.value
	default:
		k.late++
		account.late++
		m.result.value += j.kind.lateValue
	}
}

func (m *model) countAttempt(j *modelJob, first time.Duration) {
	switch {
	case first <= j.kind.objective:
		m.result.attemptValue += j.kind.value
	case first <= j.kind.limit:
		m.result.attemptValue += j.kind.lateValue
	}
}

func (m *model) finish() {
	total, most := 0, 0
	for _, e := range m.engines {
		total += e.served
		most = max(most, e.served)
	}
	m.result.skew = float64(most) * float64(len(m.engines)) / float64(max(total, 1))
}

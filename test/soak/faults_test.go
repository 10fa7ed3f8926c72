package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/mallowlink/mallowlink/platform/standin"
)

// span is a fault, or a change by the operator, and what it struck.
type span struct {
	what     string
	on       string
	from, to time.Time
	// planned says that it is no fault: a stop announced by SIGTERM, or a change by the operator.
	planned bool
}

// faultLog keeps what was done to the deployment.
type faultLog struct {
	mu    sync.Mutex
	spans []*span // guarded by mu
}

// begin notes a fault that ends with the returned function.
func (l *faultLog) begin(what, on string, planned bool) func() {
	s := &span{what: what, on: on, from: time.Now(), planned: planned}
	l.mu.Lock()
	l.spans = append(l.spans, s)
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.to = time.Now()
	}
}

// calm reports whether no fault has struck in the span, nor for the contact time before it. Planned work
// counts too unless it is excused.
func (l *faultLog) calm(from, to time.Time, plannedToo bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	from = from.Add(-contactTime)
	for _, s := range l.spans {
		over := !s.to.IsZero() && s.to.Before(from)
		if (!s.planned || plannedToo) && !over && s.from.Before(to) {
			return false
		}
	}
	return true
}

func (l *faultLog) list(begun time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lines []string
	for _, s := range l.spans {
		lines = append(lines, fmt.Sprintf("%6.2f-%6.2f %s %s", s.from.Sub(begun).Seconds(), s.to.Sub(begun).Seconds(), s.what, s.on))
	}
	return lines
}

// trouble is one thing that can happen.
type trouble struct {
	name string
	do   func(x *chaos, d time.Duration)
}

// chaos strikes the deployment by a seed.
type chaos struct {
	w       *world
	callers *callers
	changes *changes
	// troubles are those to choose from.
	troubles []trouble
	random   *rand.Rand
	wait     sync.WaitGroup
	ctx      context.Context
}

// troubles are all things that can happen. Each returns when it is over.
var troubles = []trouble{
	{"kill", (*chaos).kill},
	{"freeze", (*chaos).freeze},
	{"term", (*chaos).term},
	{"hup", (*chaos).hup},
	{"kill_all", (*chaos).killAll},
	{"store_down", func(x *chaos, d time.Duration) { x.storeFault("store_down", standin.StoreFaults{Down: true}, d) }},
	{"store_silent", func(x *chaos, d time.Duration) {
		x.storeFault("store_silent", standin.StoreFaults{Unresponsive: true}, d)
	}},
	{"store_slow", func(x *chaos, d time.Duration) {
		x.storeFault("store_slow", standin.StoreFaults{ResponseDelay: 200 * time.Millisecond}, d)
	}},
	{"store_loses", func(x *chaos, d time.Duration) {
		x.storeFault("store_loses", standin.StoreFaults{LoseResponses: true}, d)
	}},
	{"store_late", func(x *chaos, d time.Duration) {
		x.storeFault("store_late", standin.StoreFaults{WriteDelay: 1500 * time.Millisecond}, d)
	}},
	{"store_compact", (*chaos).compact},
	{"store_cut", func(x *chaos, d time.Duration) { v := x.vm(); x.cut("store_cut", v.name, v.store, d) }},
	{"peer_cut", func(x *chaos, d time.Duration) { v := x.vm(); x.cut("peer_cut", v.name, v.peer, d) }},
	{"endpoint_crash", (*chaos).crash},
	{"endpoint_leaves", (*chaos).leave},
	{"endpoint_cut", func(x *chaos, d time.Duration) {
		if e := x.endpoint(); e != nil {
			x.cut("endpoint_cut", e.ID(), e.proxy, d)
		}
	}},
	{"endpoint_errors", func(x *chaos, d time.Duration) { x.sick("endpoint_errors", standin.EndpointFaults{Errors: 0.5}, d) }},
	{"endpoint_mute", func(x *chaos, d time.Duration) { x.sick("endpoint_mute", standin.EndpointFaults{NoResponse: 0.3}, d) }},
	{"endpoint_cuts", func(x *chaos, d time.Duration) { x.sick("endpoint_cuts", standin.EndpointFaults{Truncated: 0.5}, d) }},
	{"endpoint_slow", func(x *chaos, d time.Duration) {
		x.sick("endpoint_slow", standin.EndpointFaults{SlowdownFactor: 20}, d)
	}},
	{"late_orders", func(x *chaos, d time.Duration) {
		x.sick("late_orders", standin.EndpointFaults{LateOrders: 0.5, LateOrderDelay: 2 * time.Second}, d)
	}},
	{"route_added", (*chaos).addRoute},
	{"key_changed", (*chaos).changeKey},
	{"new_version", (*chaos).newVersion},
}

// furtherTroubles are those of endpoints that leave, ask for a pause, or send without end. They are apart so that the seeds
// of the others go on meaning what they did.
var furtherTroubles = []trouble{
	{"endpoint_leaves_quietly", (*chaos).leaveQuietly},
	{"endpoint_pauses", func(x *chaos, d time.Duration) {
		x.sick("endpoint_pauses", standin.EndpointFaults{Rejected: 0.6, RetryAfter: time.Second + d/2}, d)
	}},
	{"endpoint_endless", func(x *chaos, d time.Duration) { x.sick("endpoint_endless", standin.EndpointFaults{Endless: 0.4}, d) }},
}

// limitTroubles are those of endpoints that state how many requests a second they accept.
var limitTroubles = []trouble{{"endpoint_limits", (*chaos).limit}}

// limit makes an endpoint state a limit for longer than VMs may take to keep to it. The limit changes on the way.
func (x *chaos) limit(d time.Duration) {
	e := x.endpoint()
	if e == nil {
		return
	}
	defer x.w.faults.begin("endpoint_limits", e.ID(), false)()
	perSecond := 1 + 3*d.Seconds()
	e.SetRequestLimit(&perSecond)
	x.hold(contactTime + d)
	changed := perSecond / 2
	if x.w.draw(2) == 0 {
		changed = perSecond * 2
	}
	e.SetRequestLimit(&changed)
	x.hold(contactTime + d)
	e.SetRequestLimit(nil)
}

// run strikes from time to time until ctx ends. Troubles may overlap.
func (x *chaos) run(ctx context.Context, pause time.Duration) {
	x.ctx = ctx
	for ctx.Err() == nil {
		t := x.troubles[x.random.IntN(len(x.troubles))]
		d := 300*time.Millisecond + time.Duration(x.random.Int64N(int64(3*time.Second)))
		x.wait.Go(func() { t.do(x, d) })
		sleep(ctx, pause/2+time.Duration(x.random.Int64N(int64(pause))))
	}
	x.wait.Wait()
}

func (x *chaos) vm() *vm { return x.w.vms[x.w.draw(len(x.w.vms))] }

func (x *chaos) endpoint() *endpoint {
	list := append(x.w.alive(engineGroup), x.w.alive(serviceGroup)...)
	if len(list) == 0 {
		return nil
	}
	return list[x.w.draw(len(list))]
}

// hold waits for d, or for the end of the run.
func (x *chaos) hold(d time.Duration) { sleep(x.ctx, d) }

// take makes a VM's process this trouble's own. It reports false if another has it.
func (v *vm) take() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopping {
		return false
	}
	v.stopping = true
	return true
}

func (v *vm) give() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stopping = false
}

func (x *chaos) kill(d time.Duration) {
	v := x.vm()
	if !v.take() {
		return
	}
	defer x.w.faults.begin("kill", v.name, false)()
	<-v.signal(syscall.SIGKILL)
	x.hold(d)
	x.w.writeSettings(v, false)
	x.w.start(v)
}

func (x *chaos) killAll(d time.Duration) {
	var taken []*vm
	for _, v := range x.w.vms {
		if v.take() {
			taken = append(taken, v)
		}
	}
	defer x.w.faults.begin("kill_all", fmt.Sprint(len(taken)), false)()
	for _, v := range taken {
		<-v.signal(syscall.SIGKILL)
	}
	x.hold(d / 4)
	for _, v := range taken {
		x.w.writeSettings(v, false)
		x.w.start(v)
	}
}

func (x *chaos) freeze(d time.Duration) {
	v := x.vm()
	if !v.take() {
		return
	}
	defer v.give()
	defer x.w.faults.begin("freeze", v.name, false)()
	v.signal(syscall.SIGSTOP)
	x.hold(d)
	v.signal(syscall.SIGCONT)
}

func (x *chaos) term(d time.Duration) {
	v := x.vm()
	if !v.take() {
		return
	}
	defer x.w.faults.begin("term", v.name, true)()
	select {
	case <-v.signal(syscall.SIGTERM):
	case <-time.After(grace):
		<-v.signal(syscall.SIGKILL)
	}
	x.hold(d / 4)
	x.w.writeSettings(v, false)
	x.w.start(v)
}

func (x *chaos) hup(time.Duration) {
	v := x.vm()
	if !v.take() {
		return
	}
	defer v.give()
	defer x.w.faults.begin("hup", v.name, true)()
	x.w.writeSettings(v, false)
	v.signal(syscall.SIGHUP)
}

func (x *chaos) storeFault(what string, f standin.StoreFaults, d time.Duration) {
	defer x.w.faults.begin(what, "store", false)()
	x.w.store.SetFaults(f)
	x.hold(d)
	x.w.store.SetFaults(standin.StoreFaults{})
}

func (x *chaos) compact(time.Duration) {
	defer x.w.faults.begin("store_compact", "store", false)()
	x.w.store.Compact()
}

// cut disturbs what passes a proxy, in one of several ways.
func (x *chaos) cut(what, on string, p *proxy, d time.Duration) {
	ways := []way{{silent: true}, {halfSilent: true}, {refuse: true}, {delay: 60 * time.Millisecond}, {}}
	n := x.w.draw(len(ways))
	defer x.w.faults.begin(fmt.Sprintf("%s/%d", what, n), on, false)()
	p.set(ways[n])
	if ways[n].refuse || ways[n] == (way{}) {
		p.reset()
	}
	x.hold(d)
	// Connections that were silent stay so until something gives them up.
	p.set(way{})
}

func (x *chaos) crash(d time.Duration) {
	e := x.endpoint()
	if e == nil || len(x.w.alive(e.Group())) < 2 {
		return
	}
	defer x.w.faults.begin("endpoint_crash", e.ID(), false)()
	x.w.end(e, false)
	x.hold(d)
	x.w.addEndpoint(e.Group())
}

func (x *chaos) leave(time.Duration) {
	e := x.endpoint()
	if e == nil || len(x.w.alive(e.Group())) < 2 {
		return
	}
	defer x.w.faults.begin("endpoint_leaves", e.ID(), true)()
	x.w.addEndpoint(e.Group())
	e.Drain()
	x.hold(drainTime + time.Second)
	x.w.end(e, true)
}

// leaveQuietly makes an endpoint leave that says so in its answers only.
func (x *chaos) leaveQuietly(time.Duration) {
	e := x.endpoint()
	if e == nil || len(x.w.alive(e.Group())) < 2 {
		return
	}
	defer x.w.faults.begin("endpoint_leaves_quietly", e.ID(), true)()
	x.w.addEndpoint(e.Group())
	e.SignalLeaving()
	x.hold(2*drainTime + time.Second)
	x.w.end(e, true)
}

func (x *chaos) sick(what string, t standin.EndpointFaults, d time.Duration) {
	e := x.endpoint()
	if e == nil {
		return
	}
	defer x.w.faults.begin(what, e.ID(), false)()
	e.SetFaults(t)
	x.hold(d)
	e.SetFaults(standin.EndpointFaults{})
}

func (x *chaos) addRoute(time.Duration) {
	x.changes.addRoute(x.w, x.callers)
}

func (x *chaos) changeKey(time.Duration) {
	x.changes.changeKey(x.w, x.callers)
}

func (x *chaos) newVersion(time.Duration) {
	x.changes.newVersion(x.w, x.w.draw(adapterCount/4))
}

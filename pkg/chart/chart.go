// Package chart implements finite state machines whose states and transitions (the state chart) are declared in
// INI files.
//
// A file has a section [chart] with the keys name and initial, and a section [state NAME] for each
// state. In a state's section each key is an event, and its value the next state. Three keys are
// special: "final" marks a state without transitions, "ignore" lists events that do not change the
// state, and "reject" lists events that are errors in the state. Each state that is not final must
// declare every event of the chart in exactly one of these ways.
package chart

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// State is the name of a state.
type State string

// Event is the name of an event.
type Event string

// ErrRejected means that the event is an error in the current state: the chart lists it under "reject", or does
// not declare it.
var ErrRejected = errors.New("chart: event rejected")

// Names of sections and keys of the file.
const (
	chartSection = "chart"
	statePrefix  = "state "
	finalKey     = "final"
	ignoreKey    = "ignore"
	rejectKey    = "reject"
)

// Chart is a validated state chart. It is immutable.
type Chart struct {
	Name    string
	Initial State
	states  map[State]*stateDef
	order   []State // in the order of the file
	events  map[Event]bool
}

// stateDef is the declaration of one state.
type stateDef struct {
	final  bool
	next   map[Event]State
	ignore map[Event]bool
	reject map[Event]bool
}

// Parse parses and validates a chart. The arguments states and events are those that the code uses; the file must
// declare exactly these.
func Parse(data []byte, states []State, events []Event) (*Chart, error) {
	file, err := ini.Load(data)
	if err != nil {
		return nil, errors.Wrap(err, "parse chart")
	}
	c := &Chart{states: map[State]*stateDef{}, events: map[Event]bool{}}
	head := file.Section(chartSection)
	c.Name = head.Key("name").String()
	c.Initial = State(head.Key("initial").String())
	for _, section := range file.Sections() {
		name, ok := strings.CutPrefix(section.Name(), statePrefix)
		if ok {
			c.addState(State(name), section)
		}
	}
	if err := c.validate(states, events); err != nil {
		return nil, errors.Wrapf(err, "chart %q", c.Name)
	}
	return c, nil
}

// MustParse is like Parse but panics on error. It is meant for charts that are embedded in the binary.
func MustParse(data []byte, states []State, events []Event) *Chart {
	c, err := Parse(data, states, events)
	if err != nil {
		panic(err)
	}
	return c
}

// addState adds the state that the section declares, and its events, to the chart.
func (c *Chart) addState(name State, section *ini.Section) {
	def := &stateDef{next: map[Event]State{}, ignore: map[Event]bool{}, reject: map[Event]bool{}}
	for _, key := range section.Keys() {
		switch key.Name() {
		case finalKey:
			def.final = key.MustBool(false)
		case ignoreKey:
			c.addEvents(def.ignore, key)
		case rejectKey:
			c.addEvents(def.reject, key)
		default:
			def.next[Event(key.Name())] = State(key.String())
			c.events[Event(key.Name())] = true
		}
	}
	c.states[name] = def
	c.order = append(c.order, name)
}

// addEvents adds the events in the key's comma-separated list to set and to the events of the chart.
func (c *Chart) addEvents(set map[Event]bool, key *ini.Key) {
	for _, event := range key.Strings(",") {
		set[Event(event)] = true
		c.events[Event(event)] = true
	}
}

func (c *Chart) validate(states []State, events []Event) error {
	if c.states[c.Initial] == nil {
		return errors.Errorf("initial state %q is not declared", c.Initial)
	}
	for _, name := range c.order {
		if err := c.validateState(name); err != nil {
			return err
		}
	}
	if err := c.checkReachable(); err != nil {
		return err
	}
	return c.checkRequired(states, events)
}

// validateState checks that a final state has no transitions, and that any other state declares every event of the
// chart exactly once.
func (c *Chart) validateState(name State) error {
	n := c.states[name]
	if n.final {
		if len(n.next) > 0 {
			return errors.Errorf("final state %q has transitions", name)
		}
		return nil
	}
	for _, event := range c.Events() {
		target, hasNext := n.next[event]
		if hasNext && c.states[target] == nil {
			return errors.Errorf("state %q: event %q leads to undeclared state %q", name, event, target)
		}
		declarations := count(hasNext, n.ignore[event], n.reject[event])
		if declarations == 0 {
			return errors.Errorf("state %q: missing transition for event %q", name, event)
		}
		if declarations > 1 {
			return errors.Errorf("state %q: event %q is declared more than once", name, event)
		}
	}
	return nil
}

// count returns how many of the flags are true.
func count(flags ...bool) int {
	n := 0
	for _, flag := range flags {
		if flag {
			n++
		}
	}
	return n
}

// checkReachable checks that every state can be reached from the initial state.
func (c *Chart) checkReachable() error {
	seen := map[State]bool{c.Initial: true}
	pending := []State{c.Initial}
	for len(pending) > 0 {
		state := pending[0]
		pending = pending[1:]
		for _, target := range c.states[state].next {
			if !seen[target] {
				seen[target] = true
				pending = append(pending, target)
			}
		}
	}
	for _, name := range c.order {
		if !seen[name] {
			return errors.Errorf("state %q is unreachable", name)
		}
	}
	return nil
}

// checkRequired checks that the chart declares exactly the given states and events.
func (c *Chart) checkRequired(states []State, events []Event) error {
	for _, state := range states {
		if c.states[state] == nil {
			return errors.Errorf("state %q is not declared", state)
		}
	}
	for _, name := range c.order {
		if !slices.Contains(states, name) {
			return errors.Errorf("state %q is not known to the code", name)
		}
	}
	for _, event := range events {
		if !c.events[event] {
			return errors.Errorf("event %q is not declared", event)
		}
	}
	for _, event := range c.Events() {
		if !slices.Contains(events, event) {
			return errors.Errorf("event %q is not known to the code", event)
		}
	}
	return nil
}

// Events returns every event of the chart in lexical order.
func (c *Chart) Events() []Event {
	events := make([]Event, 0, len(c.events))
	for event := range c.events {
		events = append(events, event)
	}
	sort.Slice(events, func(i, j int) bool { return events[i] < events[j] })
	return events
}

// States returns every state of the chart in the order of the file.
func (c *Chart) States() []State { return slices.Clone(c.order) }

// Final reports whether the state has no transitions.
func (c *Chart) Final(s State) bool {
	n := c.states[s]
	return n != nil && n.final
}

// Next returns the state after the event in state s. It returns s and an error that wraps ErrRejected if the event
// is an error in s. A final state ignores every event.
func (c *Chart) Next(s State, event Event) (State, error) {
	n := c.states[s]
	if n == nil {
		return s, errors.Errorf("chart %q: unknown state %q", c.Name, s)
	}
	if n.final || n.ignore[event] {
		return s, nil
	}
	target, ok := n.next[event]
	if !ok {
		return s, errors.Wrapf(ErrRejected, "chart %q: event %q in state %q", c.Name, event, s)
	}
	return target, nil
}

// Mermaid returns the chart as a Mermaid state diagram.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	fmt.Fprintf(&b, "---\ntitle: %s\n---\nstateDiagram-v2\n    [*] --> %s\n", c.Name, c.Initial)
	for _, name := range c.order {
		c.writeState(&b, name)
	}
	return b.String()
}

// writeState writes the transitions of the state in Mermaid's syntax.
func (c *Chart) writeState(b *strings.Builder, name State) {
	n := c.states[name]
	if n.final {
		fmt.Fprintf(b, "    %s --> [*]\n", name)
		return
	}
	for _, event := range c.Events() {
		if target, ok := n.next[event]; ok {
			fmt.Fprintf(b, "    %s --> %s: %s\n", name, target, event)
		}
	}
}

// Machine is a state machine that follows a Chart. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a Machine in the chart's initial state.
func NewMachine(c *Chart) *Machine { return &Machine{chart: c, state: c.Initial} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Done reports whether the current state is final.
func (m *Machine) Done() bool { return m.chart.Final(m.state) }

// Fire applies the event. If it returns an error, such as ErrRejected, the state is unchanged.
func (m *Machine) Fire(event Event) error {
	next, err := m.chart.Next(m.state, event)
	if err != nil {
		return err
	}
	m.state = next
	return nil
}

package chart

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// door is a valid chart with ignored and rejected events.
const door = `
[chart]
name = door
initial = closed

[state closed]
open = opened
lock = locked
reject = unlock

[state opened]
ignore = open
reject = lock, unlock

[state locked]
unlock = closed
reject = open, lock
`

var (
	doorStates = []State{"closed", "opened", "locked"}
	doorEvents = []Event{"open", "lock", "unlock"}
)

func TestMachineFollowsChart(t *testing.T) {
	m := NewMachine(MustParse([]byte(door), doorStates, doorEvents))
	require.NoError(t, m.Fire("lock"))
	require.ErrorIs(t, m.Fire("open"), ErrRejected)
	require.Equal(t, State("locked"), m.State())
	require.NoError(t, m.Fire("unlock"))
	require.NoError(t, m.Fire("open"))
	require.NoError(t, m.Fire("open"))
	require.False(t, m.Done())
}

func TestParseReportsInvalidChart(t *testing.T) {
	head := "[chart]\nname = x\ninitial = a\n"
	cases := map[string]struct{ text, want string }{
		"no initial state":   {"[chart]\ninitial = a\n", `initial state "a" is not declared`},
		"unreachable state":  {head + "[state a]\ngo = a\n[state b]\ngo = a\n", `state "b" is unreachable`},
		"missing transition": {head + "[state a]\ngo = b\n[state b]\nback = a\nignore = go\n", `state "a": missing transition for event "back"`},
		"undeclared target":  {head + "[state a]\ngo = c\n", `undeclared state "c"`},
		"declared twice":     {head + "[state a]\ngo = a\nignore = go\n", "more than once"},
		"final moves":        {head + "[state a]\nfinal = true\ngo = a\n", `final state "a" has transitions`},
		"unknown to code":    {head + "[state a]\ngo = a\nhop = a\n", `event "hop" is not known`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(c.text), []State{"a"}, []Event{"go"})
			require.ErrorContains(t, err, c.want)
		})
	}
}

func TestMermaidListsTransitions(t *testing.T) {
	c := MustParse([]byte(door), doorStates, doorEvents)
	require.Contains(t, c.Mermaid(), "closed --> locked: lock")
}

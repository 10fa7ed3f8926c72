package roster

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestViewSortsEndpointsByID(t *testing.T) {
	r := New()
	require.Zero(t, r.View().Len())
	r.Set(NewView([]Endpoint{
		{Incarnation: Incarnation{ID: "b"}, Group: "g"},
		{Incarnation: Incarnation{ID: "a"}, Group: "g"},
		{Incarnation: Incarnation{ID: "c"}, Group: "h"},
	}))
	v := r.View()
	require.Equal(t, 3, v.Len())
	require.Equal(t, []string{"a", "b"}, []string{v.Group("g")[0].ID, v.Group("g")[1].ID})
	require.Len(t, v.All(), 3)
	_, ok := v.Endpoint("x")
	require.False(t, ok)
	e, ok := v.Endpoint("c")
	require.True(t, ok)
	require.Equal(t, "h", e.Group)
}

// Guards against endpoints that get requests although their failure domain is evacuated, or none before the time to move work is
// over, and against a mark that one VM passes on to others.
func TestEvacuatedEndpoint(t *testing.T) {
	from := time.Unix(1_700_000_000, 0)
	before := from.Add(-1)
	var e Endpoint
	require.True(t, e.AcceptsRequests(from))
	require.False(t, e.Evacuating())
	e.EvacuatedFrom = from
	require.True(t, e.Evacuating())
	require.True(t, e.AcceptsRequests(before))
	require.False(t, e.AcceptsRequests(from))
	require.True(t, e.Evacuated(from))
	require.False(t, Endpoint{Draining: true}.AcceptsRequests(from))
	e.Group = "g"
	v := NewView([]Endpoint{e, {Group: "other"}})
	require.True(t, v.Evacuating("g"))
	require.False(t, v.Evacuating("other"))
	data, err := json.Marshal(e)
	require.NoError(t, err)
	require.NotContains(t, string(data), "Evacuated")
}

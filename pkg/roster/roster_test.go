package roster

import (
	"testing"

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

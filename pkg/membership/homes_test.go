package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// VMs of all builds choose the same homes: these results must not change. VMs that are gone have no part in it.
func TestHomesAreTheSameEverywhere(t *testing.T) {
	var members []Member
	for i := range 6 {
		members = append(members, Member{ID: fmt.Sprint("vm", i), Gone: i == 2})
	}
	ids := func(key string, n int) string {
		text := ""
		for _, m := range Homes(members, key, n) {
			text += m.ID + " "
		}
		return text
	}
	require.Equal(t, "vm1 vm5 ", ids("1f", 2))
	require.Equal(t, "vm1 vm3 vm0 ", ids("/2a", 3))
	require.Len(t, Homes(members, "1f", 9), 5)
	require.Empty(t, Homes(nil, "1f", 2))
}

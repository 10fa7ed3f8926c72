package lease_test

import (
	"bytes"
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/fleettest"
)

// fleet adds test assertions to a simulated fleet.
type fleet struct {
	*fleettest.Fleet
	t *testing.T
	// logOutput is the log of all VMs if the flag -logged is set.
	logOutput bytes.Buffer
}

// runFleet runs body in a synctest bubble with n VMs started.
func runFleet(t *testing.T, seed int64, n int, names []string, body func(*fleet)) {
	t.Helper()
	runFleetWith(t, seed, func(f *fleet) {
		f.Names = names
		f.StartAll(n)
		body(f)
	})
}

// runFleetWith runs body in a synctest bubble with a fleet that has no VMs yet.
func runFleetWith(t *testing.T, seed int64, body func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{Fleet: fleettest.NewFleet(t.Context(), seed, nil), t: t}
		if *logged {
			log := logrus.New()
			log.SetOutput(&f.logOutput)
			f.Log = log
		}
		defer f.Stop()
		body(f)
	})
}

var logged = flag.Bool("logged", false, "print the VMs' logs of a schedule that fails")

// holder waits until the lease has a holder, and requires that it is the only one.
func (f *fleet) holder(name string, limit time.Duration) *fleettest.VM {
	f.t.Helper()
	v := f.WaitHolder(name, limit)
	require.NotNil(f.t, v, "holder of %s within %v", name, limit)
	require.Len(f.t, f.Holders(name), 1, "holders of %s", name)
	return v
}

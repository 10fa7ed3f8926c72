package soak

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// incompatible are parts of log lines that show that two builds do not understand each other: errors of net/rpc and gob,
// and the events for rows and updates that cannot be decoded.
var incompatible = []string{"gob:", "rpc: can't find", "rpc: service/method", "malformed", "cannot unmarshal"}

// restartWith restarts the VM's process with another binary, by a planned stop or by a kill.
func (w *world) restartWith(t *testing.T, v *vm, binary string, planned bool) {
	t.Helper()
	what, signal := "kill", syscall.SIGKILL
	if planned {
		what, signal = "term", syscall.SIGTERM
	}
	ended := w.faults.begin(what, v.name, planned)
	select {
	case <-v.signal(signal):
	case <-time.After(grace):
		t.Errorf("%s did not end within %s of its planned stop", v.name, grace)
		<-v.signal(syscall.SIGKILL)
	}
	v.binary = binary
	w.writeSettings(v, false)
	w.start(v)
	ended()
}

// Guards against builds that do not understand each other's messages, leases, account records or settings: VMs of two
// builds serve together under load, and each VM is restarted with the other build.
func TestVMsOfTwoBuilds(t *testing.T) {
	other := *otherFlag
	if other == "" {
		other = binary
	}
	w := newWorld(t, binary, 1, 4)
	c, ch := newCallers(w), newChanges()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var loops sync.WaitGroup
	for i, v := range w.vms {
		if i%2 == 0 {
			v.binary = other
		}
		w.start(v)
		loops.Go(func() { w.balance(ctx, v) })
	}
	w.awaitReady()
	calling, stop := context.WithCancel(ctx)
	var calls sync.WaitGroup
	for n := range 16 {
		calls.Go(func() { c.run(calling, n, 1) })
	}
	sleep(ctx, 4*time.Second)
	builds := map[string]string{binary: other, other: binary}
	for i, v := range w.vms {
		w.restartWith(t, v, builds[v.binary], i < 2)
		sleep(ctx, 4*time.Second)
		w.awaitReady()
	}
	sleep(ctx, recovery)
	recovered := time.Now()
	sleep(ctx, 3*time.Second)
	stop()
	calls.Wait()
	report(t, append(check(w, c, ch), served(c, recovered)...), w, c)
	for _, v := range w.vms {
		state, err := v.state()
		require.NoError(t, err)
		require.Equal(t, true, state["ready"])
		for _, part := range incompatible {
			require.NotContains(t, v.log.String(), part, v.name)
		}
	}
	cancel()
	loops.Wait()
}

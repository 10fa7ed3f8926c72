package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/platform/standin"
)

// peakMemory returns the most memory that the VM's process has used, in bytes.
func (v *vm) peakMemory(t *testing.T) int64 {
	t.Helper()
	v.mu.Lock()
	pid := v.cmd.Process.Pid
	v.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	var kilobytes int64
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			_, err := fmt.Sscan(text, &kilobytes)
			require.NoError(t, err)
		}
	}
	require.Positive(t, kilobytes)
	return kilobytes << 10
}

// With as many callers as a VM takes, all of them at endpoints that send bytes without end that are no answer, a VM stays
// within its memory, its callers get none of the bytes, and it serves again once the endpoints answer.
func TestAnswersWithoutEndFitIntoAVM(t *testing.T) {
	const crowd = 1500
	w := newWorld(t, binary, 1, 1)
	for _, e := range w.endpoints {
		e.SetFaults(standin.EndpointFaults{Endless: 1})
		e.SetSlots(crowd)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w.start(w.vms[0])
	go w.balance(ctx, w.vms[0])
	w.awaitReady()
	c := newCallers(w)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: crowd, DisableCompression: true}}
	var crowding sync.WaitGroup
	for i := range crowd {
		crowding.Go(func() {
			for n := range 3 {
				k := kinds[(i+n)%len(kinds)]
				a := &attempt{id: fmt.Sprintf("crowd-%d-%d", i, n), kind: k, account: "large", key: "key-large-0", vm: w.vms[0], prefix: k.prefix}
				if k.events > 0 {
					a.adapter = fmt.Sprintf("a%d", i%4)
				}
				c.send(ctx, client, a, false)
			}
		})
	}
	crowding.Wait()
	peak := w.vms[0].peakMemory(t)
	t.Logf("peak memory %d MB", peak>>20)
	require.Less(t, peak, int64(vmMemory))
	f := &findings{w: w}
	for _, a := range c.all() {
		f.checkAnswer(a)
		f.checkJunk(a)
	}
	require.Empty(t, f.list)
	for _, e := range w.endpoints {
		e.SetFaults(standin.EndpointFaults{})
	}
	require.Eventually(t, func() bool {
		a := c.fatal(fatality{kind: kinds[3]}, w.vms[0], fmt.Sprint("after", time.Now().UnixNano()))
		a.fatal = false
		c.send(ctx, client, a, false)
		return a.ok()
	}, 20*time.Second, 200*time.Millisecond)
}

package hostile

import (
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The crowd and the bounds were fixed on the code of 888e930, before the product changed.
const (
	// crowdSize is the number of clients that send, silentCrowd that of clients whose connections carry little or nothing: more
	// than the process may have descriptors.
	crowdSize   = 150
	silentCrowd = 700
	// attackTime is how long the clients go on. A client whose connection ends opens another one after reconnectPause.
	attackTime     = 3 * time.Second
	reconnectPause = 50 * time.Millisecond
	// sampleInterval is the interval between two looks at the open descriptors.
	sampleInterval = 20 * time.Millisecond
)

// attack is a kind of hostile client.
type attack struct {
	name  string
	crowd int
	// run uses one connection, which has a deadline at the end of the attack.
	run func(conn net.Conn)
}

// Guards against callers that make the process exceed its memory or its descriptors, or that it never recovers from, at
// each of its addresses.
func TestHostileClients(t *testing.T) {
	targets := []struct {
		name    string
		address func(*gateway) string
		attacks []attack
	}{
		{"callers", func(g *gateway) string { return g.callers }, append(append(headAttacks(safePrefix+"x"), bodyAttacks(safePrefix+"x")...), unreadAnswers(callerRequest()))},
		{"readiness", func(g *gateway) string { return g.readiness }, append(headAttacks("/readyz"), unreadAnswers(plainRequest("/readyz")))},
		{"metrics", func(g *gateway) string { return g.metrics }, append(headAttacks("/metrics"), unreadAnswers(plainRequest("/metrics")), unreadState())},
		{"peer", func(g *gateway) string { return g.peer }, peerAttacks()},
	}
	for _, target := range targets {
		for _, a := range target.attacks {
			t.Run(target.name+"/"+a.name, func(t *testing.T) {
				skipKnownRed(t)
				g := startGateway(t)
				withstand(t, g, target.address(g), a)
			})
		}
	}
}

// withstand runs the attack against the address, and checks the process during it and after it.
func withstand(t *testing.T, g *gateway, address string, a attack) {
	t.Helper()
	before := g.peakMemory()
	var crowd sync.WaitGroup
	var connections atomic.Int64
	end := time.Now().Add(attackTime)
	for range a.crowd {
		crowd.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.DialTimeout("tcp", address, time.Until(end))
				if err == nil {
					connections.Add(1)
					_ = conn.SetDeadline(end)
					a.run(conn)
					_ = conn.Close()
				}
				time.Sleep(reconnectPause)
			}
		})
	}
	descriptors := 0
	for time.Now().Before(end) {
		descriptors = max(descriptors, g.descriptors())
		time.Sleep(sampleInterval)
	}
	crowd.Wait()
	var failure error
	served := false
	for deadline := time.Now().Add(20 * time.Second); !served && g.alive() && time.Now().Before(deadline); {
		failure = g.ordinary("afterwards")
		served = failure == nil
	}
	peak := g.peakMemory()
	t.Logf("peak memory %.1f MB (%.1f MB before), %d descriptors, %d connections", float64(peak)/(1<<20), float64(before)/(1<<20), descriptors, connections.Load())
	recordFigures(t, peak, descriptors)
	require.True(t, g.alive(), "the process has ended")
	require.True(t, served, "an ordinary request afterwards: %v", failure)
	require.LessOrEqual(t, peak, int64(memoryMB<<20), "peak memory")
	require.LessOrEqual(t, descriptors, maxDescriptors, "open descriptors")
}

// recordFigures appends the figures of the test to the file that HOSTILE_FIGURES names, if it does.
func recordFigures(t *testing.T, peak int64, descriptors int) {
	t.Helper()
	path := os.Getenv("HOSTILE_FIGURES")
	if path == "" {
		return
	}
	f, err := os.OpenFile(filepath.Clean(path), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	_, err = f.WriteString(figures(t.Name(), peak, descriptors))
	require.NoError(t, err)
}

// Package hostile runs the gateway's process against clients that send what exhausts a server: heads without end, bodies that
// stop, connections that carry nothing, requests whose answers are not read. Each test checks that the process is alive, that
// its memory and open descriptors stay within its settings, and that it serves an ordinary request afterwards.
package hostile

import (
	"bytes"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/platform/standin"
)

var knownRed = flag.Bool("known-red", false, "run also the tests that KNOWN-RED.txt lists")

// The settings of the process under test. They are below those of any deployment, so that few clients suffice.
const (
	memoryMB       = 64
	maxDescriptors = 600
	headerBytes    = 16 << 10
	bodyBytes      = 4 << 20
	headerTimeout  = 3 * time.Second
	idleTimeout    = 5 * time.Second
)

const (
	hostName    = "hostile.example"
	serviceName = "ledger"
	safePrefix  = "/safe/"
)

var daemon string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "mallowlink-hostile")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	daemon = filepath.Join(dir, "mallowlinkd")
	build := exec.Command("go", "build", "-o", daemon, "../../cmd/mallowlinkd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// skipKnownRed skips the test, and prints its entry, if KNOWN-RED.txt lists it and -known-red is not set.
func skipKnownRed(t *testing.T) {
	t.Helper()
	list, err := os.ReadFile("../../KNOWN-RED.txt")
	require.NoError(t, err)
	for line := range strings.Lines(string(list)) {
		if strings.HasPrefix(line, "test: test/hostile "+t.Name()+";") && !*knownRed {
			t.Skip("known red, passed over: " + strings.TrimSpace(line))
		}
	}
}

// gateway is a process under test and its addresses.
type gateway struct {
	callers, readiness, peer, metrics string

	process *os.Process
	ended   chan struct{}
	log     *output
}

// startGateway starts a process with the stand-ins of a store and of one endpoint, and waits until it serves requests.
func startGateway(t *testing.T) *gateway {
	t.Helper()
	return startGatewayWith(t, standin.NewStore(), configuration())
}

// startGatewayWith is startGateway with a store that may have further endpoints, and with an operator's row.
func startGatewayWith(t *testing.T, store *standin.Store, config map[string]any) *gateway {
	t.Helper()
	storeListener := listen(t)
	server := &http.Server{Handler: store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(storeListener) }()
	t.Cleanup(func() { _ = server.Close() })
	endpointListener := listen(t)
	endpoint := standin.StartEndpoint(standin.EndpointConfig{
		ID: "ledger-1", Group: serviceName, FailureDomain: "north", Slots: 64,
		RunTime: time.Millisecond, HeartbeatInterval: 400 * time.Millisecond,
		// The stand-in reads the bodies of requests only to look for this text; else it answers before a large one has arrived.
		CrashText: "crash", OnCrash: (*standin.Endpoint).Crash,
	}, endpointListener, endpointListener.Addr().String(), store, standin.NewAudit(), 1)
	t.Cleanup(endpoint.Crash)
	require.NoError(t, store.Put("op", "config", config))

	first := freePorts(t, 4)
	address := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", first+n) }
	g := &gateway{callers: address(0), readiness: address(1), peer: address(2), metrics: address(3), log: &output{}}
	g.start(t, first, storeListener.Addr().String())
	require.Eventually(t, func() bool { return g.ordinary("ready") == nil }, 30*time.Second, 100*time.Millisecond)
	return g
}

func (g *gateway) start(t *testing.T, firstPort int, store string) {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "vm-1.conf")
	text := fmt.Sprintf(`node_name=vm-1
ip=127.0.0.1
zone=north
listen.frontend=%s
listen.readiness=%s
port_range=%d,%d
bootstrap=true
limits.cpu_share=0.4
limits.memory_mb=%d
limits.max_fds=%d
bounds.grace_s=8
bounds.revoke_ms=5000
bounds.lease_ms=3000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_slack=54
bounds.quota_window_s=8
bounds.quota_overage=0.1
bounds.quota_slack=2000
platform.address=%s
`, g.callers, g.readiness, firstPort+2, firstPort+3, memoryMB, maxDescriptors, store)
	require.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	cmd := exec.Command(daemon, "gateway", "--peer-address", g.peer)
	cmd.Env = append(os.Environ(), "MALLOWLINK_NODE_FILE="+settings, "GOMAXPROCS=2")
	cmd.Stdout, cmd.Stderr = g.log, g.log
	require.NoError(t, cmd.Start())
	g.process, g.ended = cmd.Process, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(g.ended)
	}()
	t.Cleanup(func() {
		_ = g.process.Kill()
		<-g.ended
		if t.Failed() {
			t.Logf("log of the process:\n%s", g.log.tail())
		}
	})
}

// configuration returns the operator's row: one route to one plain service, without client accounts.
func configuration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "safe", "host": hostName, "prefix": safePrefix, "route_class": "safe", "service": serviceName,
			"timeout_ms": 4000, "target_latency_ms": 600, "target_gap_ms": 400, "max_attempts": 3, "priority": 0,
		}},
		"services": []map[string]any{{"name": serviceName, "health_path": standin.HealthPath, "max_connections": 100}},
		"limits": map[string]any{
			"max_header_bytes": headerBytes, "max_body_bytes": bodyBytes,
			"header_timeout_ms": headerTimeout.Milliseconds(), "idle_timeout_ms": idleTimeout.Milliseconds(),
		},
	}
}

// newRequest returns an ordinary request of a caller. A nil body makes it a GET.
func newRequest(address, id string, body []byte) *http.Request {
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+address+safePrefix+"x", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	(&standin.Request{ID: id, Timeout: 4 * time.Second}).SetHeaders(req.Header)
	return req
}

// ordinary sends one ordinary request on a connection of its own.
func (g *gateway) ordinary(id string) error {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(newRequest(g.callers, id, nil))
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// alive reports whether the process still runs.
func (g *gateway) alive() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// peakMemory returns the largest resident set of the process so far, in bytes; 0 if the process has ended.
func (g *gateway) peakMemory() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.process.Pid))
	if err != nil {
		return 0
	}
	var kilobytes int64
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			_, _ = fmt.Sscan(text, &kilobytes)
		}
	}
	return kilobytes << 10
}

// descriptors returns the number of open descriptors of the process; 0 if the process has ended.
func (g *gateway) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// Ports of the process lie below those that the system gives to outgoing connections, and below those of test/soak. Each test
// process has a range of its own.
const (
	firstPort  = 10000
	portRanges = 10
	portRange  = 200
)

var nextPort atomic.Int64

// freePorts returns the first of n free ports in a row.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	for range portRange {
		offset := int(nextPort.Add(int64(n))) % (portRange - n)
		first := firstPort + os.Getpid()%portRanges*portRange + offset
		free := true
		for port := first; port < first+n && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if err == nil {
				_ = l.Close()
			}
			free = err == nil
		}
		if free {
			return first
		}
	}
	t.Fatal("no free ports")
	return 0
}

// output keeps what a process has written.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// tail returns the last 6 KB.
func (o *output) tail() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	text := o.text.Bytes()
	return string(text[max(0, len(text)-6<<10):])
}

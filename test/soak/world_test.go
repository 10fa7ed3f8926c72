package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/platform/standin"
)

// The size and the figures of the deployment. The bounds are those of the users' deployments.
const (
	engineCount  = 4
	serviceCount = 2
	adapterCount = 40
	places       = 6
	loadTime     = 150 * time.Millisecond
	streamEvents = 6
	eventPause   = 15 * time.Millisecond
	// longEventPause is that of streams that callers take up.
	longEventPause = 120 * time.Millisecond
	heartbeat      = 400 * time.Millisecond
	orderTurns     = 3 * time.Second
	keyWithdrawal  = 5 * time.Second
	drainTime      = 2 * time.Second
	configTime     = 2 * time.Second
	versionTime    = 5 * time.Second
	contactTime    = 3 * time.Second
	grace          = 8 * time.Second
	quotaWindow    = 8 * time.Second
	quotaOverage   = 0.1
	quotaSlack     = 2000
	retryShare     = 0.2
	retryReserve   = 54
	retryWindow    = 10 * time.Second
	vmMemory       = 184 << 20
)

// Groups, and the route prefixes of each kind of request.
const (
	engineGroup  = "engines"
	serviceGroup = "ledger"
	modelName    = "m0"
	hostName     = "soak.example"

	streamPrefix = "/stream/"
	resumePrefix = "/resume/"
	oncePrefix   = "/once/"
	safePrefix   = "/safe/"
)

// account is a client account of the deployment.
type account struct {
	name  string
	key   string
	rate  float64
	burst float64
}

// world is a deployment: the stand-ins, in this process, and the VMs, each a process of its own.
type world struct {
	t      *testing.T
	binary string
	dir    string
	begun  time.Time

	store    *standin.Store
	storeURL string
	audit    *standin.Audit
	vms      []*vm
	accounts []account
	faults   *faultLog
	// accepting says that the addresses of endpoints that have ended go on taking connections.
	accepting bool
	// software are the versions of the endpoints that start, in turn; the stand-in's default if there are none. pause is the time
	// between two events of their streams.
	software []string
	pause    time.Duration
	// coldTime is how long endpoints that start again are cold.
	coldTime time.Duration

	mu sync.Mutex
	// The fields below are guarded by mu.

	endpoints []*endpoint
	next      int
	crashes   int
	config    configuration
	random    *rand.Rand
}

// endpoint is an endpoint and the proxy before it.
type endpoint struct {
	*standin.Endpoint
	proxy    *proxy
	software string
	// ended is when it crashed or left; zero while it runs.
	ended time.Time
	// restarting says that it has been crashed by a request, and is started again for that.
	restarting bool
}

// vm is a VM with the proxies around its process.
type vm struct {
	name, domain              string
	callers, readiness, admin string
	settings                  string
	binary                    string
	store, peer               *proxy
	log                       *logFile
	mu                        sync.Mutex
	cmd                       *exec.Cmd
	ended                     chan struct{}
	stopping                  bool
	ready                     bool
	missed                    int
}

// configuration is the operator's row.
type configuration struct {
	Version  uint64           `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Tenants  []map[string]any `json:"tenants"`
	Limits   map[string]any   `json:"limits"`
}

var domains = []string{"north", "east", "west"}

func newWorld(t *testing.T, binary string, seed uint64, vms int, software ...string) *world {
	t.Helper()
	w := &world{
		t: t, binary: binary, dir: t.TempDir(), begun: time.Now(), store: standin.NewStore(), audit: standin.NewAudit(),
		random: rand.New(rand.NewPCG(seed, 2)), faults: &faultLog{}, software: software, pause: eventPause,
		accounts: []account{
			{"large", "key-large-0", 0, 0}, {"small", "key-small-0", 60, 120}, {"limited", "key-limited-0", 600, 1200},
		},
	}
	if len(software) > 0 {
		// Streams are to break off in the middle.
		w.pause = longEventPause
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	w.storeURL = l.Addr().String()
	for range engineCount {
		w.addEndpoint(engineGroup)
	}
	for range serviceCount {
		w.addEndpoint(serviceGroup)
	}
	w.config = w.firstConfig()
	w.operate(func(*configuration) {})
	for i := range vms {
		w.vms = append(w.vms, w.newVM(i))
	}
	return w
}

// draw returns a random number below n.
func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// addEndpoint starts an endpoint.
func (w *world) addEndpoint(group string) *endpoint { return w.startEndpoint(group, nil) }

// startEndpoint starts an endpoint, under the name and at the address of one that has ended if before is not
// nil.
func (w *world) startEndpoint(group string, before *endpoint) *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Error(err)
		return nil
	}
	var p *proxy
	if before == nil {
		p = newProxy(w.t, l.Addr().String())
	} else if p = before.proxy; !p.retarget(l.Addr().String()) {
		// Another process has taken the port meanwhile.
		p, before = newProxy(w.t, l.Addr().String()), nil
	}
	w.next++
	cfg := standin.EndpointConfig{
		ID: fmt.Sprintf("%s-%d", group, w.next), Group: group, FailureDomain: domains[w.next%len(domains)],
		Slots: 8, RunTime: 10 * time.Millisecond, HeartbeatInterval: heartbeat, CrashText: fatalMark, CrashPart: fatalPart, OnCrash: w.crashedByRequest,
	}
	if len(w.software) > 0 {
		cfg.Software = w.software[w.next%len(w.software)]
	}
	if before != nil {
		cfg.ID, cfg.ColdTime, cfg.Software = before.ID(), w.coldTime, before.software
	}
	if group == engineGroup {
		cfg.Model, cfg.AdapterSlots, cfg.LoadTime, cfg.StreamEvents, cfg.EventInterval = modelName, places, loadTime, streamEvents, w.pause
		cfg.Slots = 16
	}
	e := &endpoint{Endpoint: standin.StartEndpoint(cfg, l, p.address(), w.store, w.audit, uint64(w.next)), proxy: p, software: cfg.Software}
	w.endpoints = append(w.endpoints, e)
	w.t.Cleanup(func() { w.end(e, false) })
	return e
}

// end crashes an endpoint, or makes it leave.
func (w *world) end(e *endpoint, leave bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !e.ended.IsZero() {
		return
	}
	e.ended = time.Now()
	if leave {
		e.Leave()
	} else {
		e.Crash()
		// The store drops the entry of an endpoint that writes no more.
		time.AfterFunc(3*heartbeat, func() { w.lapse(e) })
	}
	if w.accepting {
		e.proxy.reset()
	} else {
		e.proxy.shut()
	}
}

// lapse drops the entry of an endpoint that has ended, unless it has started again under its name.
func (w *world) lapse(e *endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, other := range w.endpoints {
		if other != e && other.ID() == e.ID() && other.ended.IsZero() {
			return
		}
	}
	w.store.Remove("servers", e.ID())
}

// alive returns the endpoints of a group that run.
func (w *world) alive(group string) []*endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*endpoint
	for _, e := range w.endpoints {
		if e.ended.IsZero() && e.Group() == group {
			list = append(list, e)
		}
	}
	return list
}

func route(name, class, service, prefix string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "route_class": class, "service": service,
		"timeout_ms": 4000, "target_latency_ms": 600, "target_gap_ms": 400, "max_attempts": attempts, "priority": 0,
	}
}

func (w *world) firstConfig() configuration {
	c := configuration{
		Routes: []map[string]any{
			route("stream", "streaming", engineGroup, streamPrefix, 1),
			route("resume", "streaming", engineGroup, resumePrefix, 3),
			route("once", "non_idempotent", serviceGroup, oncePrefix, 1),
			route("safe", "safe", serviceGroup, safePrefix, 3),
		},
		Services: []map[string]any{
			{"name": serviceGroup, "health_path": standin.HealthPath, "max_connections": 100},
			{"name": engineGroup, "health_path": standin.HealthPath, "max_connections": 200, "engine": map[string]any{
				"slots": 16, "kv_cache_tokens": 100_000, "max_adapters": places,
				"models": []map[string]any{{"name": modelName, "load_s": 0.5}},
			}},
		},
		Limits: map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 10000,
		},
	}
	c.Routes[1]["resumable"] = true
	for _, a := range w.accounts {
		c.Tenants = append(c.Tenants, map[string]any{
			"name": a.name, "api_keys": []string{a.key}, "rate_per_s": a.rate, "burst": a.burst,
			"unit": "tokens", "plain_tokens": 1,
		})
	}
	return c
}

// operate writes the operator's row after a change to it, and returns its version.
func (w *world) operate(change func(*configuration)) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.config)
	w.config.Version += 1 + uint64(w.random.IntN(4))
	if err := w.store.Put("op", "config", w.config); err != nil {
		w.t.Error(err)
	}
	return w.config.Version
}

// Ports of VMs lie below those that the system gives to outgoing connections, and each process that plays has a range of
// its own: a VM that has ended must find its ports free when it starts again.
const (
	firstPort  = 12000
	portRanges = 20
	portRange  = 1000
)

// nextPort is the next port to try within the range of this process.
var nextPort atomic.Int64

// freePorts returns as many free ports in a row.
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

func (w *world) newVM(i int) *vm {
	first := freePorts(w.t, 4)
	address := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", first+n) }
	v := &vm{
		name: fmt.Sprintf("vm-%d", i+1), domain: domains[i%len(domains)],
		callers: address(0), readiness: address(1), admin: address(3), binary: w.binary,
		settings: filepath.Join(w.dir, fmt.Sprintf("vm-%d.conf", i+1)),
		store:    newProxy(w.t, w.storeURL), peer: newProxy(w.t, address(2)),
		log: newLogFile(w.t, filepath.Join(w.dir, fmt.Sprintf("vm-%d.log", i+1))),
	}
	w.writeSettings(v, true)
	return v
}

// writeSettings writes the VM's settings file as the platform does.
func (w *world) writeSettings(v *vm, first bool) {
	port := strings.TrimPrefix(v.callers, "127.0.0.1:")
	var base int
	_, err := fmt.Sscan(port, &base)
	require.NoError(w.t, err)
	text := fmt.Sprintf(`node_name=%s
ip=127.0.0.1
zone=%s
listen.frontend=%s
listen.readiness=%s
port_range=%d,%d
bootstrap=%t
limits.cpu_share=0.4
limits.memory_mb=%d
limits.max_fds=4100
bounds.grace_s=%g
bounds.revoke_ms=%d
bounds.lease_ms=%d
bounds.retry_budget_ratio=%g
bounds.budget_window_s=%g
bounds.retry_slack=%d
bounds.quota_window_s=%g
bounds.quota_overage=%g
bounds.quota_slack=%d
platform.address=%s
`, v.name, v.domain, v.callers, v.readiness, base+2, base+3, first, vmMemory>>20, grace.Seconds(), keyWithdrawal.Milliseconds(),
		orderTurns.Milliseconds(), retryShare, retryWindow.Seconds(), retryReserve, quotaWindow.Seconds(), quotaOverage,
		quotaSlack, v.store.address())
	require.NoError(w.t, os.WriteFile(v.settings, []byte(text), 0o600))
}

// start starts the VM's process.
func (w *world) start(v *vm) {
	args := []string{"gateway", "--peer-address", v.peer.address()}
	if *placementFlag != "" {
		args = append(args, "--placement", *placementFlag)
	}
	cmd := exec.Command(v.binary, args...)
	cmd.Env = append(os.Environ(), "MALLOWLINK_NODE_FILE="+v.settings, "GOMAXPROCS=2")
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		w.t.Error(err)
		return
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	v.mu.Lock()
	v.cmd, v.ended, v.stopping, v.ready, v.missed = cmd, ended, false, false, 0
	v.mu.Unlock()
	w.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-ended
	})
}

// signal sends a signal to the VM's process.
func (v *vm) signal(s syscall.Signal) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.cmd.Process.Signal(s)
	if s == syscall.SIGTERM {
		v.stopping = true
	}
	return v.ended
}

// inRotation reports whether new connections come to the VM.
func (v *vm) inRotation() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ready
}

// balance asks a VM whether it is ready, as the platform does, until ctx ends.
func (w *world) balance(ctx context.Context, v *vm) {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		res, err := client.Get("http://" + v.readiness + "/readyz")
		ok := err == nil && res.StatusCode == http.StatusOK
		if err == nil {
			_ = res.Body.Close()
		}
		v.mu.Lock()
		if ok {
			v.ready, v.missed = true, 0
		} else if v.missed++; v.missed >= 2 {
			v.ready = false
		}
		v.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// state returns a VM's dump.
func (v *vm) state() (map[string]any, error) {
	client := &http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + v.admin + "/state")
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	var state map[string]any
	return state, json.NewDecoder(res.Body).Decode(&state)
}

// logFile keeps what a VM's processes have written.
type logFile struct {
	mu   sync.Mutex
	text bytes.Buffer
	path string
}

func newLogFile(t *testing.T, path string) *logFile {
	t.Helper()
	l := &logFile{path: path}
	t.Cleanup(func() {
		if dir := os.Getenv("SOAK_LOGS"); dir != "" {
			_ = os.WriteFile(filepath.Join(dir, strings.ReplaceAll(t.Name(), "/", "_")+"-"+filepath.Base(path)), []byte(l.String()), 0o600)
		}
	})
	return l
}

func (l *logFile) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logFile) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

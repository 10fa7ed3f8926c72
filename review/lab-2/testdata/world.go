// Command lab plays one case of the review: it starts the store's stand-in, servers of its own and gateways as separate
// processes, sends requests, and checks one rule by what clients and servers have seen.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/mallowlink/mallowlink/platform/standin"
)

// Bounds of the small deployments, as their settings state them.
const (
	contact      = 3 * time.Second
	heartbeat    = 1200 * time.Millisecond
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 110_000
	hostName     = "lab.example"
	modelName    = "m0"
	keyOfLab     = "n7gq04hs8d2kx1pz5rtw"
	accountOfLab = "ward"
)

// world holds everything that a case has started.
type world struct {
	begun    time.Time
	dir      string
	store    *standin.Store
	storeAt  string
	gateways []*gateway

	mu      sync.Mutex
	record  *os.File
	version uint64
	number  int
}

// gateway is one process of the project.
type gateway struct {
	name, callers, readiness string
	cmd                      *exec.Cmd
}

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "lab-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{begun: time.Now(), dir: dir, record: record, store: standin.NewStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAt = l.Addr().String()
	go func() { _ = (&http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return w, nil
}

// note writes a line with the time since the begin to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// close ends the processes and removes the folder.
func (w *world) close() {
	for _, g := range w.gateways {
		if g.cmd != nil && g.cmd.Process != nil {
			_ = g.cmd.Process.Kill()
			_ = g.cmd.Wait()
		}
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// configure writes the operator's configuration.
func (w *world) configure(routes, services []map[string]any, rate, burst float64) error {
	w.version += 3
	return w.store.Put("op", "config", map[string]any{
		"version": w.version, "routes": routes, "services": services,
		"tenants": []map[string]any{{
			"name": accountOfLab, "api_keys": []string{keyOfLab}, "rate_per_s": rate, "burst": burst, "unit": "tokens", "plain_tokens": 200,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
	})
}

func route(name, class, service, prefix string, attempts int, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "route_class": class, "service": service, "priority": 0,
		"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 600, "target_gap_ms": 400, "max_attempts": attempts,
		"sticky": class == "streaming",
	}
}

func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_connections": 360, "engine": map[string]any{
			"slots": 64, "kv_cache_tokens": kvTokens, "max_adapters": 17,
			"models": []map[string]any{{"name": modelName, "weights_mb": 65100, "load_s": 0.6, "adapters": 3000, "adapter_mb": 12}},
		},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 100}
}

// freePorts returns n free ports in a row below those of outgoing connections.
func freePorts(n int) (int, error) {
	for first := 13000 + os.Getpid()%1500*8; first < 32000; first += n {
		free := true
		for port := first; port < first+n && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if err == nil {
				_ = l.Close()
			}
			free = err == nil
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

var zones = []string{"salt-lake", "howrah", "garia"}

// startGateways starts n gateways with the command of the deploy file, and waits until all are ready.
func (w *world) startGateways(n int) error {
	first, err := freePorts(4 * n)
	if err != nil {
		return err
	}
	for i := range n {
		port := first + 4*i
		g := &gateway{name: fmt.Sprintf("edge-%d", i+1), callers: address(port), readiness: address(port + 1)}
		w.gateways = append(w.gateways, g)
		settings := filepath.Join(w.dir, g.name+".conf")
		if err := os.WriteFile(settings, []byte(w.settings(g, port, zones[i%len(zones)])), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(w.dir, g.name+".log"))
		if err != nil {
			return err
		}
		g.cmd = exec.Command("target/mallowlinkd", "gateway")
		g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "MALLOWLINK_NODE_FILE=" + settings}
		g.cmd.Stdout, g.cmd.Stderr = log, log
		// The gateways end with this process.
		g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := g.cmd.Start(); err != nil {
			return err
		}
		w.note("gateway %s started, process %d", g.name, g.cmd.Process.Pid)
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if w.allReady() {
			w.note("all gateways are ready")
			return nil
		}
	}
	return fmt.Errorf("the gateways are not ready")
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func (w *world) allReady() bool {
	client := &http.Client{Timeout: time.Second}
	for _, g := range w.gateways {
		res, err := client.Get("http://" + g.readiness + "/readyz")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// settings returns the settings file of a gateway, with the bounds of the small deployments.
func (w *world) settings(g *gateway, port int, zone string) string {
	lines := []string{
		"node_name=" + g.name, "role=gateway", "machine_class=edge", "serves=edge", "ip=127.0.0.1", "zone=" + zone, "region=kolkata",
		"listen.frontend=" + g.callers, "listen.readiness=" + g.readiness, fmt.Sprintf("port_range=%d,%d", port+2, port+3),
		"bootstrap=true", "counts_as_loss=false", "limits.cpu_share=0.4", "limits.cpu_cores=1", "limits.memory_mb=284",
		"limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=8",
		"bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.revoke_strict=true", "bounds.revoke_ms=5000",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.retry_slack=54", "bounds.quota_window_s=8",
		"bounds.quota_overage=0.1", "bounds.quota_slack=110000", "bounds.require_fencing=false", "bounds.lease_ms=3000",
		"bounds.version_ms=5000", "platform.address=" + w.storeAt, "platform.form=table", "platform.writes_per_s=400",
		"platform.reads_per_s=2000", "platform.row_bytes=65536", "platform.across=false", "platform.history_s=20",
	}
	return strings.Join(lines, "\n") + "\n"
}

// request is one client attempt.
type request struct {
	id, method, path, body string
	header                 map[string]string
	timeout                time.Duration
}

// nextID returns a new attempt ID.
func (w *world) nextID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.number++
	return fmt.Sprintf("%016x", uint64(w.number)*0x9e3779b97f4a7c15)
}

// send sends a client attempt to a gateway and returns the status, 0 if the channel ended without a whole answer.
func (w *world) send(client *http.Client, g *gateway, r request) int {
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+g.callers+r.path, strings.NewReader(r.body))
	if err != nil {
		return 0
	}
	req.Host = hostName
	req.Header.Set("X-Attempt-Id", r.id)
	req.Header.Set("X-Key", keyOfLab)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(r.timeout.Milliseconds()))
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := readAll(res); err != nil {
		return 0
	}
	return res.StatusCode
}

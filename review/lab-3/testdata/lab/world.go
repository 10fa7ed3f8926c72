package main

import (
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

// The deployment: as many VMs in three failure domains as a small deployment has, with its settings.
const (
	vmCount      = 7
	memoryMB     = 284
	frontendPort = 8221
	readyPort    = 8224
	firstPort    = 7600
	grace        = 8 * time.Second
	heartbeat    = 1200 * time.Millisecond
	hostName     = "review.example"
	modelName    = "base"
	tenantKey    = "key-of-tenant-1"
)

var domains = []string{"north", "east", "west"}

// settings is the settings file that the platform gives to a process.
const settings = `node_name=%[1]s
role=gateway
machine_class=edge
serves=edge
ip=%[2]s
zone=%[3]s
region=home
zones.north=home
zones.east=home
zones.west=home
listen.frontend=%[2]s:%[5]d
listen.readiness=%[2]s:%[6]d
port_range=%[7]d,%[8]d
bootstrap=%[4]t
counts_as_loss=false
limits.cpu_share=0.4
limits.cpu_cores=1
limits.memory_mb=%[9]d
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=5000
bounds.revoke_strict=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_slack=54
bounds.quota_window_s=8
bounds.quota_overage=0.1
bounds.quota_slack=110000
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.require_fencing=false
bounds.lease_ms=3000
bounds.thaw_slack_ms=300
bounds.ceiling_window_s=5
bounds.ceiling_overage=1.1
bounds.version_ms=5000
platform.address=%[10]s
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.txn_ms=5.0
platform.part_writes_s=200
platform.row_bytes=65536
platform.across=false
platform.history_s=20
platform.blob_bytes=8388608
platform.blob_ms=25.0
platform.blob_mb_s=80.0
`

// vm is a VM of the deployment. Its process is the one of the deploy file.
type vm struct {
	name, ip, domain string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// wanted says that the process is to run: an end of its own is a crash.
	wanted bool
	// peakKB is the highest resident memory seen, over all processes of the VM.
	peakKB int
	// killed counts the times that the process was killed for its memory.
	killed int
	// crashes describes the processes that ended by themselves.
	crashes []string
}

func (v *vm) frontend() string { return fmt.Sprintf("%s:%d", v.ip, frontendPort) }

// world is the deployment: the stand-ins of the platform's store and of the servers are in this process.
type world struct {
	dir     string
	store   *standin.Store
	audit   *standin.Audit
	address string // of the store
	vms     []*vm
	rec     *record
}

// newWorld starts the store and prepares the VMs. Each case has addresses of its own, so that cases may run one after the
// other at once.
func newWorld(rec *record, net3 int) (*world, error) {
	dir, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: standin.NewStore(), audit: standin.NewAudit(), rec: rec}
	l, err := listen()
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	for i := range vmCount {
		w.vms = append(w.vms, &vm{
			name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("127.%d.%d.%d", 40+net3, os.Getpid()%250+1, i+1), domain: domains[i%len(domains)],
		})
	}
	return w, nil
}

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// start starts the process of a VM.
func (w *world) start(v *vm, first bool) error {
	path := filepath.Join(w.dir, v.name+".conf")
	text := fmt.Sprintf(settings, v.name, v.ip, v.domain, first, frontendPort, readyPort, firstPort, firstPort+15, memoryMB, w.address)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/mallowlinkd", "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MALLOWLINK_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.ended, v.wanted = cmd, ended, true
	v.mu.Unlock()
	go func() {
		err := cmd.Wait()
		v.mu.Lock()
		if v.wanted && v.cmd == cmd {
			v.crashes = append(v.crashes, fmt.Sprintf("%s ended by itself: %v", v.name, err))
		}
		v.mu.Unlock()
		close(ended)
	}()
	return nil
}

// startAll starts the processes of all VMs and waits until all are ready.
func (w *world) startAll() error {
	for _, v := range w.vms {
		if err := w.start(v, true); err != nil {
			return err
		}
	}
	for _, v := range w.vms {
		if !w.awaitReady(v, 20*time.Second) {
			return fmt.Errorf("%s has not become ready", v.name)
		}
	}
	return nil
}

// ready asks a VM's readiness address, as the platform does.
func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", v.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) awaitReady(v *vm, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if v.ready() {
			return true
		}
	}
	return false
}

// kill ends the process of a VM with SIGKILL and waits for its end.
func (v *vm) kill() {
	v.mu.Lock()
	cmd, ended := v.cmd, v.ended
	v.wanted = false
	v.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-ended
}

// sampleMemory records the resident memory of the VM's process, in KB.
func (v *vm) sampleMemory() int {
	v.mu.Lock()
	cmd, wanted := v.cmd, v.wanted
	v.mu.Unlock()
	if cmd == nil || !wanted {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var kb int
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			_, _ = fmt.Sscan(rest, &kb)
		}
	}
	v.mu.Lock()
	v.peakKB = max(v.peakKB, kb)
	v.mu.Unlock()
	return kb
}

func (w *world) close() {
	for _, v := range w.vms {
		v.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		w.rec.printf("kept: %s", w.dir)
	}
}

// route returns a route of the configuration.
func route(name, class, service, prefix string, attempts int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "route_class": class, "service": service, "timeout_ms": 5000,
		"target_latency_ms": 600, "target_gap_ms": 400, "max_attempts": attempts, "priority": 0, "public": false,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// configure writes the operator's configuration.
func (w *world) configure(routes, services []map[string]any) error {
	return w.store.Put("op", "config", map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{
			"name": "tenant-1", "api_keys": []string{tenantKey}, "priority": 1, "unit": "tokens", "plain_tokens": 200,
			"rate_per_s": 97186, "burst": 97186,
		}},
	})
}

// engineService describes a service of engines in the configuration.
func engineService(name string, slots int) map[string]any {
	return map[string]any{
		"name": name, "health_path": standin.HealthPath, "max_connections": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": slots, "kv_cache_tokens": 249466, "weights_mb": 66600.0, "max_adapters": 17, "loads_per_s": 5.4,
			"models": []map[string]any{{"name": modelName, "weights_mb": 65100.0, "load_s": 0.6, "adapters": 3000, "adapter_mb": 12.0}},
		},
	}
}

// plainService describes a service without engines.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": standin.HealthPath, "max_connections": 100, "protocol": "h1", "tls": false}
}

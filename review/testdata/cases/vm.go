package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// vm is a VM: the process of a gateway, or the silence of a machine without power.
type vm struct {
	w                  *world
	name, domain       string
	port               int
	callers, readiness string

	mu sync.Mutex
	// The fields below are guarded by mu.

	cmd    *exec.Cmd
	ended  chan struct{}
	ready  bool
	missed int
	// dark are the descriptors and connections that keep the ports of a machine without power from answering.
	darkSockets []int
	darkConns   []net.Conn
}

// portCount is the number of ports of a VM: callers, readiness, peers, metrics.
const portCount = 4

// freePorts returns the first of as many free ports in a row, below those that the system gives to outgoing connections.
func freePorts(w *world, n int) int {
	for range 2000 {
		first := 12000 + w.intN(18000)
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
	panic("no free ports")
}

func newVM(w *world, i int) *vm {
	first := freePorts(w, portCount)
	v := &vm{
		w: w, name: fmt.Sprintf("vm-%d", i+1), domain: domains[i%len(domains)], port: first,
		callers: fmt.Sprintf("127.0.0.1:%d", first), readiness: fmt.Sprintf("127.0.0.1:%d", first+1),
	}
	v.writeSettings(true)
	return v
}

// writeSettings writes the settings file as the platform does.
func (v *vm) writeSettings(bootstrap bool) {
	text := fmt.Sprintf(`node_name=%s
role=gateway
machine_class=edge
serves=edge
ip=127.0.0.1
zone=%s
region=review
listen.frontend=%s
listen.readiness=%s
port_range=%d,%d
bootstrap=%t
counts_as_loss=false
limits.cpu_share=0.4
limits.cpu_cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.contact_ms=3000
bounds.config_apply_ms=2000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.revoke_strict=true
bounds.revoke_ms=5000
bounds.recovery_s=12
bounds.lease_ms=3000
bounds.require_fencing=false
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_slack=54
bounds.quota_window_s=8
bounds.quota_overage=0.1
bounds.quota_slack=110000
platform.address=%s
platform.form=table
`, v.name, v.domain, v.callers, v.readiness, v.port+2, v.port+3, bootstrap, v.w.storeURL)
	must(os.WriteFile(v.w.settingsPath(v.name), []byte(text), 0o600))
}

// start starts the VM's process with the command of the deploy file. Its log goes to a file in the temporary folder, or to
// the folder that CASE_LOGS names.
func (v *vm) start() {
	dir := v.w.dir
	if kept := os.Getenv("CASE_LOGS"); kept != "" {
		dir = kept
	}
	log, err := os.OpenFile(filepath.Join(dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(v.w.binary, "gateway")
	cmd.Env = append(os.Environ(), "MALLOWLINK_NODE_FILE="+v.w.settingsPath(v.name), "GOMAXPROCS=2")
	cmd.Stdout, cmd.Stderr = log, log
	must(cmd.Start())
	v.w.logf("%s: process started", v.name)
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd, v.ended, v.ready, v.missed = cmd, ended, false, 0
}

// signal sends a signal to the VM's process and returns a channel that is closed when the process has ended.
func (v *vm) signal(s syscall.Signal) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.cmd.Process.Signal(s)
	v.w.logf("%s: %s", v.name, s)
	return v.ended
}

// end kills the VM's process, if it runs, and frees its ports.
func (v *vm) end() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(syscall.SIGCONT)
		_ = v.cmd.Process.Kill()
		<-v.ended
	}
	for _, c := range v.darkConns {
		_ = c.Close()
	}
	for _, fd := range v.darkSockets {
		_ = syscall.Close(fd)
	}
	v.darkConns, v.darkSockets = nil, nil
}

// goDark makes the ports of a VM whose process has ended behave as those of a machine without power: connections to them
// get no answer.
func (v *vm) goDark() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for port := v.port; port < v.port+portCount; port++ {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		must(err)
		must(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
		must(syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}))
		must(syscall.Listen(fd, 0))
		v.darkSockets = append(v.darkSockets, fd)
		// Nothing accepts connections: once the queue is full, the opening packets of further ones are dropped.
		for range 8 {
			c, err := net.DialTimeout("tcp", fmt.Sprintf("127.0.0.1:%d", port), 150*time.Millisecond)
			if err != nil {
				break
			}
			v.darkConns = append(v.darkConns, c)
		}
	}
	v.w.logf("%s: without power, its addresses do not answer", v.name)
}

// inRotation reports whether the balancer sends new connections to the VM.
func (v *vm) inRotation() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ready
}

// balance asks each VM once a second whether it is ready, as the platform does.
func (w *world) balance() {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, v := range w.list() {
			go v.check(client)
		}
		time.Sleep(time.Second)
	}
}

// list returns the VMs.
func (w *world) list() []*vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.vms)
}

// check asks the VM once whether it is ready. Two misses take it out of rotation.
func (v *vm) check(client *http.Client) {
	res, err := client.Get("http://" + v.readiness + "/readyz")
	ok := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_ = res.Body.Close()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if ok {
		v.ready, v.missed = true, 0
	} else if v.missed++; v.missed >= 2 {
		v.ready = false
	}
}

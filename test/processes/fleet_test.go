// Package processes runs daemons as processes of their own, over real sockets, against stand-ins in
// the test's process.
package processes

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/bundle/rollout"
	"github.com/mallowlink/mallowlink/pkg/ctl/dev/load"
	"github.com/mallowlink/mallowlink/pkg/daemon"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/standin"
	"github.com/mallowlink/mallowlink/pkg/standin/engine"
	"github.com/mallowlink/mallowlink/pkg/standin/object"
	"github.com/mallowlink/mallowlink/pkg/standin/service"
	"github.com/mallowlink/mallowlink/pkg/standin/table"
	"github.com/mallowlink/mallowlink/pkg/standin/vmlist"
	"github.com/mallowlink/mallowlink/pkg/standin/weights"
)

const (
	vms      = 3
	engines  = 4
	adapters = 12
	// readyTimeout bounds the wait for a daemon.
	readyTimeout = 20 * time.Second
)

var otherDaemon = flag.String("other-daemon", "", "mallowlinkd of another build, for a fleet of two builds; empty for this one only")

// accounts are the client accounts of the bundle, with their keys.
var accounts = []load.Account{
	{Name: "north", Key: "key-of-north", Weight: 1},
	{Name: "south", Key: "key-of-south", Weight: 1},
}

// process is one daemon.
type process struct {
	id     string
	config string
	cmd    *exec.Cmd
	log    *logBuffer
	// callers and admin are base URLs.
	callers, admin string
	// number is the VM's number, starts how often its daemon has been started.
	number, starts int
}

// logBuffer collects a process's output.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// fleet is three daemons and their surroundings.
type fleet struct {
	t       *testing.T
	binary  string
	table   *table.Server
	objects *object.Server
	vms     *vmlist.Server
	engines []*engine.Server
	// ran are the base URLs of the endpoints, which keep records of what ran.
	ran       []string
	processes []*process
	seed      uint64
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, table: table.New(), objects: object.New(), vms: vmlist.New(vmlist.Options{Lag: time.Second})}
	f.binary = filepath.Join(t.TempDir(), "mallowlinkd")
	out, err := exec.Command("go", "build", "-o", f.binary, "../../cmd/mallowlinkd").CombinedOutput()
	require.NoError(t, err, string(out))
	platformURLs := []string{f.serve(f.table), f.serve(f.objects), f.serve(f.vms)}
	signer := f.applyBundle()
	for i := range vms {
		f.processes = append(f.processes, f.configure(i+1, platformURLs, signer))
	}
	for _, p := range f.processes {
		f.start(p)
	}
	return f
}

// serve serves the handler on loopback and returns its base URL.
func (f *fleet) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go func() { _ = standin.Serve(ctx, listener, handler) }()
	return "http://" + listener.Addr().String()
}

// freeAddress returns an address of loopback that was free a moment ago.
func (f *fleet) freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// applyBundle starts the endpoints, brings a bundle with them into force and returns the signer.
func (f *fleet) applyBundle() ed25519.PublicKey {
	text := f.bundleText()
	b, err := bundle.Parse(bundle.Source{Name: "fleet.ini", Data: []byte(text)})
	require.NoError(f.t, err)
	b.Version = 1
	public, private, err := ed25519.GenerateKey(nil)
	require.NoError(f.t, err)
	envelope, err := bundle.Seal(b)
	require.NoError(f.t, err)
	envelope.Sign(private)
	store := rollout.Store{Table: f.table, Objects: f.objects}
	_, err = store.Accept(f.t.Context(), rollout.Acceptance{
		Trust:    bundle.Trust{Signers: []ed25519.PublicKey{public}, Required: 1},
		Envelope: envelope.Marshal(),
		By:       "test",
		Now:      time.Now(),
	})
	require.NoError(f.t, err)
	return public
}

func (f *fleet) bundleText() string {
	var b strings.Builder
	b.WriteString("[fleet]\nloads = 5/s\nloads-at-once = 2\ntransfers-in-flight = 16\nretry-percent = 8\n" +
		"[model demo]\nmax-tokens = 512\nprefix = 1KiB\n" +
		"[group engines]\nkind = engine\nmodel = demo\nqueue-limit = 1000\n" +
		"[group desk]\nkind = service\nqueue-limit = 200\n" +
		"[route issue]\nmethod = POST\npath = /issues\ngroup = desk\nidempotent = false\ncost = 10\ntimeout = 20s\n")
	store := f.serve(weights.New(weights.Kolkata()))
	for i := range engines {
		ignores := i == engines-1
		e := engine.New(engine.Options{WeightsURL: store, IgnoreFencing: ignores})
		f.engines = append(f.engines, e)
		url := f.serve(e)
		f.ran = append(f.ran, url)
		fmt.Fprintf(&b, "[endpoint engine-%d]\ngroup = engines\nurl = %s\nfailure-domain = d1\nslots = 8\nmax-running = 16\nchecks-fencing = %t\n", i, url, !ignores)
	}
	desk := f.serve(service.New(service.Options{}))
	f.ran = append(f.ran, desk)
	fmt.Fprintf(&b, "[endpoint desk-0]\ngroup = desk\nurl = %s\nfailure-domain = d1\nmax-running = 16\n", desk)
	for _, a := range accounts {
		fmt.Fprintf(&b, "[account %s]\nrate = 20000/s\nburst = 100000\nweight = 1\n", a.Name)
		fmt.Fprintf(&b, "[key %s-1]\naccount = %s\nsha256 = %s\n", a.Name, a.Name, bundle.HashKey(a.Key))
	}
	for i := range adapters {
		fmt.Fprintf(&b, "[adapter %s]\nmodel = demo\nversions = v1\ndefault = v1\naccounts = north, south\n", adapterName(i))
	}
	return b.String()
}

func adapterName(i int) string { return fmt.Sprintf("adapter-%02d", i) }

// configure writes the settings of one VM and puts it on the platform's list.
func (f *fleet) configure(n int, urls []string, signer ed25519.PublicKey) *process {
	p := &process{id: fmt.Sprintf("vm-%d", n), number: n}
	callers, peer, admin := f.freeAddress(), f.freeAddress(), f.freeAddress()
	p.callers, p.admin = "http://"+callers, "http://"+admin
	p.config = filepath.Join(f.t.TempDir(), p.id+".ini")
	text := fmt.Sprintf("[vm]\nid = %s\nfailure-domain = d%d\n[listen]\ncallers = %s\npeer = %s\nadmin = %s\n"+
		"[platform]\ntable = %s\nobjects = %s\nvms = %s\n[bundle]\nsigners = %s\nrequired-signers = 1\n"+
		"[timeouts]\nbalancer-wait = 500ms\ndrain = 30s\n",
		p.id, n, callers, peer, admin, urls[0], urls[1], urls[2], hex.EncodeToString(signer))
	require.NoError(f.t, os.WriteFile(p.config, []byte(text), 0o600))
	f.vms.Register(platform.VM{ID: p.id, FailureDomain: fmt.Sprintf("d%d", n), PeerAddress: peer})
	return p
}

// daemonOf returns the daemon to start for a VM. If another build is named, neighbouring VMs begin with different builds,
// and each restart changes the VM's build.
func (f *fleet) daemonOf(p *process) string {
	if *otherDaemon != "" && (p.number+p.starts)%2 == 0 {
		return *otherDaemon
	}
	return f.binary
}

// start runs the daemon. The process is killed when the test ends.
func (f *fleet) start(p *process) {
	p.log = &logBuffer{}
	p.cmd = exec.Command(f.daemonOf(p), "run", "--config", p.config)
	p.starts++
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	require.NoError(f.t, p.cmd.Start())
	cmd, log := p.cmd, p.log
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if f.t.Failed() {
			f.t.Logf("%s, warnings:\n%s", p.id, log.warnings())
		}
	})
}

// warnings returns the lines that are not of level info.
func (b *logBuffer) warnings() string {
	var kept []string
	for _, line := range strings.Split(b.String(), "\n") {
		if !strings.Contains(line, "level=info") || strings.Contains(line, "lease_") {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

// awaitAnswers waits until every VM has answered a request that needs an engine.
func (f *fleet) awaitAnswers() {
	body := fmt.Sprintf(`{"model":%q,"prompt":"ready?","max_tokens":1}`, adapterName(0))
	for _, p := range f.processes {
		require.Eventually(f.t, func() bool {
			req, err := http.NewRequest(http.MethodPost, p.callers+"/v1/completions", strings.NewReader(body))
			require.NoError(f.t, err)
			req.Header.Set("Authorization", "Bearer "+accounts[0].Key)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}, readyTimeout, 50*time.Millisecond, "%s: %s", p.id, p.log)
	}
}

// state reads the process's state dump.
func (f *fleet) state(p *process) (daemon.State, error) {
	var state daemon.State
	resp, err := http.Get(p.admin + "/state")
	if err != nil {
		return state, err
	}
	defer resp.Body.Close()
	return state, json.NewDecoder(resp.Body).Decode(&state)
}

// owner returns the process that owns the group, and the others.
func (f *fleet) owner(group string) (owner *process, others []*process) {
	require.Eventually(f.t, func() bool {
		owner, others = nil, nil
		for _, p := range f.processes {
			state, err := f.state(p)
			if err != nil {
				continue
			}
			if owns(state, group) {
				owner = p
			} else {
				others = append(others, p)
			}
		}
		return owner != nil && len(others) == vms-1
	}, readyTimeout, 20*time.Millisecond)
	return owner, others
}

func owns(state daemon.State, group string) bool {
	for _, g := range state.Owner.Groups {
		if g.Group == group {
			return true
		}
	}
	return false
}

// loadDuring is auditedLoad for faults that no caller may notice as a wrong or cut answer.
func (f *fleet) loadDuring(t *testing.T, to []*process, fault func()) *load.Report {
	t.Helper()
	report := f.auditedLoad(t, to, fault)
	require.Zero(t, report.Bad(), "an answer was wrong or cut")
	return report
}

// auditedLoad sends load to the given VMs while fault runs, and returns the report once the load has
// ended and the endpoints' records show nothing doubled, lost, falsely refused or leaked.
func (f *fleet) auditedLoad(t *testing.T, to []*process, fault func()) *load.Report {
	t.Helper()
	f.seed++
	opts := load.Options{
		Rate: 40, Duration: 5 * time.Second, Seed: f.seed, Zipf: 1, Accounts: accounts,
		ServiceShare: 0.25, ServicePath: service.IssuesPath, StreamShare: 0.6, BatchShare: 0.1,
		Tokens: 40, BatchTokens: 100, PromptBytes: 200, Timeout: 40 * time.Second, MaxInFlight: 500,
	}
	for _, p := range to {
		opts.Entries = append(opts.Entries, p.callers)
	}
	for i := range adapters {
		opts.Adapters = append(opts.Adapters, load.Adapter{Model: adapterName(i)})
	}
	go func() {
		time.Sleep(opts.Duration / 3)
		fault()
	}()
	report, err := load.Run(t.Context(), opts)
	require.NoError(t, err)
	var text strings.Builder
	report.Write(&text)
	t.Log("\n" + text.String())
	audit, err := report.Check(t.Context(), f.ran, accounts)
	require.NoError(t, err)
	require.Zero(t, audit.Bad(), "%+v", audit)
	return report
}

// kill ends the process at once, as the failure of its VM would.
func (p *process) kill() { _ = p.cmd.Process.Signal(syscall.SIGKILL) }

// terminate asks the process for a planned stop.
func (p *process) terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

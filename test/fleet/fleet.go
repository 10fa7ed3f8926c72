// Package fleet runs several daemons with stand-ins for everything around them in one process, over
// real sockets on loopback, for tests of the whole system under faults.
package fleet

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/daemon"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/settings"
	"github.com/mallowlink/mallowlink/pkg/standin"
	"github.com/mallowlink/mallowlink/pkg/standin/engine"
	"github.com/mallowlink/mallowlink/pkg/standin/fault"
	"github.com/mallowlink/mallowlink/pkg/standin/object"
	"github.com/mallowlink/mallowlink/pkg/standin/service"
	"github.com/mallowlink/mallowlink/pkg/standin/table"
	"github.com/mallowlink/mallowlink/pkg/standin/vmlist"
	"github.com/mallowlink/mallowlink/pkg/standin/weights"
)

const (
	loopback  = "127.0.0.1:0"
	readyPoll = 20 * time.Millisecond
	// readyTimeout bounds the wait until every VM answers.
	readyTimeout = 30 * time.Second
	// drainTimeout bounds a planned stop.
	drainTimeout = 20 * time.Second
	// logVariable names the environment variable that sets the daemons' log level.
	logVariable = "FLEET_LOG"
	// prefixBytes is the length of prompt over which prefix affinity is computed.
	prefixBytes = 1024
)

// domains are the failure domains, which VMs and endpoints are spread over.
var domains = []string{"domain-1", "domain-2", "domain-3"}

// Options describe a fleet. Zero values mean the defaults of withDefaults.
type Options struct {
	VMs      int
	Engines  int
	Services int
	Adapters int
	// Slots and MaxRunning are those of each engine.
	Slots      int
	MaxRunning int
	// QueueLimit bounds the requests that wait for a group.
	QueueLimit    int
	TokenInterval time.Duration
	ServiceDelay  time.Duration
	// ResumeTimeout is the engines' engine.Options.ResumeTimeout.
	ResumeTimeout time.Duration
	Weights       weights.Options
	Accounts      []Account
}

func (o Options) withDefaults() Options {
	setDefault(&o.VMs, 3)
	setDefault(&o.Engines, 3)
	setDefault(&o.Services, 1)
	setDefault(&o.Adapters, 8)
	setDefault(&o.Slots, 4)
	setDefault(&o.MaxRunning, 16)
	setDefault(&o.QueueLimit, 1000)
	setDefault(&o.TokenInterval, time.Millisecond)
	setDefault(&o.Weights.TransferTime, 10*time.Millisecond)
	if len(o.Accounts) == 0 {
		o.Accounts = []Account{
			{Name: "north", Rate: 1e6, Burst: 1e6, Keys: []string{"demo-north-key"}},
			{Name: "south", Rate: 1e6, Burst: 1e6, Keys: []string{"demo-south-key"}},
		}
	}
	return o
}

func setDefault[T comparable](value *T, otherwise T) {
	var zero T
	if *value == zero {
		*value = otherwise
	}
}

// VM is one daemon of a fleet.
type VM struct {
	ID string
	// URL is the base URL for callers, Admin that for operators.
	URL   string
	Admin string

	daemon *daemon.Daemon
	stop   sync.Once
	err    error
}

// Stop drains the daemon and ends it. Later calls return the result of the first.
func (v *VM) Stop(ctx context.Context) error {
	v.stop.Do(func() { v.err = v.daemon.Stop(ctx) })
	return v.err
}

// Fleet is a running fleet.
type Fleet struct {
	VMs      []*VM
	Engines  []*engine.Server
	Services []*service.Server
	Table    *table.Server
	Objects  *object.Server
	List     *vmlist.Server
	Weights  *weights.Server
	// EngineURLs and ServiceURLs are the base URLs of the endpoints.
	EngineURLs  []string
	ServiceURLs []string

	opts   Options
	signer ed25519.PrivateKey
	bundle document
	cancel context.CancelFunc

	tableURL, objectsURL, listURL string
}

// signerSeed makes the signer's key the same in every run.
var signerSeed = make([]byte, ed25519.SeedSize)

// Start starts a fleet and returns once every VM answers.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f := &Fleet{opts: opts.withDefaults(), signer: ed25519.NewKeyFromSeed(signerSeed), cancel: cancel}
	if err := f.start(ctx, background); err != nil {
		f.Stop(ctx)
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx, background context.Context) error {
	if err := f.startStandIns(background); err != nil {
		return err
	}
	f.bundle = f.firstDocument()
	if err := f.accept(ctx); err != nil {
		return errors.Wrap(err, "first bundle")
	}
	for i := range f.opts.VMs {
		if err := f.addVM(fmt.Sprintf("vm-%d", i+1), domains[i%len(domains)]); err != nil {
			return err
		}
	}
	for _, vm := range f.VMs {
		if err := vm.daemon.Start(ctx); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

// addVM builds a daemon and lists it.
func (f *Fleet) addVM(id, domain string) error {
	d, err := daemon.New(f.settings(id, domain), os.Stderr)
	if err != nil {
		return err
	}
	f.List.Register(platform.VM{ID: id, FailureDomain: domain, PeerAddress: d.Addresses().Peer})
	f.VMs = append(f.VMs, &VM{
		ID:     id,
		URL:    "http://" + d.Addresses().Callers,
		Admin:  "http://" + d.Addresses().Admin,
		daemon: d,
	})
	return nil
}

func (f *Fleet) settings(id, domain string) settings.Settings {
	s := settings.Default()
	s.VM = settings.VM{ID: id, FailureDomain: domain}
	s.Listen = settings.Listen{Callers: loopback, Peer: loopback, Admin: loopback}
	s.Platform = settings.Platform{Table: f.tableURL, Objects: f.objectsURL, VMs: f.listURL}
	s.Bundle.Signers = []ed25519.PublicKey{f.signer.Public().(ed25519.PublicKey)}
	s.Bundle.Required = 1
	s.Timeouts.BalancerWait = 0
	s.Timeouts.Drain = drainTimeout
	s.Log.Level = "error"
	if level := os.Getenv(logVariable); level != "" {
		s.Log.Level = level
	}
	return s
}

// startStandIns starts the platform's stand-ins and the endpoints.
func (f *Fleet) startStandIns(ctx context.Context) error {
	f.Table, f.Objects, f.List = table.New(), object.New(), vmlist.New(vmlist.Options{})
	f.Weights = weights.New(f.opts.Weights)
	var weightsURL string
	servers := []struct {
		handler http.Handler
		url     *string
	}{{f.Table, &f.tableURL}, {f.Objects, &f.objectsURL}, {f.List, &f.listURL}, {f.Weights, &weightsURL}}
	for _, server := range servers {
		if err := listen(ctx, server.handler, server.url); err != nil {
			return err
		}
	}
	f.EngineURLs = make([]string, f.opts.Engines)
	for i := range f.EngineURLs {
		f.Engines = append(f.Engines, engine.New(f.engineOptions(weightsURL)))
		if err := listen(ctx, f.Engines[i], &f.EngineURLs[i]); err != nil {
			return err
		}
	}
	f.ServiceURLs = make([]string, f.opts.Services)
	for i := range f.ServiceURLs {
		f.Services = append(f.Services, service.New(service.Options{Delay: f.opts.ServiceDelay}))
		if err := listen(ctx, f.Services[i], &f.ServiceURLs[i]); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) engineOptions(weightsURL string) engine.Options {
	return engine.Options{
		Slots:         f.opts.Slots,
		MaxRunning:    f.opts.MaxRunning,
		TokenInterval: f.opts.TokenInterval,
		WeightsURL:    weightsURL,
		ResumeTimeout: f.opts.ResumeTimeout,
		PrefixBytes:   prefixBytes,
	}
}

// listen serves the handler on a free port of loopback until ctx ends.
func listen(ctx context.Context, handler http.Handler, url *string) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "listen for a stand-in")
	}
	*url = "http://" + listener.Addr().String()
	go func() { _ = standin.Serve(ctx, listener, handler) }()
	return nil
}

// Stop stops every VM, and then the stand-ins.
func (f *Fleet) Stop(ctx context.Context) {
	defer f.cancel()
	var group sync.WaitGroup
	for _, vm := range f.VMs {
		group.Go(func() { _ = vm.Stop(ctx) })
	}
	group.Wait()
}

// URLs are the callers' base URLs of all VMs.
func (f *Fleet) URLs() []string {
	urls := make([]string, len(f.VMs))
	for i, vm := range f.VMs {
		urls[i] = vm.URL
	}
	return urls
}

// Endpoints are the base URLs of all endpoints.
func (f *Fleet) Endpoints() []string {
	return append(append([]string(nil), f.EngineURLs...), f.ServiceURLs...)
}

// platformFaults are the faults of the platform's services.
func (f *Fleet) platformFaults() []*fault.Set {
	return []*fault.Set{f.Table.Faults, f.Objects.Faults, f.List.Faults}
}

// Owner returns the VM that holds a lease.
func (f *Fleet) Owner(ctx context.Context, name string) (*VM, error) {
	for _, vm := range f.VMs {
		var state daemon.State
		if err := vm.state(ctx, &state); err != nil {
			continue
		}
		for _, l := range state.Leases.Leases {
			if l.Name == name && l.Holder == vm.ID && l.Remaining > 0 {
				return vm, nil
			}
		}
	}
	return nil, errors.Errorf("nobody holds %s", name)
}

// state reads the VM's state dump.
func (v *VM) state(ctx context.Context, out *daemon.State) error {
	req, err := newRequest(ctx, http.MethodGet, v.Admin+"/state", "", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// awaitReady waits until every VM has answered a call to a service and one to an engine.
func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, vm := range f.VMs {
		for !f.answers(ctx, vm) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "%s is not ready", vm.ID)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func (f *Fleet) answers(ctx context.Context, vm *VM) bool {
	for _, path := range []string{"/readyz", "/tools/ready"} {
		if !succeeds(ctx, http.MethodGet, vm.URL+path, "", nil) {
			return false
		}
	}
	for _, account := range f.opts.Accounts {
		body := []byte(`{"model":"adapter-0000","max_tokens":1,"messages":[{"role":"user","content":"ready"}]}`)
		if !succeeds(ctx, http.MethodPost, vm.URL+"/v1/chat/completions", account.Keys[0], body) {
			return false
		}
	}
	return true
}

func succeeds(ctx context.Context, method, url, key string, body []byte) bool {
	req, err := newRequest(ctx, method, url, key, body)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

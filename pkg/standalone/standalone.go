// Package standalone runs one daemon together with stand-ins for everything around it, in one
// process and on loopback only. It is for a first try and for development.
package standalone

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"text/template"
	"time"

	_ "embed"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/bundle/rollout"
	"github.com/mallowlink/mallowlink/pkg/daemon"
	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/settings"
	"github.com/mallowlink/mallowlink/pkg/standin"
	"github.com/mallowlink/mallowlink/pkg/standin/engine"
	"github.com/mallowlink/mallowlink/pkg/standin/object"
	"github.com/mallowlink/mallowlink/pkg/standin/service"
	"github.com/mallowlink/mallowlink/pkg/standin/table"
	"github.com/mallowlink/mallowlink/pkg/standin/vmlist"
	"github.com/mallowlink/mallowlink/pkg/standin/weights"
)

const (
	loopback  = "127.0.0.1:0"
	vmName    = "local-1"
	domain    = "local"
	readyPoll = 10 * time.Millisecond
	// readyTimeout bounds the wait for the first answer's prerequisites.
	readyTimeout = 15 * time.Second
	// signerAndOperator names who applies the example bundle.
	signerAndOperator = "standalone"
)

// Sizes of the stand-ins.
const (
	// DefaultMaxRunning is the default of Options.MaxRunning.
	DefaultMaxRunning = 16

	engineSlots    = 2
	loadsPerSecond = 5
	loadsAtOnce    = 2
	loadTime       = 250 * time.Millisecond
	transfers      = 16
)

//go:embed bundle.ini.tmpl
var bundleTemplate string

// Options configure a run.
type Options struct {
	// Callers is the callers' address; a free port of loopback if empty.
	Callers string
	// LogLevel is the daemon's log level.
	LogLevel string
	// TokenInterval is the time between two tokens of the engines; the engine's default if 0.
	TokenInterval time.Duration
	// MaxRunning bounds the requests that each endpoint runs at once; DefaultMaxRunning if 0.
	MaxRunning int
}

// System is a running standalone system.
type System struct {
	// Address is the callers' address, Admin the operators'.
	Address string
	Admin   string
	// Key is a caller's key of the example bundle.
	Key string
	// Engines are the base URLs of the engines.
	Engines []string
	// Took is the time from the start to readiness.
	Took time.Duration

	daemon *daemon.Daemon
	cancel context.CancelFunc
}

// Start starts everything and returns when a request can be answered.
func Start(ctx context.Context, opts Options) (*System, error) {
	began := time.Now()
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &System{cancel: cancel}
	if err := s.start(ctx, background, opts); err != nil {
		cancel()
		return nil, err
	}
	s.Took = time.Since(began)
	return s, nil
}

func (s *System) start(ctx, background context.Context, opts Options) error {
	if opts.MaxRunning == 0 {
		opts.MaxRunning = DefaultMaxRunning
	}
	around, err := startStandIns(background, opts)
	if err != nil {
		return err
	}
	s.Engines = []string{around.urls.Engine1, around.urls.Engine2}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return errors.Wrap(err, "make signer")
	}
	s.Key, err = newKey()
	if err != nil {
		return err
	}
	trust := bundle.Trust{Signers: []ed25519.PublicKey{public}, Required: 1}
	if err := around.apply(ctx, trust, private, s.Key); err != nil {
		return errors.Wrap(err, "apply the example bundle")
	}
	s.daemon, err = daemon.New(daemonSettings(opts, around, public), os.Stderr)
	if err != nil {
		return err
	}
	around.vms.Register(platform.VM{ID: vmName, FailureDomain: domain, PeerAddress: s.daemon.Addresses().Peer})
	s.Address = s.daemon.Addresses().Callers
	s.Admin = s.daemon.Addresses().Admin
	if err := s.daemon.Start(ctx); err != nil {
		return err
	}
	return s.awaitAnswer(ctx)
}

func newKey() (string, error) {
	secret := make([]byte, 16)
	if _, err := rand.Read(secret); err != nil {
		return "", errors.Wrap(err, "make key")
	}
	return "demo-" + hex.EncodeToString(secret), nil
}

func daemonSettings(opts Options, around *standIns, signer ed25519.PublicKey) settings.Settings {
	s := settings.Default()
	s.VM = settings.VM{ID: vmName, FailureDomain: domain}
	s.Listen = settings.Listen{Callers: opts.Callers, Peer: loopback, Admin: loopback}
	if opts.Callers == "" {
		s.Listen.Callers = loopback
	}
	s.Platform = settings.Platform{Table: around.tableURL, Objects: around.objectsURL, VMs: around.vmsURL}
	s.Bundle.Signers = []ed25519.PublicKey{signer}
	s.Bundle.Required = 1
	s.Timeouts.BalancerWait = 0
	if opts.LogLevel != "" {
		s.Log.Level = opts.LogLevel
	}
	return s
}

// awaitAnswer waits until the plain service and an engine have answered a request.
func (s *System) awaitAnswer(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !s.answers(ctx, "/tools/ready") || !s.answers(ctx, "/v1/models") {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "not ready")
		case <-time.After(readyPoll):
		}
	}
	return nil
}

func (s *System) answers(ctx context.Context, path string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address+path, nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// Greeting tells how to use the system. Its last line is a command that works as pasted.
func (s *System) Greeting() string {
	return fmt.Sprintf(`ready in %s
callers: http://%s
admin:   http://%s
key:     %s
curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"laptop-help","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Is the image done?"}]}'
`, s.Took.Round(time.Millisecond), s.Address, s.Admin, s.Key, s.Address, s.Key)
}

// Failed is closed when the daemon has failed.
func (s *System) Failed() <-chan struct{} { return s.daemon.Failed() }

// Stop drains the daemon and ends the stand-ins.
func (s *System) Stop(ctx context.Context) error {
	defer s.cancel()
	return s.daemon.Stop(ctx)
}

// standIns are the stand-ins and where they listen.
type standIns struct {
	table   *table.Server
	objects *object.Server
	vms     *vmlist.Server

	tableURL, objectsURL, vmsURL string
	urls                         endpointURLs
}

// endpointURLs fill the example bundle in.
type endpointURLs struct {
	Engine1, Engine2, Service string
	KeyHash                   string
	MaxRunning                int
}

func startStandIns(ctx context.Context, opts Options) (*standIns, error) {
	s := &standIns{table: table.New(), objects: object.New(), vms: vmlist.New(vmlist.Options{})}
	store := weights.New(weights.Options{
		LoadsPerSecond: loadsPerSecond,
		AtOnce:         loadsAtOnce,
		TransferTime:   loadTime,
		FullSpeed:      transfers,
	})
	var weightsURL string
	if err := listen(ctx, store, &weightsURL); err != nil {
		return nil, err
	}
	engineOptions := engine.Options{
		Slots:         engineSlots,
		MaxRunning:    opts.MaxRunning,
		TokenInterval: opts.TokenInterval,
		WeightsURL:    weightsURL,
	}
	s.urls.MaxRunning = opts.MaxRunning
	servers := []struct {
		handler http.Handler
		url     *string
	}{
		{s.table, &s.tableURL},
		{s.objects, &s.objectsURL},
		{s.vms, &s.vmsURL},
		{engine.New(engineOptions), &s.urls.Engine1},
		{engine.New(engineOptions), &s.urls.Engine2},
		{service.New(service.Options{}), &s.urls.Service},
	}
	for _, server := range servers {
		if err := listen(ctx, server.handler, server.url); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// listen serves the handler on a free port of loopback until ctx ends.
func listen(ctx context.Context, handler http.Handler, url *string) error {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "listen for a stand-in")
	}
	*url = "http://" + listener.Addr().String()
	go func() { _ = standin.Serve(ctx, listener, handler) }()
	return nil
}

// apply signs the example bundle and brings it into force.
func (s *standIns) apply(ctx context.Context, trust bundle.Trust, signer ed25519.PrivateKey, key string) error {
	envelope, err := s.envelope(signer, key)
	if err != nil {
		return err
	}
	store := rollout.Store{Table: s.table, Objects: s.objects}
	_, err = store.Accept(ctx, rollout.Acceptance{
		Trust:    trust,
		Envelope: envelope,
		By:       signerAndOperator,
		Now:      time.Now(),
	})
	return err
}

func (s *standIns) envelope(signer ed25519.PrivateKey, key string) ([]byte, error) {
	fill := s.urls
	fill.KeyHash = bundle.HashKey(key)
	var text bytes.Buffer
	if err := template.Must(template.New("bundle").Parse(bundleTemplate)).Execute(&text, fill); err != nil {
		return nil, errors.Wrap(err, "fill the example bundle in")
	}
	b, err := bundle.Parse(bundle.Source{Name: "bundle.ini", Data: text.Bytes()})
	if err != nil {
		return nil, err
	}
	b.Version = 1
	e, err := bundle.Seal(b)
	if err != nil {
		return nil, err
	}
	e.Sign(signer)
	return e.Marshal(), nil
}

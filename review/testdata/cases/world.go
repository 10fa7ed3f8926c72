package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/pkg/orders"
	"github.com/mallowlink/mallowlink/platform/standin"
)

// Figures of the deployment. The bounds are those of the users' small deployments.
const (
	usualEngines  = 3
	serviceCount  = 2
	adapterCount  = 3000
	adapterSlots  = 6
	loadTime      = 250 * time.Millisecond
	streamEvents  = 6
	eventInterval = 15 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
	recoveryTime  = 12 * time.Second
	warmUp        = 10 * time.Second
)

// Names of the deployment.
const (
	engineGroup  = "engines"
	serviceGroup = "ledger"
	modelName    = "m0"
	hostName     = "review.example"
	streamPrefix = "/ask/"
	safePrefix   = "/lookup/"
)

// maxEntries is the number of entries that one call of the store may hold.
const maxEntries = 100

// world is a deployment: the stand-ins in this process, and the VMs, each a process of its own.
type world struct {
	binary, dir string
	begun       time.Time
	store       *standin.Store
	storeURL    string
	audit       *standin.Audit
	server      *http.Server
	vms         []*vm
	// engines is the number of engines, interval the time between two requests.
	engines  int
	interval time.Duration
	// handovers receives the leases of engines that their holders hand over.
	handovers chan handover

	mu sync.Mutex
	// The fields below are guarded by mu.

	record *os.File
	random *rand.Rand
	ranks  *rand.Zipf
	// sessions are the times at which VMs last wrote their sessions to the store.
	sessions map[string]time.Time
	// largest is the number of entries of the largest transaction, rejected the number of those with too many.
	largest, rejected int
	closed            bool
}

func newWorld(binary, record string) (*world, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	w := &world{
		binary: binary, dir: dir, begun: time.Now(), sessions: map[string]time.Time{},
		engines: usualEngines, interval: requestInterval, handovers: make(chan handover, 100), store: standin.NewStore(), audit: standin.NewAudit(), record: file,
		random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)),
	}
	w.ranks = rand.NewZipf(w.random, popularity, 1, adapterCount-1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeURL = l.Addr().String()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serveStore), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// serveStore holds transactions to the number of entries that the platform's page allows.
func (w *world) serveStore(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/rows-tx" {
		w.store.ServeHTTP(out, r)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	var body struct {
		Expected []json.RawMessage `json:"expected"`
		Set      []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"set_keys"`
		Remove   []json.RawMessage `json:"remove"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	entries := len(body.Expected) + len(body.Set) + len(body.Remove)
	w.mu.Lock()
	w.largest = max(w.largest, entries)
	tooMany := entries > maxEntries
	if tooMany {
		w.rejected++
	}
	for _, row := range body.Set {
		if name, ok := strings.CutPrefix(row.Key, "lease/session/"); ok {
			w.sessions[name] = time.Now()
		}
	}
	w.mu.Unlock()
	if tooMany {
		w.logf("store: transaction with %d entries answered 400 (at most %d)", entries, maxEntries)
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range body.Set {
		w.noteHandover(row.Key, row.Value)
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	w.store.ServeHTTP(out, r)
}

// logf writes a line to the record, with the time since the case began.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case has started.
func (w *world) close() {
	w.mu.Lock()
	done := w.closed
	w.closed = true
	w.mu.Unlock()
	if done {
		return
	}
	for _, v := range w.vms {
		v.end()
	}
	_ = w.server.Close()
	_ = os.RemoveAll(w.dir)
}

// adapter returns the adapter of the next request. The demand moves on to other adapters every shiftInterval.
func (w *world) adapter() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	shifts := int(time.Since(w.begun) / shiftInterval)
	return fmt.Sprintf("a%d", 1+(int(w.ranks.Uint64())+shifts*shiftPlaces)%adapterCount)
}

// intN returns a random number below n.
func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// start starts the endpoints and as many VMs, and writes the operator's configuration with as many client accounts.
func (w *world) start(vms, accounts int) {
	for i := range w.engines {
		w.startEndpoint(engineGroup, i)
	}
	for i := range serviceCount {
		w.startEndpoint(serviceGroup, i)
	}
	must(w.store.Put("op", "config", configuration(accounts)))
	for i := range vms {
		v := newVM(w, i)
		w.vms = append(w.vms, v)
		v.start()
	}
	go w.balance()
	time.Sleep(warmUp)
	for _, v := range w.vms {
		if !v.inRotation() {
			panic(fmt.Errorf("%s is not ready after %s", v.name, warmUp))
		}
	}
}

func (w *world) startEndpoint(group string, n int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	cfg := standin.EndpointConfig{
		ID: endpointID(group, n), Group: group, FailureDomain: domains[n%len(domains)], Slots: 8,
		RunTime: 20 * time.Millisecond, HeartbeatInterval: heartbeat,
	}
	if group == engineGroup {
		cfg.Slots, cfg.Model, cfg.AdapterSlots, cfg.LoadTime = 16, modelName, adapterSlots, loadTime
		cfg.StreamEvents, cfg.EventInterval = streamEvents, eventInterval
	}
	standin.StartEndpoint(cfg, l, l.Addr().String(), w.store, w.audit, uint64(n+1))
}

var domains = []string{"north", "east", "west"}

// keyOf returns the key of a client account.
func keyOf(account int) string { return fmt.Sprintf("key-%02d", account) }

// configuration returns the operator's configuration.
func configuration(accounts int) map[string]any {
	var tenants []map[string]any
	for i := range accounts {
		tenants = append(tenants, map[string]any{
			"name": fmt.Sprintf("account-%02d", i), "api_keys": []string{keyOf(i)}, "rate_per_s": 29000, "burst": 29000,
			"unit": "tokens", "plain_tokens": 200,
		})
	}
	route := func(name, class, service, prefix string, target, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": prefix, "route_class": class, "service": service,
			"timeout_ms": 5000, "target_latency_ms": target, "target_gap_ms": 400, "max_attempts": attempts, "priority": 0,
		}
	}
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{
			route("ask", "streaming", engineGroup, streamPrefix, 600, 1),
			route("lookup", "safe", serviceGroup, safePrefix, 150, 2),
		},
		"services": []map[string]any{
			{"name": serviceGroup, "health_path": standin.HealthPath, "max_connections": 100},
			{"name": engineGroup, "health_path": standin.HealthPath, "max_connections": 360, "engine": map[string]any{
				"slots": 16, "kv_cache_tokens": 249466, "max_adapters": adapterSlots,
				"models": []map[string]any{{"name": modelName, "load_s": 0.6}},
			}},
		},
		"tenants": tenants,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000,
		},
	}
}

// hasEngine reports whether a lease is that of an engine. VMs divide the engines among the leases by a hash of their IDs.
func (w *world) hasEngine(lease string) bool {
	for i := range w.engines {
		if orders.LeaseOf(endpointID(engineGroup, i)) == orders.LeasePrefix+lease {
			return true
		}
	}
	return false
}

// endpointID returns the ID of an endpoint of a group.
func endpointID(group string, n int) string { return fmt.Sprintf("%s-%d", group, n+1) }

// settingsPath returns the path of a VM's settings file.
func (w *world) settingsPath(vm string) string { return filepath.Join(w.dir, vm+".conf") }

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mallowlink/mallowlink/platform/standin"
)

const (
	ledgerCount = 3
	// fatalText crashes a server that begins to run a request with it; fatalTime and fatalGap say how such requests come.
	fatalText = "crashes-servers"
	fatalTime = 45 * time.Second
	fatalGap  = 500 * time.Millisecond
	// darkTime is how long a server stays away after a crash.
	darkTime = 3500 * time.Millisecond
	// contactTime is bounds.contact_ms.
	contactTime = 3 * time.Second
)

// darkProxy passes connections on to a server until the server's host fails. From then on it is silent: connections hang, and so do
// new ones.
type darkProxy struct {
	listener net.Listener
	target   string
	dark     atomic.Bool
}

func startDarkProxy(target string) (*darkProxy, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	p := &darkProxy{listener: l, target: target}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *darkProxy) serve(client net.Conn) {
	if p.dark.Load() {
		_, _ = io.Copy(io.Discard, client)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if p.dark.Load() {
				// The host is silent: nothing passes, not even the end of the connection.
				_, _ = io.Copy(io.Discard, client)
				return
			}
			if n > 0 {
				_, _ = to.Write(buffer[:n])
			}
			if err != nil {
				_ = to.Close()
				_ = from.Close()
				return
			}
		}
	}
	go pass(server, client)
	pass(client, server)
}

// ledgers are the servers of a plain service that requests may crash.
type ledgers struct {
	w      *world
	silent bool
	mu     sync.Mutex
	next   int
	proxy  map[*standin.Endpoint]*darkProxy
}

// add starts a server behind a proxy.
func (s *ledgers) add() error {
	l, err := listen()
	if err != nil {
		return err
	}
	p, err := startDarkProxy(l.Addr().String())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	e := standin.StartEndpoint(standin.EndpointConfig{
		ID: fmt.Sprintf("ledger-%02d", s.next), Group: "ledger", FailureDomain: domains[s.next%len(domains)], Slots: 6,
		RunTime: 30 * time.Millisecond, HeartbeatInterval: heartbeat, CrashText: fatalText, OnCrash: s.crashed,
	}, l, p.listener.Addr().String(), s.w.store, s.w.audit, uint64(s.next))
	s.proxy[e] = p
	return nil
}

// crashed takes a server away with its host, and starts another one when the host is back. The store drops the entry after three
// heartbeats.
func (s *ledgers) crashed(e *standin.Endpoint) {
	s.mu.Lock()
	p := s.proxy[e]
	s.mu.Unlock()
	if p.dark.Swap(s.silent) && s.silent {
		return
	}
	e.Crash()
	if !s.silent {
		_ = p.listener.Close()
	}
	s.w.rec.printf("%s has crashed", e.ID())
	time.AfterFunc(3*heartbeat, func() { s.w.store.Remove("servers", e.ID()) })
	time.AfterFunc(darkTime, func() {
		if err := s.add(); err != nil {
			s.w.rec.printf("a server could not be started: %v", err)
		}
	})
}

// playSilent sends a request that crashes the servers that run it, again and again with the same path, key and body.
func playSilent(w *world, trouble bool) int {
	s := &ledgers{w: w, silent: os.Getenv("CRASH") != "reset", proxy: map[*standin.Endpoint]*darkProxy{}}
	for range ledgerCount {
		if err := s.add(); err != nil {
			w.rec.printf("could not run: %v", err)
			return failed
		}
	}
	err := w.configure([]map[string]any{
		route("issue", "non_idempotent", "ledger", "/issue/", 1, map[string]any{"target_latency_ms": 150, "timeout_ms": 1000}),
	}, []map[string]any{plainService("ledger")})
	if err == nil {
		err = w.startAll()
	}
	if err != nil {
		w.rec.printf("could not run: %v", err)
		return failed
	}
	time.Sleep(contactTime + time.Second)
	begun := time.Now()
	var mu sync.Mutex
	counts := map[string]int{}
	send := func(id string, v *vm, body string) int {
		req, err := http.NewRequest(http.MethodPost, "http://"+v.frontend()+"/issue/2f", strings.NewReader(body))
		if err != nil {
			return 0
		}
		req.Host = hostName
		for name, value := range map[string]string{"X-Attempt-Id": id, "X-Key": tenantKey, "X-Deadline-Ms": "1000"} {
			req.Header.Set(name, value)
		}
		client := http.Client{Timeout: 1100 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
		resp, err := client.Do(req)
		if err != nil {
			return 0
		}
		defer func() { _ = resp.Body.Close() }()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	count := func(kind string, status int) {
		mu.Lock()
		defer mu.Unlock()
		counts[fmt.Sprintf("%s %d", kind, status)]++
	}
	var clients sync.WaitGroup
	for n := range 10 {
		clients.Go(func() {
			for i := 0; time.Since(begun) < fatalTime; i++ {
				count("sound", send(fmt.Sprintf("sound-%d-%d", n, i), w.vms[(n+i)%len(w.vms)], fmt.Sprintf("laptop %d of %d", i, n)))
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	body := "the same request, " + fatalText
	if !trouble {
		body = "the same request"
	}
	for i := 0; time.Since(begun) < fatalTime; i++ {
		clients.Go(func() {
			v := w.vms[i%len(w.vms)]
			status := send(fmt.Sprintf("same-%d", i), v, body)
			w.rec.printf("same-%d sent to %s: status %d", i, v.name, status)
			count("same", status)
		})
		time.Sleep(fatalGap)
	}
	clients.Wait()
	var kinds []string
	for kind, n := range counts {
		kinds = append(kinds, fmt.Sprintf("%s: %d", kind, n))
	}
	sort.Strings(kinds)
	w.rec.printf("answers by status, 0 for none: %s", strings.Join(kinds, ", "))
	return w.judgeSame()
}

// judgeSame counts the arrivals of the request at servers later than contactTime after its third crash. All VMs are in touch.
func (w *world) judgeSame() int {
	crashes := w.audit.Crashes()
	w.rec.printf("servers crashed: %d", len(crashes))
	if len(crashes) < 3 {
		return held
	}
	from := crashes[2].At.Add(contactTime)
	late := 0
	for _, a := range w.audit.Arrivals() {
		if strings.HasPrefix(a.ID, "same-") && a.At.After(from) {
			late++
			w.rec.printf("late: %s reached %s at %.3f s", a.ID, a.Endpoint, a.At.Sub(w.rec.begun).Seconds())
		}
	}
	w.rec.printf("third crash at %.3f s; arrivals later than %v after it: %d (more than three break the rule)", crashes[2].At.Sub(w.rec.begun).Seconds(), contactTime, late)
	if late > 3 {
		return broken
	}
	return held
}

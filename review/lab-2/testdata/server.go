package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mallowlink/mallowlink/platform/standin"
)

const (
	// kvTokens is the memory of an engine in tokens.
	kvTokens = 249_466
	// downTime is how long a server is away after a crash.
	downTime = 2500 * time.Millisecond
	// streamEvents and eventGap are the length and the pace of a stream.
	streamEvents = 6
	eventGap     = 10 * time.Millisecond
	serviceWork  = 30 * time.Millisecond
)

// action is what a server does with a request that has a slot.
type action int

const (
	serve action = iota
	// fail answers 500 instead of beginning to work.
	fail
	// crash ends the server as it begins to run the request: after it has flushed the head of a stream.
	crash
	// crashAfterEvent ends the server as it begins to run the request: after it has written the head and the first event.
	crashAfterEvent
	// goDark makes the server answer nothing more as it begins to run the request, until another one starts in its place.
	goDark
)

// arrival is a client's request that has reached a server.
type arrival struct {
	id, server string
	at         time.Time
	action     action
	// tokens is the sum of X-Token-Count, and ran says that the server began to work.
	tokens float64
	ran    bool
	mark   string
	// cut says that the server has crashed while it ran the request.
	cut bool
}

// fleet holds what the servers of a case have in common.
type fleet struct {
	w       *world
	service string
	engine  bool
	// decide returns what a server does with a request, and a mark for the arrival.
	decide func(s *server, r *http.Request, body string) (action, string)

	mu       sync.Mutex
	arrivals []*arrival
	crashes  []time.Time
	started  int
}

// server is one server, from its start to its end.
type server struct {
	fleet *fleet
	id    string
	zone  string
	at    string
	born  int64
	http  *http.Server
	slots chan struct{}
	// ended is closed when the server has crashed or gone dark, over when its channels end.
	ended, over chan struct{}
	once        sync.Once
}

// start starts a server under a new id, and writes its entry until it ends.
func (f *fleet) start(zone string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.started++
	id := fmt.Sprintf("i-%s-%03d", f.service, f.started)
	f.mu.Unlock()
	s := &server{
		fleet: f, id: id, zone: zone, at: l.Addr().String(), born: time.Now().UnixMilli(), slots: make(chan struct{}, 64), ended: make(chan struct{}), over: make(chan struct{}),
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(l) }()
	go s.beat()
	return nil
}

// beat writes the server's entry until it ends. The store drops the entry after three intervals of silence.
func (s *server) beat() {
	seq := 0
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		seq++
		row := map[string]any{
			"service": s.fleet.service, "address": s.at, "zone": s.zone, "version": "v1", "slots": cap(s.slots), "state": "ready",
			"cold_left_ms": 0, "seq": seq, "born": s.born,
		}
		if s.fleet.engine {
			row["stage"], row["models"] = "colocated", models()
		}
		_ = s.fleet.w.store.Put("servers", s.id, row)
		select {
		case <-s.ended:
			time.AfterFunc(3*heartbeat, func() { s.fleet.w.store.Remove("servers", s.id) })
			return
		case <-ticker.C:
		}
	}
}

func models() []map[string]any {
	return []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}
}

// crash ends the server at once. Another one starts in its place after downTime.
func (s *server) crash(cause string) {
	s.once.Do(func() {
		f := s.fleet
		f.mu.Lock()
		f.crashes = append(f.crashes, time.Now())
		n := len(f.crashes)
		f.mu.Unlock()
		f.w.note("server %s crashes under %s: crash %d", s.id, cause, n)
		close(s.ended)
		close(s.over)
		_ = s.http.Close()
		time.AfterFunc(downTime, func() { _ = f.start(s.zone) })
	})
}

// darken makes the server go dark. Its channels stay open and silent until another server starts in its place.
func (s *server) darken(cause string) {
	s.once.Do(func() {
		f := s.fleet
		f.mu.Lock()
		f.crashes = append(f.crashes, time.Now())
		n := len(f.crashes)
		f.mu.Unlock()
		f.w.note("server %s goes dark under %s: crash %d", s.id, cause, n)
		close(s.ended)
		time.AfterFunc(downTime, func() {
			_ = s.http.Close()
			close(s.over)
			_ = f.start(s.zone)
		})
	})
	<-s.over
	panic(http.ErrAbortHandler)
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	select {
	case <-s.ended:
		// It has crashed or gone dark.
		<-s.over
		panic(http.ErrAbortHandler)
	default:
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", s.id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		return
	case "/report":
		writeJSON(w, map[string]any{
			"stage": "colocated", "models": models(), "pending": []string{}, "busy": false, "seq": 0, "queued": 0, "running": len(s.slots),
			"kv_used": 0, "kv_total": kvTokens, "handles": 0, "born": s.born,
		})
		return
	case "/order":
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.run(w, r, id)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// run handles a client's request.
func (s *server) run(w http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := &arrival{id: id, server: s.id, at: time.Now(), tokens: tokens(r.Header.Get("X-Token-Count"))}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
		a.ran = !s.fleet.engine || a.tokens <= kvTokens
	default:
	}
	if !a.ran {
		s.fleet.add(a)
		s.fleet.w.note("request %s reaches server %s, which is full: 503, not run", id, s.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a.action, a.mark = s.fleet.decide(s, r, string(body))
	s.fleet.add(a)
	if a.mark != "" {
		s.fleet.w.note("request %s (%s) reaches server %s: %s", id, a.mark, s.id, []string{"served", "500", "crash", "crash", "goes dark"}[a.action])
	}
	whole := standin.Body(id, s.events())
	w.Header().Set("X-Response-Signature", standin.Signature(whole))
	switch a.action {
	case fail:
		w.WriteHeader(http.StatusInternalServerError)
	case crash, crashAfterEvent:
		if s.fleet.engine {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			if a.action == crashAfterEvent {
				_, _ = w.Write(standin.Event(id, 1))
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(2 * time.Millisecond)
		}
		s.crash(id)
		panic(http.ErrAbortHandler)
	case goDark:
		s.darken(id)
	default:
		s.answer(w, r, id, whole)
		select {
		case <-s.ended:
			s.fleet.mu.Lock()
			a.cut = true
			s.fleet.mu.Unlock()
		default:
		}
	}
}

func (s *server) events() int {
	if s.fleet.engine {
		return streamEvents
	}
	return 0
}

func (s *server) answer(w http.ResponseWriter, r *http.Request, id string, whole []byte) {
	if !s.fleet.engine {
		time.Sleep(serviceWork)
		w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
		_, _ = w.Write(whole)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= streamEvents; n++ {
		if _, err := w.Write(standin.Event(id, n)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			return
		}
	}
}

func (f *fleet) add(a *arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, a)
}

// tokens returns the sum of the two numbers of X-Token-Count. It is a float, which holds any sum.
func tokens(text string) float64 {
	sum := 0.0
	for number := range strings.SplitSeq(text, ",") {
		n, _ := strconv.ParseFloat(strings.TrimSpace(number), 64)
		sum += n
	}
	return sum
}

func readAll(res *http.Response) (int64, error) { return io.Copy(io.Discard, res.Body) }

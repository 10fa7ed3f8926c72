package main

import (
	"bufio"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streamEvents   = 14
	streamInterval = 150 * time.Millisecond
	streamClients  = 150
	// streamSlots is the number of requests that an engine of a small deployment runs at once.
	streamSlots = 24
	// killAt are the times after the start of traffic at which one VM's process is killed; each time another VM's.
	trafficTime = 36 * time.Second
	killFirst   = 4 * time.Second
	killGap     = 10 * time.Second
	kills       = 3
)

// story is one stream as its client sees it, over the client's attempts.
type story struct {
	name     string
	attempts []*attemptSeen
}

// attemptSeen is one attempt of a client and the events that came with it.
type attemptSeen struct {
	id     string
	events []int
	status int
	end    string
}

// playVersions runs streams that may be resumed before servers of two software versions, and kills single processes. Clients take
// up the streams that break off at other VMs.
func playVersions(w *world, trouble bool) int {
	for i := range engineCount {
		if err := w.startEngine(i, []string{"1.4", "1.5"}[i%2], streamSlots, streamEvents, streamInterval); err != nil {
			w.rec.printf("could not run: %v", err)
			return failed
		}
	}
	err := w.configure([]map[string]any{
		route("ask", "streaming", "engines", "/ask/", 2, map[string]any{"sticky": true, "resumable": true}),
	}, []map[string]any{engineService("engines", streamSlots)})
	if err == nil {
		err = w.startAll()
	}
	if err != nil {
		w.rec.printf("could not run: %v", err)
		return failed
	}
	if !w.awaitAnswers() {
		w.rec.printf("could not run: ordinary requests are not answered")
		return failed
	}
	w.rec.printf("%d VMs ready; %d servers, of software versions 1.4 and 1.5 in turn", len(w.vms), engineCount)
	begun := time.Now()
	var mu sync.Mutex
	var stories []*story
	var clients sync.WaitGroup
	for n := range streamClients {
		clients.Go(func() {
			for i := 0; time.Since(begun) < trafficTime; i++ {
				s := w.follow(fmt.Sprintf("s%d-%d", n, i), n+i)
				mu.Lock()
				stories = append(stories, s)
				mu.Unlock()
			}
		})
	}
	for i := range kills {
		time.Sleep(time.Until(begun.Add(killFirst + time.Duration(i)*killGap)))
		v := w.vms[i]
		if !trouble {
			continue
		}
		w.rec.printf("SIGKILL to %s", v.name)
		v.kill()
		time.Sleep(time.Second)
		if err := w.start(v, false); err != nil {
			w.rec.printf("could not run: %v", err)
			return failed
		}
	}
	clients.Wait()
	return w.judgeVersions(stories)
}

// follow asks for a stream, and takes it up once at another VM if its channel breaks off.
func (w *world) follow(name string, start int) *story {
	s := &story{name: name}
	v := w.pickReady(start)
	first := w.attempt(s, v, name+"-a", "", 0)
	if first.end != "broken" || len(first.events) == 0 || first.events[len(first.events)-1] >= streamEvents {
		return s
	}
	last := first.events[len(first.events)-1]
	time.Sleep(100 * time.Millisecond)
	w.attempt(s, w.pickReady(start+1), name+"-b", first.id, last)
	return s
}

// pickReady returns a VM that the platform would choose: one whose process runs.
func (w *world) pickReady(n int) *vm {
	for i := range w.vms {
		v := w.vms[(n+i)%len(w.vms)]
		v.mu.Lock()
		wanted := v.wanted
		v.mu.Unlock()
		if wanted && v.ready() {
			return v
		}
	}
	return w.vms[n%len(w.vms)]
}

// attempt sends one attempt and reads its events.
func (w *world) attempt(s *story, v *vm, id, resumes string, after int) *attemptSeen {
	a := &attemptSeen{id: id, end: "broken"}
	s.attempts = append(s.attempts, a)
	req, err := http.NewRequest(http.MethodPost, "http://"+v.frontend()+"/ask/2f", strings.NewReader("prompt of "+s.name))
	if err != nil {
		return a
	}
	req.Host = hostName
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Key": tenantKey, "X-Deadline-Ms": "5000", "X-Model": fmt.Sprintf("%s/a%d", modelName, 1+xsum(s.name)%12),
		"X-Token-Count": "16,70", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:8,%08x:8", xsum(s.name)),
	} {
		req.Header.Set(name, value)
	}
	if after > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(after))
		req.Header.Set("Resumes", resumes)
	}
	client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	if a.status != http.StatusOK {
		a.end = "refused"
		return a
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			if n, err := strconv.Atoi(text); err == nil {
				a.events = append(a.events, n)
			}
		}
	}
	if lines.Err() == nil {
		a.end = "complete"
	}
	return a
}

// judgeVersions counts the streams that hold events from servers of two software versions.
func (w *world) judgeVersions(stories []*story) int {
	ends := map[string]int{}
	taken, wentOn, mixed := 0, 0, 0
	for _, s := range stories {
		versions := map[string]bool{}
		var text []string
		for _, a := range s.attempts {
			ends[a.end]++
			runs := w.audit.Runs(a.id)
			var at []string
			for _, run := range runs {
				at = append(at, run.Endpoint+" of version "+run.Software)
			}
			// The events of an attempt with one run come from its server. Attempts with several runs are left out.
			if len(runs) == 1 && len(a.events) > 0 {
				versions[runs[0].Software] = true
			}
			text = append(text, fmt.Sprintf("attempt %s: status %d, events %v, %s, run at %s", a.id, a.status, a.events, a.end, strings.Join(at, ", ")))
		}
		if len(s.attempts) < 2 {
			continue
		}
		taken++
		if len(s.attempts[1].events) > 0 {
			wentOn++
		}
		kind := "taken up"
		if len(versions) > 1 {
			mixed++
			kind = "MIXED VERSIONS"
		}
		w.rec.printf("%s: %s; %s", kind, s.name, strings.Join(text, "; "))
	}
	var kinds []string
	for end, n := range ends {
		kinds = append(kinds, fmt.Sprintf("%s %d", end, n))
	}
	sort.Strings(kinds)
	w.rec.printf("streams: %d; attempts: %s", len(stories), strings.Join(kinds, ", "))
	w.rec.printf("taken up: %d, went on: %d, with events of two software versions: %d (more than two break the rule)", taken, wentOn, mixed)
	if mixed > 2 {
		return broken
	}
	return held
}

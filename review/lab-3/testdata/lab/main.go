// Command lab plays the cases of the third review. It starts the gateway of the deploy file as separate processes on loopback
// addresses, before stand-ins of the platform's store and servers, and writes what it saw to a record.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// record is what a case writes down.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// cases are the cases by name. A case returns held, broken or failed.
var cases = map[string]func(w *world, trouble bool) int{
	"handover": playHandover,
	"parts":    playParts,
	"silent":   playSilent,
	"versions": playVersions,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, begun: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %t", name, trouble)
	w, err := newWorld(rec, len(name)%80)
	if err != nil {
		rec.printf("could not run: %v", err)
		return failed
	}
	result := make(chan int, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { result <- cases[name](w, trouble) }()
	code := failed
	select {
	case code = <-result:
	case s := <-signals:
		rec.printf("could not run: %v", s)
	case <-time.After(limit):
		rec.printf("could not run: the case took longer than %v", limit)
	}
	w.close()
	rec.printf("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken", failed: "the case could not run"}[code])
	return code
}

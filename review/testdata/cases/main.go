// Command cases plays the scripted cases of the review: it starts gateways as separate processes against stand-ins of the
// platform's store and of the endpoints, brings about one disruption, and checks one rule by what callers and endpoints see.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit is the longest time that a case may take.
const timeLimit = 115 * time.Second

// cases are the cases by name. Each reports whether the rule held.
var cases = map[string]func(w *world, trouble bool) bool{
	"lost-machine":    lostMachine,
	"hundred-entries": hundredEntries,
	"lost-stewards":   lostStewards,
	"store-drill":     storeDrill,
}

func main() { os.Exit(run()) }

func run() (code int) {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	binary := flag.String("binary", "target/mallowlinkd", "program of the gateways")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	w, err := newWorld(*binary, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	defer func() {
		if problem := recover(); problem != nil {
			w.logf("the case could not run: %v", problem)
			fmt.Fprintln(os.Stderr, problem)
			code = exitNotRun
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(timeLimit):
		}
		w.logf("the case was stopped")
		w.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.logf("case %s, trouble %t", *name, trouble)
	if play(w, trouble) {
		w.logf("result: the rule held")
		return exitHeld
	}
	w.logf("result: the rule was broken")
	return exitBroken
}

// must ends the case as not run if there is an error.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

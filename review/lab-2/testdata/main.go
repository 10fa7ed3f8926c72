package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime"
)

// errBroken says that the rule of the case was broken.
var errBroken = errors.New("rule broken")

// scenarios are the cases by name. Each returns errBroken, nil if the rule held, or another error if it couldn't run.
var scenarios = map[string]func(w *world, trouble bool, seed uint64) error{}

func main() {
	// The gateways end with the thread that has started them.
	runtime.LockOSThread()
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file of the record")
	seed := flag.Uint64("seed", uint64(os.Getpid()), "seed of the random choices of the stand-ins")
	flag.Parse()
	os.Exit(play(*name, *record, *seed))
}

func play(name, record string, seed uint64) int {
	run, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", name)
		return 2
	}
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, seed %d, with the disruption: %t", name, seed, trouble)
	switch err := run(w, trouble, seed); {
	case err == nil:
		w.note("the rule held")
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		w.note("%v", err)
		fmt.Println(err)
		return 1
	default:
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
}

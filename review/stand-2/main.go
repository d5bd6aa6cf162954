//go:build review

// Command stand-2 runs the scripts of the cases review/6 to review/10. It starts daemons with the
// command of the deploy file as separate processes, and plays the store, the targets and the
// callers.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

func main() {
	cases := map[string]func(*record, bool) (bool, error){
		"drill":    runDrill,
		"answered": runAnswered,
		"memory":   runMemory,
		"heads":    runHeads,
		"bodies":   runBodies,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(exitCouldNot)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCouldNot)
	}
	held, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.line("could not run: %v", err)
		r.close()
		os.Exit(exitCouldNot)
	case !held:
		r.line("BROKEN")
		r.close()
		os.Exit(exitBroken)
	}
	r.line("HELD")
	r.close()
	os.Exit(exitHeld)
}

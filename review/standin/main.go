// Command standin plays the cases of the review: it starts the project's program as its deploy file says, and takes the
// place of clients, workers, registry and platform. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case
// could not run. It is run from the root of the repository.
package main

import (
	"fmt"
	"os"
)

// The first three are the review's cases; the others were seen to fail too, and can be played by hand.
var cases = map[string]func(*run) error{
	"second-answer":   secondAnswer,
	"slow-reader":     slowReader,
	"upgrade-disable": upgradeDisable,
	"client-left":     clientLeft,
	"drain-long":      drainLong,
	"drain-upgrade":   drainUpgrade,
	"endless-answer":  endlessAnswer,
	"pipeline-long":   pipelineLong,
	"pipeline-term":   pipelineTerm,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitCannot)
	}
	r, err := newRun(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitCannot)
	}
	go r.watch()
	err = cases[os.Args[1]](r)
	code := exitHeld
	switch {
	case r.broken > 0: // also where the play could not be finished after that
		fmt.Println("the rule was broken", r.broken, "times")
		code = exitBroken
	case err != nil:
		r.note("case", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		code = exitCannot
	default:
		fmt.Println("the rule held")
	}
	r.note("case", "broken %d times, exit %d", r.broken, code)
	r.close()
	os.Exit(code)
}

// Command stand3 runs the cases of the third review that can't be put as a day of the bench. It starts gates by the command of the deploy
// file, on loopback addresses, beside stand-ins that follow the platform's pages.
//
//	stand3 CASE RECORD
//
// It writes the file RECORD, record.txt of the case's folder, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	// The whole run ends by then.
	longestRun = 115 * time.Second
)

// runCase plays a case in a world of its own, with the disruption or without it, and reports the verdict.
type runCase func(w *world, hasTrouble bool) verdict

type verdict struct {
	code int
	why  string
}

var cases = map[string]runCase{
	"crashes":  crashes,
	"foreign":  foreign,
	"wave":     lateUpkeep,
	"schedule": scheduledJob,
	"steps":    manySteps,
	"former":   formerLife,
	"byte":     oddByte,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	hasTrouble := os.Getenv("TROUBLE") != "0"
	w := newWorld(os.Args[2])
	w.note("case %s, disruption: %v", os.Args[1], hasTrouble)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan verdict, 1)
	go func() { done <- run(w, hasTrouble) }()
	var v verdict
	select {
	case v = <-done:
	case <-ended:
		v = verdict{exitNotRun, "ended by a signal"}
	case <-time.After(longestRun):
		v = verdict{exitNotRun, "not done in time"}
	}
	w.note("exit %d: %s", v.code, v.why)
	fmt.Printf("exit %d: %s\n", v.code, v.why)
	w.stop()
	os.Exit(v.code)
}

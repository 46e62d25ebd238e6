// Command lab plays the cases of the second review: it starts gates as processes of their own beside small stand-ins of the platform's
// log, its machines' interface and its workers, all on loopback addresses.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	cases := map[string]func(*lab) error{
		"reborn-ends": playRebornEnds, "reborn-lease": playRebornLease, "cut-stop": playCutStop,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*lab) error, folder string) int {
	l, err := newLab(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	if err := play(l); err != nil {
		l.note("the case could not run: %v", err)
		return exitNotRun
	}
	for _, b := range l.broken() {
		l.note("BROKEN %s", b)
	}
	if len(l.broken()) > 0 {
		return exitBroken
	}
	l.note("the rule held")
	return exitHeld
}

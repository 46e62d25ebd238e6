// Command stand runs one case of the review: a small deployment of target/mangowing on loopback addresses, with stand-ins for
// the log, the machines, the workers and the callers. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(trouble bool) (broken bool){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE, with MANGOWING and RECORD set")
		os.Exit(2)
	}
	if cases[os.Args[1]](os.Getenv("TROUBLE") != "0") {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

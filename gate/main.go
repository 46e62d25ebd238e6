// Command gate serves callers, operators and other gates on one entry VM.
package main

import (
	"os"

	"mangowing/gate/daemon"
)

func main() {
	os.Exit(daemon.Execute(os.Args[1:]))
}

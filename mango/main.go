// Command mango is the operators' command line; see docs/COMMANDS.md.
package main

import (
	"os"

	"mangowing/mango/root"
)

func main() { os.Exit(root.Main(os.Args[1:])) }

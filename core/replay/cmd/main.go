// Command cmd prints the comparison of policies for each user.
package main

import (
	"fmt"

	"mangowing/core/replay"
	"mangowing/core/sizing/trial"
)

// sources make the tables of one user, in the order in which they are printed.
var sources = []func(user string) []replay.Table{
	replay.Tables,
	trial.Tables,
}

func main() {
	for _, user := range replay.Deployments() {
		fmt.Printf("## %s\n\n", user)
		for _, source := range sources {
			for _, table := range source(user) {
				fmt.Println(table)
			}
		}
	}
}

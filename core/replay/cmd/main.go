// Command cmd prints the comparisons of policies for each deployment.
package main

import (
	"fmt"

	"mangowing/core/replay"
	"mangowing/core/sizing/trial"
)

// sources generate the tables of one deployment, in the order in which they are printed.
var sources = []func(user string) []replay.Table{
	replay.Tables,
	trial.Tables,
}

func main() {
	for _, deployment := range replay.Deployments() {
		fmt.Printf("## %s\n\n", deployment)
		for _, source := range sources {
			for _, table := range source(deployment) {
				fmt.Println(table)
			}
		}
	}
}

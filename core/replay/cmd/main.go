// Command cmd prints the comparisons of policies for each deployment, and those of waits for a good placement.
package main

import (
	"fmt"

	placement "mangowing/core/delay/trial"
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
	fmt.Print("## Waits for a good placement\n\n")
	for _, table := range placement.Tables() {
		fmt.Println(table)
	}
}

// Package sizing decides how many VMs each pool gets: policies to choose from, and a replay that compares them.
package sizing

// Package sizing decides how many VMs each pool gets. It provides several policies; package trial compares them.
package sizing

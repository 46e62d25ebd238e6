// Package cloud is a stand-in of the users' platform in memory: a log with conditional appends and fenced producers,
// workers with leases and fences, machines, and what operators declare, each with faults that tests switch on.
package cloud

// Package cloud is an in-memory stand-in for the users' platform: a log with conditional appends and fenced producers, workers
// with leases and fencing tokens, and operators' configurations. Tests can inject faults into each. It has no machines and no
// policy service.
package cloud

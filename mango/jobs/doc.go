// Package jobs is the client of the callers' API for long jobs.
package jobs

// Package serve runs the stand in one process: the platform's API, a worker for each VM, fault injection and counts.
package serve

// Package worker is the stand's worker: an HTTP server that simulates requests and leased tasks as their headers and specs
// describe.
package worker

// Package worker is the stand's worker: it runs requests and leased tasks as their headers and specs say.
package worker

// Package codes defines the numbered result codes, each with the outcome of the request that it reports.
package codes

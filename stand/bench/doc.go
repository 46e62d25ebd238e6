// Package bench measures throughput and latency of gates against a direct client of the same upstreams.
package bench

// Package bench compares the throughput and latency of gates with those of a direct client of the same upstreams.
package bench

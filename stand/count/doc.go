// Package count counts the starts and ends of requests and tasks on all workers of the stand, by team, VM and work.
package count

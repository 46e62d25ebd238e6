// Package load sends requests of several teams through gates like callers behind a balancer, and checks every outcome
// against what the workers started.
package load

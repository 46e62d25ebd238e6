// Package load sends requests of several teams through gates, like callers behind a load balancer, and checks every
// outcome against the starts that the workers counted.
package load

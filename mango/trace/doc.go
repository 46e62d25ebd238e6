// Package trace extracts the lines about a job from the gates' logs.
package trace

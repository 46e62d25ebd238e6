// Package trace finds what the gates' logs say of a job.
package trace

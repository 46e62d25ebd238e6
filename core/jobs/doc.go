// Package jobs decides where a long job runs, when its lease is renewed and when it may start elsewhere.
package jobs

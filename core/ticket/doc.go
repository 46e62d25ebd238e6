// Package ticket decides, for one gate incarnation, which requests may start, so that none runs more than once.
package ticket

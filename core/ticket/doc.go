// Package ticket decides for one gate incarnation which requests with a ticket or an idempotency key may start, so that
// each runs at most once.
package ticket

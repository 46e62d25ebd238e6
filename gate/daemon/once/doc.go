// Package once serves requests that come with a ticket or an idempotency key: each runs at most once, through any gate.
package once

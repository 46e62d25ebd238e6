// Package once serves requests with a ticket or an idempotency key. Each runs at most once, whichever gates receive it.
package once

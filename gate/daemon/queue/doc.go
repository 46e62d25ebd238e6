// Package queue grants starts: one gate of each data centre dispatches a pool, the others ask it for a grant before they talk to an upstream.
package queue

// Package queue grants the starts of requests. In each data centre one gate is a pool's dispatcher; every gate needs a
// grant from a dispatcher of the pool before it sends a request to an upstream.
package queue

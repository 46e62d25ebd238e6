// Package relay forwards one request to an upstream, streams the answer back, and reports whether the request ran.
package relay

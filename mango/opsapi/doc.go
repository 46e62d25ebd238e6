// Package opsapi is the client of the operators' API; it asks the gates in turn.
package opsapi

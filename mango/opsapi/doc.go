// Package opsapi is the client of the gates' operators' API.
package opsapi

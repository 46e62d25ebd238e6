// Package relay carries one request to an upstream and its whole answer back, and states truthfully whether it ran.
package relay

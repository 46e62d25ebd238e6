// Package admin serves the operators' HTTP API.
package admin

// Package admin serves the operators' interface.
package admin

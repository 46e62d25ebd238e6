// Package daemon is the gate's main program: its command line, settings, supervisor tree and planned stop.
package daemon

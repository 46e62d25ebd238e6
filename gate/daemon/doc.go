// Package daemon assembles the gate: its settings, its supervisor tree and its planned stop.
package daemon

// Package fleet plans the next actions on the VMs: moves between pools, maintenance waves and handling of failed VMs.
package fleet

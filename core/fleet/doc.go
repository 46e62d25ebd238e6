// Package fleet decides the planner's next actions: moves of VMs between pools, maintenance waves and reactions to failures.
package fleet

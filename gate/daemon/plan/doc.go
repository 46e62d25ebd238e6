// Package plan is the part of a gate that may hold the planner's lease and then moves and maintains VMs.
package plan

// Package plan runs the planner. Of all gates, the one that holds the planner's lease plans the moves and the maintenance of
// VMs and carries them out.
package plan

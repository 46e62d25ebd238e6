// Package fleet is the stand's VM list and pools: a lagging list with versions, and reboot, reassign and fence.
package fleet

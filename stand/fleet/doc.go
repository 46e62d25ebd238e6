// Package fleet is the stand's VM inventory: a versioned VM list that lags behind changes, and the actions reboot, reassign
// and fence.
package fleet

// Package admit decides whether a pool can do a job in time, from a timeline of the pool's capacity and of what accepted jobs still
// need of it. All times are relative to the time for which a Timeline was built; the package has no clock and no network.
package admit

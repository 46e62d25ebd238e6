// Package limits enforces the teams' limits within one data centre. The gates transfer rights to each other on request,
// and recount them when some may have been lost.
package limits

// Package limits keeps the teams' upper limits inside one data centre: gates trade rights with each other and recount them.
package limits

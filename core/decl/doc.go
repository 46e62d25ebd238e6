// Package decl reads declarations (fleet, pools, queues, teams, waves) and compiles them into one validated configuration.
package decl

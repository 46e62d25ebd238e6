// Package decl reads declarations (fleet, pools, queues, teams, waves) and compiles them into one checked configuration.
package decl

// Package intake serves the callers of jobs on every gate: it checks route and key, passes calls to the owner, and puts
// jobs into the inbox on the log while the owner can't be reached.
package intake

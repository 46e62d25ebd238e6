// Package intake serves callers that submit, cancel and query jobs. It runs on every gate: it resolves the queue and checks
// the key, passes calls on to the owner, and appends jobs to the inbox topic of the log while the owner can't be reached.
package intake

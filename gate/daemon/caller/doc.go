// Package caller serves the HTTP API for callers: it authenticates requests by key, runs them, and answers with an
// outcome and a code.
package caller

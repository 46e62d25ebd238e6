// Package replay simulates a deployment under a generated demand trace, with the real scheduling and routing code, and
// compares policies in tables.
package replay

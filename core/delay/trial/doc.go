// Package trial replays a fixed demand trace with several strategies of delay scheduling and compares the results.
package trial

// Package trial replays sizing policies and maintenance waves over a fixed demand trace and compares their measures.
package trial

// Package evac keeps the set of data centres that operators have asked to evacuate, and how far their requests were read. It does no
// I/O and reads no clock.
package evac

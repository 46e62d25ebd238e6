// Package delta compares the declarations in a directory with those in force.
package delta

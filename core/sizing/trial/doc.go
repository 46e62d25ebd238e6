// Package trial simulates sizing policies and maintenance waves on a fixed demand trace and compares the results.
package trial

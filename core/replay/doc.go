// Package replay drives the decision functions over a recorded demand trace and prints what each policy achieves.
package replay

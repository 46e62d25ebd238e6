// Package root assembles mango out of its layers and maps errors to exit codes.
package root

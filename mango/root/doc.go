// Package root builds mango's command line with its API clients and maps errors to exit codes.
package root

// Package vmlist keeps this gate's copy of the platform's VM list; one gate of a data centre polls the platform and the others read from it.
package vmlist

// Package vmlist keeps this gate's copy of the platform's VM list. One gate of a data centre, its poller, polls the platform;
// the others read from the poller.
package vmlist

// Package peers connects the gates by JSON-RPC 2.0, and tracks by heartbeats which of them are reachable. Each gate's view may
// be outdated or wrong.
package peers

// Package peers connects the gates with each other by jsonrpc2 and keeps a possibly wrong view of which of them are alive.
package peers

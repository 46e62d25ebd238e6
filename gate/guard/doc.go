// Package guard bounds what the clients of a listening address can make the process hold: memory of requests that aren't complete, open
// connections, and the time for which a connection may make no progress. When a bound is reached, the oldest and least complete request ends
// first, so that a crowd of clients doesn't shut out the others.
package guard

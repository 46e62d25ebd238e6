// Package lint checks a configuration before it is sent: entries that can never match, limits that contradict each other, and
// what changes for callers against the version in force. It reads no files and knows no format; readers give it each entry
// with its place.
package lint

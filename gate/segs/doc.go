// Package segs decides how the journal continues on another partition when the one that it is on fails: which segment counts, what the
// owner appends and under which epochs, when an append counts as stalled, and which partition is next. It uses neither network nor
// clock. docs/design/journal-segments.md has the protocol and why it is safe.
package segs

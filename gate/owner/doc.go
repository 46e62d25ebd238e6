// Package owner agrees, over the platform's log, on the one gate that schedules. The log's order decides: an owner is
// whoever's claim was appended last, and its epoch is the offset of that claim. Who is owner matters for efficiency
// only; fencing tokens and the journal's epoch keep an earlier owner from doing harm.
package owner

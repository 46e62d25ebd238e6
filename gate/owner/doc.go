// Package owner elects the one gate that schedules, by records in a topic of the platform's log. The owner is the gate that
// appended the last claim, and its epoch is the offset after that claim. Two gates that both take themselves for the owner
// cost efficiency only: fencing tokens and the journal's epoch make the orders and records of an earlier owner fail.
package owner

// Package fold turns the platform's log into the state that every gate shares, deterministically.
package fold

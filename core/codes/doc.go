// Package codes holds the numbered result codes and the outcome each of them states.
package codes

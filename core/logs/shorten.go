package logs

import "fmt"

// maxErrorBytes is how much of an error's text is logged. Errors of decoders quote their input, which may be long.
const maxErrorBytes = 200

// Shorten returns the error's text, cut off so that a log line stays short.
func Shorten(err error) string { return fmt.Sprintf("%.*s", maxErrorBytes, err.Error()) }

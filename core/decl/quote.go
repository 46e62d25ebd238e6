package decl

import (
	"fmt"
	"strconv"
)

// mostQuoted is how many characters of a value a message quotes.
const mostQuoted = 80

// Quoted returns the value for a message: escaped, and cut if it is long.
func Quoted(value string) string {
	runes := []rune(value)
	if len(runes) <= mostQuoted {
		return strconv.Quote(value)
	}
	return fmt.Sprintf("%s... (%d bytes)", strconv.Quote(string(runes[:mostQuoted])), len(value))
}

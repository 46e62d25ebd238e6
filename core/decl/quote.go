package decl

import (
	"fmt"
	"strconv"
)

// maxQuotedChars limits how much of a value is quoted in a message.
const maxQuotedChars = 80

// QuoteValue returns the value quoted and escaped for a message. A value of more than 80 characters is truncated and
// followed by its length in bytes.
func QuoteValue(value string) string {
	runes := []rune(value)
	if len(runes) <= maxQuotedChars {
		return strconv.Quote(value)
	}
	return fmt.Sprintf("%s... (%d bytes)", strconv.Quote(string(runes[:maxQuotedChars])), len(value))
}

package codes

// Outcome states whether a request ran: ran, not-run or unknown.
type Outcome uint8

// The three outcomes; the zero value is Unknown, so that a forgotten outcome never claims too much.
const (
	Unknown Outcome = iota
	Ran
	NotRun
)

// String returns the name used on the wire.
func (o Outcome) String() string {
	switch o {
	case Ran:
		return "ran"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// ParseOutcome returns the outcome with the given wire name, Unknown for any other text.
func ParseOutcome(s string) Outcome {
	switch s {
	case "ran":
		return Ran
	case "not-run":
		return NotRun
	default:
		return Unknown
	}
}

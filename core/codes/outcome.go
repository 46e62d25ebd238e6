package codes

// Outcome states whether a request ran: ran, not-run or unknown.
type Outcome uint8

// Outcomes of a request. The zero value is Unknown, so that an outcome that was not set makes no false claim.
const (
	Unknown Outcome = iota
	Ran
	NotRun
)

// String returns the wire name.
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

// ParseOutcome returns the outcome with the given wire name, or Unknown for any other text.
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

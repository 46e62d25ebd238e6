package lead

// Meters counts what an owner does.
type Meters struct{}

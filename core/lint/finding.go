package lint

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"
)

// Level is how serious a finding is.
type Level uint8

// Levels of findings, the most serious first.
const (
	Error   Level = iota // the configuration is rejected, or doesn't do what it says
	Warning              // it is accepted, but probably isn't what was meant
)

// String returns error or warning.
func (l Level) String() string {
	if l == Error {
		return "error"
	}
	return "warning"
}

// Place is where an entry stands. Line counts from 1 and is 0 if it isn't known; Path is the entry's place in the reader's own
// words, such as a list's name with an index.
type Place struct {
	File string
	Line int
	Path string
}

// String returns the file's name without its directory and the line, such as "teams.ini:31".
func (p Place) String() string {
	if p.File == "" {
		return ""
	}
	name := filepath.Base(p.File)
	if p.Line == 0 {
		return name
	}
	return fmt.Sprintf("%s:%d", name, p.Line)
}

func (p Place) compare(o Place) int {
	return cmp.Or(cmp.Compare(p.File, o.File), cmp.Compare(p.Line, o.Line), cmp.Compare(p.Path, o.Path))
}

// Finding is one fault or doubtful entry.
type Finding struct {
	Level Level
	Rule  string // name of the rule in kebab case, the same in every version
	Place Place
	Text  string
}

// maxFindings bounds the memory that a hostile file can make a report take.
const maxFindings = 1000

// Report collects findings. The zero value is empty.
type Report struct {
	findings []Finding
	omitted  int
	errors   int
}

// Add adds a finding. Beyond 1,000 findings they are only counted.
func (r *Report) Add(level Level, rule string, at Place, format string, args ...any) {
	if level == Error {
		r.errors++
	}
	if len(r.findings) >= maxFindings {
		r.omitted++
		return
	}
	r.findings = append(r.findings, Finding{level, rule, at, fmt.Sprintf(format, args...)})
}

// AddErrors adds the errors of another report.
func (r *Report) AddErrors(o *Report) {
	for _, f := range o.findings {
		if f.Level == Error {
			r.Add(f.Level, f.Rule, f.Place, "%s", f.Text)
		}
	}
}

// Findings returns the findings, errors first, each level in the order of files and lines.
func (r *Report) Findings() []Finding {
	out := slices.Clone(r.findings)
	slices.SortStableFunc(out, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Level, b.Level), a.Place.compare(b.Place), cmp.Compare(a.Rule, b.Rule))
	})
	return out
}

// Errors returns the number of errors, including omitted ones.
func (r *Report) Errors() int { return r.errors }

// Warnings returns the number of warnings, including omitted ones.
func (r *Report) Warnings() int { return len(r.findings) + r.omitted - r.errors }

// Omitted returns how many findings are only counted.
func (r *Report) Omitted() int { return r.omitted }

package show

import (
	"fmt"
	"strings"
	"unicode"

	"mangowing/core/lint"
)

// Findings is the view of a check's findings and of what changes against the version in force.
type Findings struct {
	report     *lint.Report
	changes    []lint.Change
	isCompared bool
}

// NewFindings returns the view of a check. isCompared tells that there was a version in force to compare with.
func NewFindings(report *lint.Report, changes []lint.Change, isCompared bool) Findings {
	return Findings{report, changes, isCompared}
}

type findingWire struct {
	Level string `json:"level"`
	Rule  string `json:"rule"`
	placeWire
	Text string `json:"text"`
}

type changeWire struct {
	Effect string `json:"effect"`
	placeWire
	Text string `json:"text"`
}

// placeWire has an empty file for what concerns no file, and the line 0 if it isn't known.
type placeWire struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Path string `json:"path"`
}

func (f Findings) jsonValue() any {
	findings, changes := []findingWire{}, []changeWire{}
	for _, n := range f.report.Findings() {
		findings = append(findings, findingWire{n.Level.String(), n.Rule, placeWire(n.Place), n.Text})
	}
	for _, n := range f.changes {
		changes = append(changes, changeWire{n.Effect.String(), placeWire(n.Place), n.Text})
	}
	return struct {
		Errors   int           `json:"errors"`
		Warnings int           `json:"warnings"`
		Omitted  int           `json:"omitted"`
		Findings []findingWire `json:"findings"`
		Changes  []changeWire  `json:"changes"`
	}{f.report.Errors(), f.report.Warnings(), f.report.Omitted(), findings, changes}
}

func (f Findings) text() string {
	var b strings.Builder
	if findings := f.report.Findings(); len(findings) == 0 {
		b.WriteString("no finding\n")
	} else {
		t := newTable("LEVEL", "PLACE", "RULE", "FINDING")
		for _, n := range findings {
			t.row(n.Level.String(), printable(n.Place.String()), n.Rule, printable(n.Text))
		}
		b.WriteString(t.String())
	}
	if omitted := f.report.Omitted(); omitted > 0 {
		fmt.Fprintf(&b, "and %d more\n", omitted)
	}
	switch {
	case !f.isCompared:
	case len(f.changes) == 0:
		b.WriteString("no change\n")
	default:
		t := newTable("EFFECT", "PLACE", "CHANGE")
		for _, n := range f.changes {
			t.row(n.Effect.String(), printable(n.Place.String()), printable(n.Text))
		}
		b.WriteString("\n" + t.String())
	}
	return b.String()
}

// printable replaces characters that would change the terminal or the table.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, text)
}

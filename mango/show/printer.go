package show

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	columnGap  = 2
	timeFormat = "2006-01-02 15:04:05"
)

// View is a result that a Printer prints; only types of this package implement it.
type View interface {
	jsonValue() any
}

// Printer prints views as tables or as JSON.
type Printer struct {
	out  io.Writer
	json bool
}

// NewPrinter returns a printer that writes to out: tables, or one JSON value for each view.
func NewPrinter(out io.Writer, asJSON bool) Printer {
	return Printer{out, asJSON}
}

// Print prints one view.
func (p Printer) Print(v View) error {
	if p.json {
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		return encoder.Encode(v.jsonValue())
	}
	_, err := io.WriteString(p.out, renderText(v))
	return err
}

func renderText(v View) string {
	switch v := v.(type) {
	case WriteResult:
		return v.text()
	case Differences:
		return v.text()
	case History:
		return v.text()
	case GrantedKey:
		return v.text()
	case Keys:
		return v.text()
	case Status:
		return v.text()
	case Pools:
		return v.text()
	case VMs:
		return v.text()
	case Waves:
		return v.text()
	case WavePlan:
		return v.text()
	case Events:
		return v.text()
	case Job:
		return v.text()
	case Answers:
		return v.text()
	case Codes:
		return v.text()
	case Findings:
		return v.text()
	case Message:
		return string(v) + "\n"
	default:
		return fmt.Sprintln(v)
	}
}

// Message is one line of text.
type Message string

func (n Message) jsonValue() any {
	return struct {
		Note string `json:"note"`
	}{string(n)}
}

type table struct {
	out strings.Builder
}

func newTable(headings ...string) *table {
	t := &table{}
	t.row(headings...)
	return t
}

func (t *table) row(cells ...string) {
	for i, cell := range cells {
		if cell == "" {
			cells[i] = "-"
		}
	}
	t.out.WriteString(strings.Join(cells, "\t") + "\n")
}

func (t *table) String() string {
	var aligned strings.Builder
	w := tabwriter.NewWriter(&aligned, 0, 0, columnGap, ' ', 0)
	_, _ = io.WriteString(w, t.out.String())
	_ = w.Flush()
	return aligned.String()
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(timeFormat) }

func formatInt[N int | uint64](n N) string { return fmt.Sprint(n) }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func emptyIfNil[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}

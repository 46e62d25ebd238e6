package replay

import (
	"fmt"
	"strings"
)

// Table is a comparison of policies, with a row for each policy and a column for each measure.
type Table struct {
	title   string
	columns []string
	rows    [][]string
}

// NewTable returns a table without rows. The first column names the policy.
func NewTable(title string, columns ...string) Table {
	return Table{title: title, columns: columns}
}

// AddRow appends a row with one cell per column.
func (t *Table) AddRow(cells ...string) { t.rows = append(t.rows, cells) }

// Title returns the table's title.
func (t Table) Title() string { return t.title }

// Rows returns the cells by row.
func (t Table) Rows() [][]string { return t.rows }

// String returns the table as Markdown with aligned columns.
func (t Table) String() string {
	widths := make([]int, len(t.columns))
	for _, row := range append([][]string{t.columns}, t.rows...) {
		for i, cell := range row {
			widths[i] = max(widths[i], len(cell))
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\n", t.title)
	writeRow(&b, t.columns, widths)
	separator := make([]string, len(widths))
	for i, w := range widths {
		separator[i] = strings.Repeat("-", w)
	}
	writeRow(&b, separator, widths)
	for _, row := range t.rows {
		writeRow(&b, row, widths)
	}
	return b.String()
}

func writeRow(b *strings.Builder, cells []string, widths []int) {
	for i, cell := range cells {
		fmt.Fprintf(b, "| %-*s ", widths[i], cell)
	}
	b.WriteString("|\n")
}

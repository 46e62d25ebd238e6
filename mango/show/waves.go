package show

import (
	"fmt"
	"strings"

	"mangowing/mango/opsapi"
)

const barWidth = 30

// Waves is the view of the progress of waves.
type Waves struct {
	rows []opsapi.WaveRow
}

// NewWaves returns the view of waves.
func NewWaves(rows []opsapi.WaveRow) Waves { return Waves{rows} }

func (w Waves) jsonValue() any {
	return struct {
		Waves []opsapi.WaveRow `json:"waves"`
	}{emptyIfNil(w.rows)}
}

func (w Waves) text() string {
	t := newTable("WAVE", "STATE", "DONE", "OUT", "TOTAL", "BUDGET LEFT", "REASON")
	for _, row := range w.rows {
		t.row(row.Name(), row.State(), formatInt(row.Done()), formatInt(row.Out()), formatInt(row.Total()), formatInt(row.BudgetLeft()), row.Reason())
	}
	return t.String()
}

// ProgressLine returns a wave's progress as one line without a line break.
func ProgressLine(row opsapi.WaveRow) string {
	line := fmt.Sprintf("%s %s: %d of %d done, %d out, budget left %d", row.Name(), row.State(), row.Done(), row.Total(), row.Out(), row.BudgetLeft())
	if row.Reason() != "" {
		line += " (" + row.Reason() + ")"
	}
	return line
}

// ProgressBar returns a wave's progress for a terminal: a bar, then the progress line.
func ProgressBar(row opsapi.WaveRow) string {
	done, out := 0, 0
	if row.Total() > 0 {
		done = row.Done() * barWidth / row.Total()
		out = min((row.Out()*barWidth+row.Total()-1)/row.Total(), barWidth-done)
	}
	gauge := strings.Repeat("#", done) + strings.Repeat("-", out) + strings.Repeat(" ", barWidth-done-out)
	return "[" + gauge + "] " + ProgressLine(row)
}

// WavePlan is the view of what a wave may do in the current state of the fleet.
type WavePlan struct {
	wave   string
	frozen bool
	rows   []PlanRow
}

// PlanRow is the plan of a wave for one pool.
type PlanRow struct {
	Pool            string `json:"pool"`        // the pool's name
	VMs             int    `json:"vms"`         // VMs that belong to it
	Serving         int    `json:"serving"`     // VMs that serve now
	RequiredServing int    `json:"must-serve"`  // VMs that must keep serving
	MaxOut          int    `json:"may-go-out"`  // VMs that may be out at once, by budget and pace
	Racks           int    `json:"racks"`       // failure domains; only one has VMs out at a time
	MinSteps        int    `json:"least-steps"` // lower bound of the number of groups that go out one after the other
}

// NewWavePlan returns the view of a plan; frozen reports whether a freeze window is open now.
func NewWavePlan(wave string, frozen bool, rows []PlanRow) WavePlan {
	return WavePlan{wave, frozen, rows}
}

func (w WavePlan) jsonValue() any {
	return struct {
		Wave   string    `json:"wave"`
		Frozen bool      `json:"frozen-now"`
		Pools  []PlanRow `json:"pools"`
	}{w.wave, w.frozen, emptyIfNil(w.rows)}
}

func (w WavePlan) text() string {
	t := newTable("POOL", "VMS", "SERVING", "MUST SERVE", "MAY GO OUT", "RACKS", "LEAST STEPS")
	blocked := ""
	for _, row := range w.rows {
		t.row(row.Pool, formatInt(row.VMs), formatInt(row.Serving), formatInt(row.RequiredServing), formatInt(row.MaxOut), formatInt(row.Racks), formatInt(row.MinSteps))
		if row.MaxOut == 0 && row.VMs > 0 {
			blocked += fmt.Sprintf("pool %s has no VM to spare: the wave waits there\n", row.Pool)
		}
	}
	out := "wave " + w.wave + "\n" + t.String() + blocked
	if w.frozen {
		out += "a freeze window is open now: the wave would start nothing yet\n"
	}
	return out
}

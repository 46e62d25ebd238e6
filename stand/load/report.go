package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mangowing/core/codes"
	"mangowing/core/decl"
)

const (
	maxLatency         = time.Hour
	latencyDigits      = 3
	maxViolationsShown = 20
	medianPercent      = 50
	tailPercent        = 99
)

// Report holds the totals of a load and the violations that were found in its results.
type Report struct {
	w reportWire
}

type reportWire struct {
	Queues     []streamWire `json:"queues"`
	Teams      []teamWire   `json:"teams"`
	Codes      []codeWire   `json:"codes"`
	Violations []string     `json:"found"`
	Totals     totalsWire   `json:"totals"`
	Workers    workersWire  `json:"workers"`
}

type totalsWire struct {
	Sent        int `json:"sent"`
	Ran         int `json:"ran"`
	NotRun      int `json:"not-run"`
	Unknown     int `json:"unknown"`
	Lost        int `json:"lost"`
	Doubled     int `json:"doubled"`
	FalseNotRun int `json:"false-not-run"`
	Wrong       int `json:"wrong-answers"`
}

type streamWire struct {
	Stream string `json:"stream"`
	Queue  string `json:"queue"`
	totalsWire
	P50Ms float64 `json:"p50-ms"`
	P99Ms float64 `json:"p99-ms"`
	MaxMs float64 `json:"max-ms"`
	// MaxAtMs is when the slowest request was sent, in milliseconds since the start of the load.
	MaxAtMs int64 `json:"max-at-ms"`
}

type teamWire struct {
	Team        string `json:"team"`
	Limit       int    `json:"limit"`
	MostRunning int    `json:"most-running"`
}

type codeWire struct {
	Code  codes.Code `json:"code"`
	Name  string     `json:"name"`
	Count int        `json:"count"`
}

type workersWire struct {
	Started     int `json:"started"`
	Cut         int `json:"cut"`
	TwoPools    int `json:"two-pools"`
	OutsidePool int `json:"outside-pool"`
}

// Check compares the results with the stand's counts, and the counts with the limits of the teams in cfg.
func Check(results *Results, counts Counts, cfg *decl.Config) *Report {
	r := &Report{}
	starts := counts.startsByWork()
	byCode := map[codes.Code]int{}
	for i := range results.streams {
		row := r.checkStream(results, i, starts)
		r.w.Queues = append(r.w.Queues, row)
		r.w.Totals.add(row.totalsWire)
		for _, result := range results.byStream[i] {
			if result.outcome != codes.Unknown || result.code != codes.OK {
				byCode[result.code]++
			}
		}
	}
	for _, code := range slices.Sorted(maps.Keys(byCode)) {
		r.w.Codes = append(r.w.Codes, codeWire{code, code.Entry().Name(), byCode[code]})
	}
	r.checkCounts(counts, cfg)
	return r
}

func (t *totalsWire) add(o totalsWire) {
	t.Sent += o.Sent
	t.Ran += o.Ran
	t.NotRun += o.NotRun
	t.Unknown += o.Unknown
	t.Lost += o.Lost
	t.Doubled += o.Doubled
	t.FalseNotRun += o.FalseNotRun
	t.Wrong += o.Wrong
}

func (r *Report) checkStream(results *Results, i int, starts map[string]map[int]int) streamWire {
	s := &results.streams[i]
	row := streamWire{Stream: s.name, Queue: s.queue}
	latencies := hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	for _, result := range results.byStream[i] {
		row.count(result)
		if result.outcome == codes.Ran {
			_ = latencies.RecordValue(result.latency.Microseconds())
			row.updateSlowest(result, results.startedAt)
		}
		r.checkWork(&row, s, result, starts[result.id])
	}
	row.P50Ms = milliseconds(latencies.ValueAtPercentile(medianPercent))
	row.P99Ms = milliseconds(latencies.ValueAtPercentile(tailPercent))
	return row
}

func (row *streamWire) updateSlowest(result workResult, loadStart time.Time) {
	if ms := milliseconds(result.latency.Microseconds()); ms > row.MaxMs {
		row.MaxMs, row.MaxAtMs = ms, result.startedAt.Sub(loadStart).Milliseconds()
	}
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

func (row *streamWire) count(result workResult) {
	row.Sent++
	switch result.outcome {
	case codes.Ran:
		row.Ran++
	case codes.NotRun:
		row.NotRun++
	default:
		row.Unknown++
	}
}

func (r *Report) checkWork(row *streamWire, s *Stream, result workResult, starts map[int]int) {
	total := 0
	for _, n := range starts {
		total += n
	}
	if result.outcome == codes.Ran && total == 0 {
		row.Lost++
		r.addViolation("lost: %s: said to have run, never started", result.id)
	}
	if !result.isAnswered {
		row.Lost++
		r.addViolation("lost: %s: no answer, %d starts", result.id, total)
	}
	if total > 1 && s.isAtMostOnce() {
		row.Doubled++
		r.addViolation("doubled: %s: started %d times", result.id, total)
	}
	if result.defect != "" {
		row.Wrong++
		r.addViolation("wrong: %s: %s", result.id, result.defect)
	}
	if isFalseNotRun(result, starts) {
		row.FalseNotRun++
		r.addViolation("false not-run: %s: code %s, started %d times", result.id, result.code, total)
	}
}

// isFalseNotRun reports whether an attempt was answered as not run although it, or an earlier one, was started.
func isFalseNotRun(result workResult, starts map[int]int) bool {
	for _, notRun := range result.notRunAt {
		for attempt, n := range starts {
			if attempt <= notRun && n > 0 {
				return true
			}
		}
	}
	return false
}

func (r *Report) checkCounts(counts Counts, cfg *decl.Config) {
	w := counts.w
	r.w.Workers = workersWire{w.Totals.Started, w.Totals.Cut, len(w.TwoPools), w.Totals.OutsidePool}
	for _, violation := range w.TwoPools {
		r.addViolation("two pools at once: VM %s", violation.VM)
	}
	for _, t := range w.Teams {
		team := teamWire{Team: t.Team, Limit: -1, MostRunning: t.MostRunning}
		if declared, ok := cfg.Team(t.Team); ok {
			team.Limit = declared.Limit()
		}
		if team.Limit >= 0 && team.MostRunning > team.Limit {
			r.addViolation("over the limit: team %s had %d running, its limit is %d", t.Team, t.MostRunning, team.Limit)
		}
		r.w.Teams = append(r.w.Teams, team)
	}
	slices.SortFunc(r.w.Teams, func(a, b teamWire) int { return cmp.Compare(a.Team, b.Team) })
}

func (r *Report) addViolation(format string, args ...any) {
	r.w.Violations = append(r.w.Violations, fmt.Sprintf(format, args...))
}

// Failed reports whether there are violations, or nothing was sent.
func (r *Report) Failed() bool { return len(r.w.Violations) > 0 || r.w.Totals.Sent == 0 }

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r.w)
}

// WriteTable writes the report as a table, with at most maxViolationsShown violations.
func (r *Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "stream\tqueue\tsent\tran\tnot-run\tunknown\tlost\tdoubled\tfalse not-run\twrong\tp50 ms\tp99 ms\tmax ms\tat s\t")
	for _, row := range r.w.Queues {
		fmt.Fprintf(tw, "%s\t%s\t%s%.1f\t%.1f\t%.1f\t%.1f\t\n",
			row.Stream, row.Queue, row.columns(), row.P50Ms, row.P99Ms, row.MaxMs, float64(row.MaxAtMs)/1000)
	}
	fmt.Fprintf(tw, "all\t\t%s\t\t\t\t\n", r.w.Totals.columns())
	if err := tw.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w, "most running: "+r.teamsLine())
	fmt.Fprintln(w, "codes: "+r.codesLine())
	fmt.Fprintf(w, "workers: %d started, %d cut, %d in two pools at once, %d outside the VM's pool\n",
		r.w.Workers.Started, r.w.Workers.Cut, r.w.Workers.TwoPools, r.w.Workers.OutsidePool)
	for i, line := range r.w.Violations {
		if i == maxViolationsShown {
			fmt.Fprintf(w, "and %d more\n", len(r.w.Violations)-i)
			break
		}
		fmt.Fprintln(w, line)
	}
	return nil
}

func (t totalsWire) columns() string {
	return fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t",
		t.Sent, t.Ran, t.NotRun, t.Unknown, t.Lost, t.Doubled, t.FalseNotRun, t.Wrong)
}

func (r *Report) teamsLine() string {
	parts := make([]string, 0, len(r.w.Teams))
	for _, t := range r.w.Teams {
		limit := ""
		if t.Limit >= 0 {
			limit = fmt.Sprintf("/%d", t.Limit)
		}
		parts = append(parts, fmt.Sprintf("%s %d%s", t.Team, t.MostRunning, limit))
	}
	return strings.Join(parts, ", ")
}

func (r *Report) codesLine() string {
	parts := make([]string, 0, len(r.w.Codes))
	for _, c := range r.w.Codes {
		parts = append(parts, fmt.Sprintf("%d %s %d", uint16(c.Code), c.Name, c.Count))
	}
	return strings.Join(parts, ", ")
}

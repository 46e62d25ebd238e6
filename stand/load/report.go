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
	maxTook       = time.Hour
	tookDigits    = 3
	maxFoundShown = 20
	medianPercent = 50
	tailPercent   = 99
)

// Report is the checked result of a load.
type Report struct {
	w reportWire
}

type reportWire struct {
	Queues []rowWire   `json:"queues"`
	Teams  []teamWire  `json:"teams"`
	Codes  []codeWire  `json:"codes"`
	Found  []string    `json:"found"`
	Totals totalsWire  `json:"totals"`
	Counts countsShort `json:"workers"`
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

type rowWire struct {
	Stream string `json:"stream"`
	Queue  string `json:"queue"`
	totalsWire
	P50Ms float64 `json:"p50-ms"`
	P99Ms float64 `json:"p99-ms"`
	MaxMs float64 `json:"max-ms"`
	// MaxAtMs is when the slowest request was sent, since the load began.
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

type countsShort struct {
	Started     int `json:"started"`
	Cut         int `json:"cut"`
	TwoPools    int `json:"two-pools"`
	OutsidePool int `json:"outside-pool"`
}

// Check compares the results with the stand's counts, and with the limits of the declared teams.
func Check(results *Results, counts Counts, cfg *decl.Config) *Report {
	r := &Report{}
	starts := counts.startsByWork()
	byCode := map[codes.Code]int{}
	for i := range results.streams {
		row := r.checkStream(results, i, starts)
		r.w.Queues = append(r.w.Queues, row)
		r.w.Totals.add(row.totalsWire)
		for _, v := range results.verdicts[i] {
			if v.outcome != codes.Unknown || v.code != codes.OK {
				byCode[v.code]++
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

func (r *Report) checkStream(results *Results, i int, starts map[string]map[int]int) rowWire {
	s := &results.streams[i]
	row := rowWire{Stream: s.name, Queue: s.queue}
	took := hdrhistogram.New(1, maxTook.Microseconds(), tookDigits)
	for _, v := range results.verdicts[i] {
		row.count(v)
		if v.outcome == codes.Ran {
			_ = took.RecordValue(v.took.Microseconds())
			row.noteSlowest(v, results.began)
		}
		r.checkWork(&row, s, v, starts[v.id])
	}
	row.P50Ms = milliseconds(took.ValueAtPercentile(medianPercent))
	row.P99Ms = milliseconds(took.ValueAtPercentile(tailPercent))
	return row
}

func (row *rowWire) noteSlowest(v verdict, began time.Time) {
	if ms := milliseconds(v.took.Microseconds()); ms > row.MaxMs {
		row.MaxMs, row.MaxAtMs = ms, v.began.Sub(began).Milliseconds()
	}
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

func (row *rowWire) count(v verdict) {
	row.Sent++
	switch v.outcome {
	case codes.Ran:
		row.Ran++
	case codes.NotRun:
		row.NotRun++
	default:
		row.Unknown++
	}
}

func (r *Report) checkWork(row *rowWire, s *Stream, v verdict, starts map[int]int) {
	total := 0
	for _, n := range starts {
		total += n
	}
	if v.outcome == codes.Ran && total == 0 {
		row.Lost++
		r.found("lost: %s: said to have run, never started", v.id)
	}
	if !v.answered {
		row.Lost++
		r.found("lost: %s: no answer, %d starts", v.id, total)
	}
	if total > 1 && s.atMostOnce() {
		row.Doubled++
		r.found("doubled: %s: started %d times", v.id, total)
	}
	if v.wrong != "" {
		row.Wrong++
		r.found("wrong: %s: %s", v.id, v.wrong)
	}
	if falseNotRun(v, starts) {
		row.FalseNotRun++
		r.found("false not-run: %s: code %s, started %d times", v.id, v.code, total)
	}
}

// falseNotRun tells whether an attempt was said not to have run although it, or one before it, was started.
func falseNotRun(v verdict, starts map[int]int) bool {
	for _, said := range v.notRunAt {
		for attempt, n := range starts {
			if attempt <= said && n > 0 {
				return true
			}
		}
	}
	return false
}

func (r *Report) checkCounts(counts Counts, cfg *decl.Config) {
	w := counts.w
	r.w.Counts = countsShort{w.Totals.Started, w.Totals.Cut, len(w.TwoPools), w.Totals.OutsidePool}
	for _, violation := range w.TwoPools {
		r.found("two pools at once: VM %s", violation.VM)
	}
	for _, t := range w.Teams {
		team := teamWire{Team: t.Team, Limit: -1, MostRunning: t.MostRunning}
		if declared, ok := cfg.Team(t.Team); ok {
			team.Limit = declared.Limit()
		}
		if team.Limit >= 0 && team.MostRunning > team.Limit {
			r.found("over the limit: team %s had %d running, its limit is %d", t.Team, t.MostRunning, team.Limit)
		}
		r.w.Teams = append(r.w.Teams, team)
	}
	slices.SortFunc(r.w.Teams, func(a, b teamWire) int { return cmp.Compare(a.Team, b.Team) })
}

func (r *Report) found(format string, args ...any) {
	r.w.Found = append(r.w.Found, fmt.Sprintf(format, args...))
}

// Failed tells whether anything was found wrong, or nothing was sent.
func (r *Report) Failed() bool { return len(r.w.Found) > 0 || r.w.Totals.Sent == 0 }

// WriteJSON writes the report for programs.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r.w)
}

// WriteTable writes the report for people.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "stream\tqueue\tsent\tran\tnot-run\tunknown\tlost\tdoubled\tfalse not-run\twrong\tp50 ms\tp99 ms\tmax ms\tat s\t")
	for _, row := range r.w.Queues {
		fmt.Fprintf(t, "%s\t%s\t%s%.1f\t%.1f\t%.1f\t%.1f\t\n",
			row.Stream, row.Queue, row.columns(), row.P50Ms, row.P99Ms, row.MaxMs, float64(row.MaxAtMs)/1000)
	}
	fmt.Fprintf(t, "all\t\t%s\t\t\t\t\n", r.w.Totals.columns())
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w, "most running: "+r.teamsLine())
	fmt.Fprintln(w, "codes: "+r.codesLine())
	fmt.Fprintf(w, "workers: %d started, %d cut, %d in two pools at once, %d outside the VM's pool\n",
		r.w.Counts.Started, r.w.Counts.Cut, r.w.Counts.TwoPools, r.w.Counts.OutsidePool)
	for i, line := range r.w.Found {
		if i == maxFoundShown {
			fmt.Fprintf(w, "and %d more\n", len(r.w.Found)-i)
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

package decl

import (
	"math"
	"strconv"
	"strings"
	"time"

	"mangowing/core/record"
)

const maxRange = 100_000

// reader takes typed values from one section and notes which keys it has seen.
type reader struct {
	section  string
	values   map[string]string
	seen     map[string]bool
	compiler *compiler
}

func newReader(o record.Object, c *compiler) *reader {
	r := &reader{
		section:  strings.TrimSpace(o.Kind() + " " + o.Name()),
		values:   make(map[string]string, o.Len()),
		seen:     make(map[string]bool, o.Len()),
		compiler: c,
	}
	for i := range o.Len() {
		key, value := o.Field(i)
		if _, twice := r.values[key]; twice {
			c.fault(r.section, key, "given twice")
		}
		r.values[key] = value
	}
	if !validName(o.Name()) {
		c.fault(r.section, "", "expected a name of letters, digits, '-' and '_'")
	}
	return r
}

func validName(name string) bool {
	if name == "" {
		return false
	}
	for _, ch := range name {
		plain := ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' || ch >= '0' && ch <= '9' || ch == '-' || ch == '_'
		if !plain {
			return false
		}
	}
	return true
}

func (r *reader) text(key string) (string, bool) {
	r.seen[key] = true
	v, ok := r.values[key]
	return strings.TrimSpace(v), ok
}

func (r *reader) stringOr(key, fallback string) string {
	if v, ok := r.text(key); ok {
		return v
	}
	return fallback
}

func (r *reader) required(key string) string {
	v, ok := r.text(key)
	if !ok || v == "" {
		r.compiler.fault(r.section, key, "missing")
	}
	return v
}

func (r *reader) intAtLeast(key string, fallback, least int) int {
	v, ok := r.text(key)
	if !ok {
		return fallback
	}
	var n int
	if err := scanInt(v, &n); err != nil || n < least {
		r.compiler.fault(r.section, key, "%s: expected a whole number of at least %d", Quoted(v), least)
	}
	return n
}

func (r *reader) requiredInt(key string, least int) int {
	if _, ok := r.text(key); !ok {
		r.compiler.fault(r.section, key, "missing")
	}
	return r.intAtLeast(key, least, least)
}

func (r *reader) floatOr(key string, fallback float64) float64 {
	v, ok := r.text(key)
	if !ok {
		return fallback
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
		r.compiler.fault(r.section, key, "%s: expected a number of at least 0", Quoted(v))
	}
	return f
}

func (r *reader) boolOr(key string, fallback bool) bool {
	v, ok := r.text(key)
	switch {
	case !ok:
		return fallback
	case v == "yes":
		return true
	case v == "no":
		return false
	}
	r.compiler.fault(r.section, key, "%s: expected yes or no", Quoted(v))
	return fallback
}

func (r *reader) durationOr(key string, fallback time.Duration) time.Duration {
	v, ok := r.text(key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		r.compiler.fault(r.section, key, "%s: expected a duration such as 250ms, 30s or 4h", Quoted(v))
	}
	return d
}

func (r *reader) choiceOr(key, fallback string, choices ...string) string {
	v, ok := r.text(key)
	if !ok {
		return fallback
	}
	for _, c := range choices {
		if v == c {
			return v
		}
	}
	r.compiler.fault(r.section, key, "%s: expected one of %s", Quoted(v), strings.Join(choices, ", "))
	return fallback
}

func (r *reader) list(key string) []string {
	v, _ := r.text(key)
	return splitList(v)
}

func (r *reader) names(key string) []string {
	v, _ := r.text(key)
	out, err := ExpandNames(v)
	if err != nil {
		r.compiler.fault(r.section, key, "%s", err)
	}
	return out
}

func (r *reader) timeOfDay(key string) (time.Duration, bool) {
	v, ok := r.text(key)
	if !ok {
		return 0, false
	}
	d, err := parseTimeOfDay(v)
	if err != nil {
		r.compiler.fault(r.section, key, "%s: expected a time of day such as 05:30", Quoted(v))
	}
	return d, true
}

func (r *reader) windows(key string) []Window {
	var out []Window
	for _, item := range r.list(key) {
		from, to, ok := strings.Cut(item, "-")
		start, err1 := parseTimeOfDay(from)
		end, err2 := parseTimeOfDay(to)
		if !ok || err1 != nil || err2 != nil {
			r.compiler.fault(r.section, key, "%s: expected spans such as 05:00-13:00, UTC", Quoted(item))
			continue
		}
		out = append(out, Window{start, end})
	}
	return out
}

func (r *reader) unknownKeys() {
	for _, key := range sortedKeys(r.values) {
		if !r.seen[key] {
			r.compiler.fault(r.section, key, "unknown key; the nearest known one is %q", Nearest(key, sortedKeys(r.seen)))
		}
	}
}

func (r *reader) fleet(name string) Fleet {
	f := defaultFleet()
	f.name = name
	f.dataCentres = r.list("data-centres")
	if len(f.dataCentres) == 0 {
		r.compiler.fault(r.section, "data-centres", "missing")
	}
	f.sparePool = r.stringOr("spare-pool", "")
	f.sizing = r.choiceOr("sizing", f.sizing, "static", "threshold", "joint")
	f.weightShare = r.floatOr("weight-share", f.weightShare)
	f.weightMoves = r.floatOr("weight-moves", f.weightMoves)
	f.weightBuffer = r.floatOr("weight-buffer", f.weightBuffer)
	f.weightRollOut = r.floatOr("weight-roll-out", f.weightRollOut)
	f.minimumStay = r.durationOr("minimum-stay", f.minimumStay)
	f.plannerLease = r.durationOr("planner-lease", f.plannerLease)
	f.ejectedPercent = r.intAtLeast("ejected-percent", f.ejectedPercent, 0)
	return f
}

func (r *reader) pool(name string) Pool {
	return Pool{name: name, vms: r.names("vms"), minServing: r.intAtLeast("min-serving", 0, 0)}
}

func (r *reader) queue(name string) Queue {
	return Queue{
		name:   name,
		pool:   r.required("pool"),
		open:   r.boolOr("open", false),
		teams:  r.list("teams"),
		length: r.intAtLeast("length", defaultQueueLength, 1),
	}
}

func (r *reader) team(name string) Team {
	t := Team{
		name:         name,
		organisation: r.required("organisation"),
		share:        r.requiredInt("share", 1),
		limit:        r.requiredInt("limit", 0),
		class:        r.class(),
		idempotent:   r.boolOr("idempotent", false),
		runTime:      r.durationOr("run-time", defaultRunTime),
		timeout:      r.durationOr("timeout", defaultTimeout),
	}
	t.latestFinish, t.hasFinish = r.timeOfDay("latest-finish")
	return t
}

func (r *reader) class() Class {
	switch r.choiceOr("class", "normal", "urgent", "normal", "patient", "background") {
	case "urgent":
		return Urgent
	case "patient":
		return Patient
	case "background":
		return Background
	default:
		return Normal
	}
}

func (r *reader) wave(name string) Wave {
	return Wave{
		name:        name,
		pools:       r.list("pools"),
		minServing:  r.intAtLeast("min-serving", 1, 0),
		pace:        r.intAtLeast("pace", 1, 1),
		abortFaults: r.intAtLeast("abort-faults", 1, 0),
		freeze:      r.windows("freeze"),
	}
}

func splitList(v string) []string {
	var out []string
	for _, item := range strings.Split(v, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

func scanInt(v string, n *int) error {
	parsed, err := strconv.Atoi(strings.TrimSpace(v))
	*n = parsed
	return err
}

func parseTimeOfDay(v string) (time.Duration, error) {
	t, err := time.Parse("15:04", strings.TrimSpace(v))
	if err != nil {
		return 0, err
	}
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute, nil
}

// Nearest returns the candidate with the least edit distance to the word, empty if there are none.
func Nearest(word string, candidates []string) string {
	best, bestDistance := "", -1
	for _, c := range candidates {
		d := editDistance(word, c)
		if bestDistance < 0 || d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}

func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}

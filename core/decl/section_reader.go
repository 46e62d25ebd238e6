package decl

import (
	"math"
	"strconv"
	"strings"
	"time"

	"mangowing/core/record"
)

// Limits on names and their number, so that a short file can't expand to more than memory holds. maxRangeLength applies to a
// range and to a list.
const (
	maxRangeLength = 100_000
	// A name is at most as long as an item of a list.
	maxNameBytes = 256
	// Names of VMs in all pools together.
	maxVMs = 1_000_000
)

// sectionReader reads typed values from one section and records which keys were read, so that the others can be reported.
type sectionReader struct {
	section  string
	values   map[string]string
	readKeys map[string]bool
	compiler *compiler
}

func newSectionReader(o record.Object, c *compiler) *sectionReader {
	r := &sectionReader{
		section:  strings.TrimSpace(o.Kind() + " " + o.Name()),
		values:   make(map[string]string, o.Len()),
		readKeys: make(map[string]bool, o.Len()),
		compiler: c,
	}
	for i := range o.Len() {
		key, value := o.Field(i)
		if _, isRepeated := r.values[key]; isRepeated {
			c.addFault(r.section, key, "given twice")
		}
		r.values[key] = value
	}
	if !isValidName(o.Name()) {
		c.addFault(r.section, "", "expected a name of letters, digits, '-' and '_'")
	}
	return r
}

func isValidName(name string) bool {
	if name == "" {
		return false
	}
	for _, ch := range name {
		isAllowed := ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' || ch >= '0' && ch <= '9' || ch == '-' || ch == '_'
		if !isAllowed {
			return false
		}
	}
	return true
}

func (r *sectionReader) text(key string) (string, bool) {
	r.readKeys[key] = true
	v, ok := r.values[key]
	return strings.TrimSpace(v), ok
}

func (r *sectionReader) textOr(key, fallback string) string {
	if v, ok := r.text(key); ok {
		return v
	}
	return fallback
}

func (r *sectionReader) requiredText(key string) string {
	v, ok := r.text(key)
	if !ok || v == "" {
		r.compiler.addFault(r.section, key, "missing")
	}
	return v
}

func (r *sectionReader) intAtLeast(key string, fallback, least int) int {
	v, ok := r.text(key)
	if !ok {
		return fallback
	}
	var n int
	if err := parseInt(v, &n); err != nil || n < least {
		r.compiler.addFault(r.section, key, "%s: expected a whole number of at least %d", QuoteValue(v), least)
	}
	return n
}

func (r *sectionReader) requiredInt(key string, least int) int {
	if _, ok := r.text(key); !ok {
		r.compiler.addFault(r.section, key, "missing")
	}
	return r.intAtLeast(key, least, least)
}

func (r *sectionReader) floatOr(key string, fallback float64) float64 {
	v, ok := r.text(key)
	if !ok {
		return fallback
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
		r.compiler.addFault(r.section, key, "%s: expected a number of at least 0", QuoteValue(v))
	}
	return f
}

func (r *sectionReader) boolOr(key string, fallback bool) bool {
	v, ok := r.text(key)
	switch {
	case !ok:
		return fallback
	case v == "yes":
		return true
	case v == "no":
		return false
	}
	r.compiler.addFault(r.section, key, "%s: expected yes or no", QuoteValue(v))
	return fallback
}

func (r *sectionReader) durationOr(key string, fallback time.Duration) time.Duration {
	v, ok := r.text(key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		r.compiler.addFault(r.section, key, "%s: expected a duration such as 250ms, 30s or 4h", QuoteValue(v))
	}
	return d
}

func (r *sectionReader) choiceOr(key, fallback string, choices ...string) string {
	v, ok := r.text(key)
	if !ok {
		return fallback
	}
	for _, c := range choices {
		if v == c {
			return v
		}
	}
	r.compiler.addFault(r.section, key, "%s: expected one of %s", QuoteValue(v), strings.Join(choices, ", "))
	return fallback
}

func (r *sectionReader) list(key string) []string {
	v, _ := r.text(key)
	return splitList(v)
}

func (r *sectionReader) names(key string) []string {
	v, _ := r.text(key)
	out, err := ExpandNames(v)
	if err != nil {
		r.compiler.addFault(r.section, key, "%s", err)
	}
	return out
}

func (r *sectionReader) timeOfDay(key string) (time.Duration, bool) {
	v, ok := r.text(key)
	if !ok {
		return 0, false
	}
	d, err := parseTimeOfDay(v)
	if err != nil {
		r.compiler.addFault(r.section, key, "%s: expected a time of day such as 05:30", QuoteValue(v))
	}
	return d, true
}

func (r *sectionReader) windows(key string) []Window {
	var out []Window
	for _, item := range r.list(key) {
		from, to, ok := strings.Cut(item, "-")
		start, startErr := parseTimeOfDay(from)
		end, endErr := parseTimeOfDay(to)
		if !ok || startErr != nil || endErr != nil {
			r.compiler.addFault(r.section, key, "%s: expected spans such as 05:00-13:00, UTC", QuoteValue(item))
			continue
		}
		out = append(out, Window{start, end})
	}
	return out
}

func (r *sectionReader) checkUnknownKeys() {
	for _, key := range sortedKeys(r.values) {
		if !r.readKeys[key] {
			r.compiler.addFault(r.section, key, "unknown key; the nearest known one is %q", ClosestMatch(key, sortedKeys(r.readKeys)))
		}
	}
}

func (r *sectionReader) readFleet(name string) Fleet {
	f := defaultFleet()
	f.name = name
	f.dataCentres = r.list("data-centres")
	if len(f.dataCentres) == 0 {
		r.compiler.addFault(r.section, "data-centres", "missing")
	}
	f.sparePool = r.textOr("spare-pool", "")
	f.sizing = r.choiceOr("sizing", f.sizing, "static", "threshold", "joint")
	f.weightShare = r.floatOr("weight-share", f.weightShare)
	f.weightMoves = r.floatOr("weight-moves", f.weightMoves)
	f.weightBuffer = r.floatOr("weight-buffer", f.weightBuffer)
	f.weightRollOut = r.floatOr("weight-roll-out", f.weightRollOut)
	f.minimumStay = r.durationOr("minimum-stay", f.minimumStay)
	f.plannerLease = r.durationOr("planner-lease", f.plannerLease)
	f.maxEjectedPercent = r.intAtLeast("ejected-percent", f.maxEjectedPercent, 0)
	return f
}

func (r *sectionReader) readPool(name string) Pool {
	vms := r.names("vms")
	if r.compiler.vms += len(vms); r.compiler.vms > maxVMs {
		r.compiler.addFault(r.section, "vms", "more than %d VMs in all pools", maxVMs)
		vms = nil
	}
	return Pool{name: name, vms: vms, minServing: r.intAtLeast("min-serving", 0, 0)}
}

func (r *sectionReader) readQueue(name string) Queue {
	return Queue{
		name:              name,
		pool:              r.requiredText("pool"),
		isOpen:            r.boolOr("open", false),
		teams:             r.list("teams"),
		maxWaitingPerTeam: r.intAtLeast("length", defaultMaxWaitingPerTeam, 1),
	}
}

func (r *sectionReader) readTeam(name string) Team {
	t := Team{
		name:         name,
		organisation: r.requiredText("organisation"),
		share:        r.requiredInt("share", 1),
		limit:        r.requiredInt("limit", 0),
		class:        r.readClass(),
		isIdempotent: r.boolOr("idempotent", false),
		runTime:      r.durationOr("run-time", defaultRunTime),
		timeout:      r.durationOr("timeout", defaultTimeout),
	}
	t.latestFinish, t.hasLatestFinish = r.timeOfDay("latest-finish")
	return t
}

func (r *sectionReader) readClass() Class {
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

func (r *sectionReader) readWave(name string) Wave {
	return Wave{
		name:           name,
		pools:          r.list("pools"),
		minServing:     r.intAtLeast("min-serving", 1, 0),
		maxUnavailable: r.intAtLeast("pace", 1, 1),
		maxFailures:    r.intAtLeast("abort-faults", 1, 0),
		freezeWindows:  r.windows("freeze"),
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

func parseInt(v string, n *int) error {
	value, err := strconv.Atoi(strings.TrimSpace(v))
	*n = value
	return err
}

func parseTimeOfDay(v string) (time.Duration, error) {
	t, err := time.Parse("15:04", strings.TrimSpace(v))
	if err != nil {
		return 0, err
	}
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute, nil
}

// ClosestMatch returns the candidate with the least edit distance to the word, empty if there are no candidates.
func ClosestMatch(word string, candidates []string) string {
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

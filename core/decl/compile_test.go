package decl

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const validText = `[fleet f]
data-centres = a, b
spare-pool = spare

[pool p]
vms = p-[01-03]
min-serving = 1

[pool spare]
vms = s-1

[team t]
organisation = o
share = 2
limit = 4
class = background
latest-finish = 05:30

[queue q]
pool = p
teams = t

[wave w]
pools = p
freeze = 22:00-02:00
`

func compileFaults(t *testing.T, text string) []string {
	objects, err := ReadINI([]byte(text))
	assert.NilError(t, err)
	cfg, faults := Compile(objects)
	assert.Equal(t, cfg == nil, len(faults) > 0)
	var out []string
	for _, f := range faults {
		out = append(out, f.String())
	}
	return out
}

func TestCompileReportsEveryFault(t *testing.T) {
	scenarios := []struct {
		testName string
		text     string
		expected []string
	}{
		{"valid", "", nil},
		{"two pools claim a VM", "[pool x]\nvms = p-02\n", []string{"[pool x] vms: VM p-02 is already in pool p"}},
		{"one pool names a VM twice", "[pool x]\nvms = x-1, x-1\n", []string{"[pool x] vms: VM x-1 is already in pool x"}},
		{"queue without a pool", "[queue x]\n", []string{"[queue x] pool: missing"}},
		{"queue on an undeclared pool", "[queue x]\npool = none\n", []string{`[queue x] pool: pool "none" is not declared`}},
		{"queue for an undeclared team", "[queue x]\npool = p\nteams = t, u\n", []string{`[queue x] teams: team "u" is not declared`}},
		{"open queue without its team", "[queue x]\npool = p\nopen = yes\n", []string{"[queue x] open: an open queue needs a [team open] with its share and limit"}},
		{"wave over an undeclared pool", "[wave x]\npools = none\n", []string{`[wave x] pools: pool "none" is not declared`}},
		{"share of 0", "[team x]\norganisation = o\nshare = 0\nlimit = 0\n", []string{`[team x] share: "0": expected a whole number of at least 1`}},
		{"limit below 0", "[team x]\norganisation = o\nshare = 1\nlimit = -1\n", []string{`[team x] limit: "-1": expected a whole number of at least 0`}},
		{
			"team without keys", "[team x]\n",
			[]string{"[team x] limit: missing", "[team x] organisation: missing", "[team x] share: missing"},
		},
		{"unknown key", "[queue x]\npool = p\nlenght = 3\n", []string{`[queue x] lenght: unknown key; the nearest known one is "length"`}},
		{"key given twice", "[queue x]\npool = p\npool = spare\n", []string{"[queue x] pool: given twice"}},
		{"unknown kind", "[polo x]\n", []string{"[polo x]: unknown kind of section, expected fleet, pool, queue, team or wave"}},
		{"no name", "[pool]\nvms = x\n", []string{"[pool]: expected a name of letters, digits, '-' and '_'"}},
		{"bad name", "[pool a/b]\n", []string{"[pool a/b]: expected a name of letters, digits, '-' and '_'"}},
		{"bad range", "[pool x]\nvms = v-[3-1]\n", []string{`[pool x] vms: "v-[3-1]": expected a range such as name-[01-10]`}},
		{"bad word", "[queue x]\npool = p\nopen = maybe\n", []string{`[queue x] open: "maybe": expected yes or no`}},
		{"bad window", "[wave x]\nfreeze = 5-6\n", []string{`[wave x] freeze: "5-6": expected spans such as 05:00-13:00, UTC`}},
		{
			"bad weight, duration, class and time of day",
			"[team x]\norganisation = o\nshare = 1\nlimit = 1\nclass = now\nrun-time = 0s\nlatest-finish = 24:01\n",
			[]string{
				`[team x] class: "now": expected one of urgent, normal, patient, background`,
				`[team x] latest-finish: "24:01": expected a time of day such as 05:30`,
				`[team x] run-time: "0s": expected a duration such as 250ms, 30s or 4h`,
			},
		},
		{"two fleets", "[fleet g]\ndata-centres = a\n", []string{"[fleet g]: fleet f is declared already"}},
		{"weight that is not a number", "[pool x]\nvms = y\n[fleet f2]\ndata-centres = a\nweight-moves = NaN\n", []string{"[fleet f2] weight-moves: \"NaN\": expected a number of at least 0", "[fleet f2]: fleet f is declared already"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.DeepEqual(t, compileFaults(t, validText+s.text), s.expected)
		})
	}
}

func TestCompileReadsValues(t *testing.T) {
	objects, err := ReadINI([]byte(validText))
	assert.NilError(t, err)
	cfg, _ := Compile(objects)
	pool, _ := cfg.Pool("p")
	assert.DeepEqual(t, pool.VMs(), []string{"p-01", "p-02", "p-03"})
	assert.Equal(t, cfg.HomePool("p-02"), "p")
	team, _ := cfg.Team("t")
	finish, _ := team.LatestFinish()
	assert.Equal(t, finish, 5*time.Hour+30*time.Minute)
	assert.Equal(t, team.Class(), Background)
	wave, _ := cfg.Wave("w")
	assert.Assert(t, wave.FreezeWindows()[0].Contains(23*time.Hour) && wave.FreezeWindows()[0].Contains(time.Hour) && !wave.FreezeWindows()[0].Contains(2*time.Hour))
	again, err := ReadINI(WriteINI(objects))
	assert.NilError(t, err)
	for i := range objects {
		assert.Assert(t, objects[i].HasSameFields(again[i]), objects[i].Name())
	}
}

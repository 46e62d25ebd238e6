package lint

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const cleanDeclarations = `[fleet f]
data-centres = a, b
spare-pool = spare
[pool p]
vms = p-[01-04]
min-serving = 2
[pool spare]
vms = s-[1-3]
[team t]
organisation = o
share = 2
limit = 8
[team u]
organisation = o
share = 2
limit = 8
class = background
latest-finish = 05:30
[queue q]
pool = p
teams = t, u
[wave w]
pools = p
pace = 2
freeze = 22:00-02:00
`

func writeDeclarations(t testing.TB, text string) string {
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "all.ini"), []byte(text), 0o600))
	return dir
}

func checkDeclared(t testing.TB, text string, slots int) (Declarations, []string) {
	r := &Report{}
	d, ok := ReadDeclarations(writeDeclarations(t, text), r)
	if ok {
		CheckDeclarations(r, d, Context{SlotsPerVM: slots})
	}
	var out []string
	for _, f := range r.Findings() {
		out = append(out, f.Level.String()+" "+f.Rule+" "+f.Place.String())
	}
	return d, out
}

// Guards against a kind of broken declarations that the check lets pass or reports at another line.
func TestBrokenDeclarationsAreReported(t *testing.T) {
	scenarios := []struct {
		testName string
		old      string // replaced by text; the end of the text if it is empty
		text     string
		slots    int
		expected []string
	}{
		{"clean", "", "", 2, nil},
		{"no INI text", "", "what\n", 0, []string{"error syntax all.ini:26"}},
		{"a section twice", "", "[pool p]\nvms = x\n", 0, []string{"error section-duplicate all.ini:26"}},
		{"an unknown key", "pace = 2", "pase = 2", 0, []string{"error declaration all.ini:24"}},
		{"an undeclared team", "teams = t, u", "teams = t, u, v", 0, []string{"error declaration all.ini:21"}},
		{"ranges that expand too far", "vms = s-[1-3]", "vms = s-[1-90000], t-[1-90000]", 0, []string{"error declaration all.ini:8"}},
		{"a very wide range", "vms = s-[1-3]", "vms = s-[" + strings.Repeat("0", 300) + "-3]", 0, []string{"error declaration all.ini:8"}},
		{"no fleet", "[fleet f]\ndata-centres = a, b\nspare-pool = spare\n", "", 0, []string{"error fleet-missing ", "warning pool-without-queue all.ini:4"}},
		{"no weight", "spare-pool = spare", "spare-pool = spare\nweight-share = 0\nweight-moves = 0\nweight-buffer = 0\nweight-roll-out = 0", 0, []string{"warning weights-zero all.ini:4"}},
		{"more ejected than there are", "spare-pool = spare", "spare-pool = spare\nejected-percent = 130", 0, []string{"warning percent-over-100 all.ini:4"}},
		{"a pool without VMs", "vms = s-[1-3]", "", 0, []string{"warning pool-without-machines all.ini:7"}},
		{"a minimum over the pool", "min-serving = 2", "min-serving = 5", 0, []string{"error minimum-over-pool all.ini:6", "error wave-cannot-end all.ini:22"}},
		{"a pool that nobody uses", "", "[pool x]\nvms = x-1, x-2\n", 0, []string{"warning pool-without-queue all.ini:26"}},
		{"a team twice in a queue", "teams = t, u", "teams = t, u, t", 0, []string{"warning team-repeated all.ini:21"}},
		{"an open queue for others", "teams = t, u", "teams = t, u\nopen = yes\n[team open]\norganisation = o\nshare = 1\nlimit = 4", 0, []string{"error open-queue-closed all.ini:21", "warning team-without-queue all.ini:23"}},
		{"a team without a queue", "teams = t, u", "teams = t", 0, []string{"warning team-without-queue all.ini:13"}},
		{"a limit below one task", "share = 2\nlimit = 8\n[", "share = 2\nlimit = 0\n[", 0, []string{"warning limit-below-task all.ini:12"}},
		{"a limit below the share", "share = 2\nlimit = 8\n[", "share = 2\nlimit = 1\n[", 0, []string{"warning limit-below-share all.ini:12"}},
		{"a limit over the fleet", "share = 2\nlimit = 8\n[", "share = 2\nlimit = 9\n[", 2, []string{"warning limit-over-fleet all.ini:12"}},
		{"a caller who leaves before", "limit = 8\n[", "limit = 8\nrun-time = 2m\n[", 0, []string{"warning timeout-below-run-time all.ini:9"}},
		{"a finish that nobody looks at", "class = background", "class = patient", 0, []string{"warning latest-finish-unused all.ini:18"}},
		{"a wave without room", "pace = 2", "pace = 2\nmin-serving = 4", 0, []string{"error wave-cannot-end all.ini:25"}},
		{"a wave that is always frozen", "22:00-02:00", "22:00-10:00, 09:00-22:00", 0, []string{"error wave-cannot-end all.ini:25"}},
		{"a wave over nothing", "vms = p-[01-04]\nmin-serving = 2", "", 0, []string{"warning pool-without-machines all.ini:4", "warning wave-empty all.ini:22"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			text := cleanDeclarations + s.text
			if s.old != "" {
				text = strings.Replace(cleanDeclarations, s.old, s.text, 1)
			}
			_, found := checkDeclared(t, text, s.slots)
			assert.DeepEqual(t, found, s.expected)
		})
	}
}

// Guards against directories that hang or crash the check because they hold nothing, or more sections than it compares in time.
func TestUnusableDirectoriesAreReported(t *testing.T) {
	r := &Report{}
	_, ok := ReadDeclarations(t.TempDir(), r)
	assert.Assert(t, !ok)
	var text strings.Builder
	for i := range maxSections + 1 {
		fmt.Fprintf(&text, "[pool p%d]\n", i)
	}
	_, ok = ReadDeclarations(writeDeclarations(t, text.String()), r)
	assert.Assert(t, !ok)
	assert.Equal(t, r.Findings()[0].Rule+" "+r.Findings()[1].Rule, "unreadable too-many-sections")
}

// Guards against findings about the example deployments.
func TestExampleDeclarationsAreClean(t *testing.T) {
	for _, name := range []string{"vlnka", "hessian"} {
		r := &Report{}
		d, ok := ReadDeclarations(filepath.Join("../../deploy", name), r)
		assert.Assert(t, ok)
		CheckDeclarations(r, d, Context{})
		assert.DeepEqual(t, r.Findings(), []Finding(nil))
		assert.Equal(t, len(CompareDeclarations(d, d)), 0)
	}
}

// Guards against changes of declarations that are missed or listed behind others that callers notice less.
func TestCompareDeclarationsListsWhatCallersNoticeFirst(t *testing.T) {
	before, _ := checkDeclared(t, cleanDeclarations+"[pool x]\nvms = x-1\n[queue r]\npool = x\n", 0)
	text := strings.NewReplacer("share = 2\nlimit = 8\n[", "share = 3\nlimit = 4\n[", "teams = t, u", "teams = t", "pace = 2", "pace = 1",
		"pool = p\n", "pool = spare\n", "05:30", "06:00").Replace(cleanDeclarations)
	after, _ := checkDeclared(t, text+"[pool y]\nvms = y-1\n", 0)
	assert.DeepEqual(t, describe(CompareDeclarations(before, after)), []string{
		`removed queue "r": its calls are refused`,
		`removed calls of team "u" at queue "q" are refused`,
		`removed pool "x"`,
		`redirected calls of queue "q" go to pool "spare" instead of "p"`,
		`tightened limit of team "t": 8 to 4`,
		`altered latest finish of team "u": 05:30 to 06:00`,
		`altered pace of wave "w": 2 to 1`,
		`loosened share of team "t": 2 to 3`,
		`added pool "y"`,
	})
}

// Guards against panics on declarations from anywhere.
func FuzzDeclarations(f *testing.F) {
	f.Add(cleanDeclarations)
	f.Add("[team\n= x\n[]\n[pool p]\nvms = a-[9-1], ]b[\nvms = \"\"\"\n")
	f.Add("[wave w]\nfreeze = -, 25:00-\n[queue q]\nteams = ,,\npool\n")
	f.Fuzz(func(t *testing.T, text string) {
		d, found := checkDeclared(t, text, 1<<62)
		if len(found) == 0 {
			CompareDeclarations(d, d)
		}
	})
}

package survey

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mangowing/core/decl"
	"mangowing/core/record"
)

const testDeclarations = `[pool quotes]
vms = q-[1-2]

[pool pours]
vms = p-[1-2]

[team hand]
organisation = house
share = 1
limit = 4

[queue quotes]
pool = quotes
length = 50
teams = hand

[wave all]
pools = quotes, pours
freeze = 01:00-02:00
`

func testAnswers(team string, pairs ...string) Answers {
	a := NewAnswers(team).WithAnswer(KeyOrganisation, "guild").WithAnswer(KeyLimit, "8")
	for i := 0; i < len(pairs); i += 2 {
		a = a.WithAnswer(pairs[i], pairs[i+1])
	}
	return a
}

func TestRegenerate(t *testing.T) {
	buyers := testAnswers("buyers", KeyWork, "quotes", KeyFreeze, "04:00-05:00")
	pourers := testAnswers("pourers", KeyWork, "batches on pours", KeyLatestFinish, "03:00")
	scenarios := []struct {
		testName      string
		before, after []Answers
		expected      []string
		absent        []string
	}{
		{
			"a new team is added to a declared queue, which keeps its other teams and its length, and its freeze window is added",
			nil,
			[]Answers{buyers},
			[]string{"[team buyers]", "length = 50\nteams = buyers, hand", "freeze = 01:00-02:00, 04:00-05:00"},
			nil,
		},
		{
			"a new queue is declared on the pool that the team names",
			nil,
			[]Answers{pourers},
			[]string{"[queue batches]\npool = pours\nteams = pourers", "latest-finish = 03:00"},
			[]string{"freeze = 01:00-02:00,"},
		},
		{
			"changed work moves the team from one queue to another and removes its freeze window",
			[]Answers{buyers},
			[]Answers{buyers.WithAnswer(KeyWork, "batches on pours").WithAnswer(KeyFreeze, "")},
			[]string{"teams = hand", "[queue batches]\npool = pours\nteams = buyers"},
			[]string{"04:00-05:00"},
		},
		{
			"a queue is removed with its last team, since an empty list would open it to all",
			[]Answers{pourers},
			nil,
			[]string{"[team hand]"},
			[]string{"[queue batches]", "[team pourers]"},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			start, err := decl.ReadINI([]byte(testDeclarations))
			assert.NilError(t, err)
			start, err = Regenerate(start, nil, s.before)
			assert.NilError(t, err)
			objects, err := Regenerate(start, s.before, s.after)
			assert.NilError(t, err)
			_, faults := decl.Compile(objects)
			assert.Equal(t, len(faults), 0, "%v", faults)
			text := string(decl.WriteINI(objects))
			for _, part := range s.expected {
				assert.Assert(t, strings.Contains(text, part), "%s\nlacks\n%s", text, part)
			}
			for _, part := range s.absent {
				assert.Assert(t, !strings.Contains(text, part), "%s\nhas\n%s", text, part)
			}
		})
	}
}

func TestRegenerateKeepsQueueOpenToAllTeams(t *testing.T) {
	start := []record.Object{record.NewObject(decl.KindQueue, "any", 0).WithField("pool", "quotes")}
	objects, err := Regenerate(start, nil, []Answers{testAnswers("buyers", KeyWork, "any")})
	assert.NilError(t, err)
	assert.Equal(t, string(decl.WriteINI(objects[:1])), "[queue any]\npool = quotes\n")
}

func TestRegenerateRejectsConflictingPools(t *testing.T) {
	_, err := Regenerate(nil, nil, []Answers{testAnswers("a", KeyWork, "q on one"), testAnswers("b", KeyWork, "q on two")})
	assert.Error(t, err, "[answers b] work: queue q is on pool one in the answers of team a")
}

func TestParseReportsEveryFault(t *testing.T) {
	scenarios := []struct {
		testName string
		text     string
		expected []string
	}{
		{"no section", "", []string{"expected one section [answers TEAM]"}},
		{"other section", "[team a]\nshare = 1\n", []string{"expected one section [answers TEAM]"}},
		{
			"wrong values",
			"[answers a]\norganisation = o\nwork = q\nshare = 0\nlimit = -1\nurgency = now\npatience = long\nidempotent = maybe\nlatest-finish = 25:00\nfreeze = noon\n",
			[]string{
				`share: "0": expected a whole number of at least 1`, `limit: "-1": expected a whole number of at least 0`,
				"urgency: \"now\": expected one of urgent", "patience: \"long\": expected a duration", "idempotent: \"maybe\": expected yes or no",
				"latest-finish: \"25:00\": expected a time of day", "freeze: \"noon\": expected spans",
			},
		},
		{"missing", "[answers a]\nwork = q\n", []string{"organisation: \"\"", "limit: \"\""}},
		{"unknown key", "[answers a]\norganisation = o\nwork = q\nlimit = 1\npatiense = 3s\n", []string{`patiense: unknown key; the nearest known one is "patience"`}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			_, err := Parse([]byte(s.text))
			for _, part := range s.expected {
				assert.ErrorContains(t, err, part)
			}
		})
	}
}

func TestEncodeParseRoundTrip(t *testing.T) {
	a := testAnswers("buyers", KeyWork, "quotes on quotes", KeyFreeze, "04:00-05:00", KeyIdempotent, "yes")
	b, err := Parse(a.Encode())
	assert.NilError(t, err)
	assert.DeepEqual(t, string(b.Encode()), string(a.Encode()))
}

func TestDeployedDeclarationsMatchAnswers(t *testing.T) {
	for _, deployment := range []string{"../../deploy/vlnka", "../../deploy/hessian"} {
		objects, err := decl.ReadDirectory(deployment)
		assert.NilError(t, err)
		answers, err := ReadAll(deployment)
		assert.NilError(t, err)
		again, err := Regenerate(objects, answers, answers)
		assert.NilError(t, err)
		assert.Equal(t, string(decl.WriteINI(again)), string(decl.WriteINI(objects)), deployment)
		cfg, faults := decl.Compile(objects)
		assert.Equal(t, len(faults), 0, "%v", faults)
		assert.Equal(t, len(cfg.Pools()), 5)
	}
}

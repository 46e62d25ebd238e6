package lint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/setup"
)

func exampleConfiguration() *Configuration {
	return &Configuration{
		Version: 4,
		Queues: []Queue{
			{Queue: setup.Queue{Name: "plans", Host: "h", Prefix: "/plans/", Pool: "p", KeyOptional: true, Timeout: time.Second, Priority: 1}},
			{Queue: setup.Queue{Name: "quotes", Host: "h", Prefix: "/quotes/", Pool: "p", SlackFactor: 2}},
		},
		Pools: []Pool{{Pool: setup.Pool{Name: "p"}}, {Pool: setup.Pool{Name: "q"}}},
		Teams: []Team{
			{Team: setup.Team{Name: "floor", Weight: 10, Limit: setup.Resources{CPU: 4000}, Keys: []string{"k1", "k2"}}},
			{Team: setup.Team{Name: "retail", Weight: 5, Keys: []string{"k3"}}},
		},
		Limits: setup.Limits{BodyBytes: 1000},
	}
}

func describe(list []Change) []string {
	var out []string
	for _, c := range list {
		out = append(out, c.Effect.String()+" "+c.Text)
	}
	return out
}

// Guards against changes that are missed, named wrongly or listed behind others that callers notice less.
func TestCompareListsWhatCallersNoticeFirst(t *testing.T) {
	scenarios := []struct {
		testName string
		change   func(c *Configuration)
		expected []string
	}{
		{"nothing", func(*Configuration) {}, nil},
		{"a new version only", func(c *Configuration) { c.Version++ }, nil},
		{"a queue removed", func(c *Configuration) { c.Queues = c.Queues[:1] }, []string{`removed calls of "h/quotes/" are refused: queue "quotes" had them`}},
		{"a queue on another pool", func(c *Configuration) { c.Queues[1].Pool = "q" }, []string{`redirected calls of "h/quotes/" go to pool "q" instead of "p" (queue "quotes")`}},
		{
			"a prefix that takes calls", func(c *Configuration) {
				c.Queues = append(c.Queues, Queue{Queue: setup.Queue{Name: "fast", Host: "H", Prefix: "/plans/fast/", Pool: "q"}})
			},
			[]string{`redirected calls of "H/plans/fast/" go to queue "fast" instead of "plans"`},
		},
		{"a key needed", func(c *Configuration) { c.Queues[0].KeyOptional = false }, []string{`removed calls of "h/plans/" without a key are refused`}},
		{"a key removed", func(c *Configuration) { c.Teams[0].Keys = []string{"k1"} }, []string{`removed a key of team "floor" is refused`}},
		{"a key in another team", func(c *Configuration) {
			c.Teams[0].Keys, c.Teams[1].Keys = []string{"k1"}, []string{"k2", "k3"}
		}, []string{`redirected a key of team "floor" counts for team "retail"`}},
		{"no limit to a limit", func(c *Configuration) { c.Teams[1].Limit.GPU = 2 }, []string{`tightened limit of team "retail" in GPUs: none to 2`}},
		{"a limit to none", func(c *Configuration) { c.Teams[0].Limit.CPU = 0 }, []string{`loosened limit of team "floor" in thousandths of a core: 4000 to none`}},
		{"a longer timeout", func(c *Configuration) { c.Queues[0].Timeout *= 2 }, []string{`loosened duration of a call of queue "plans": 1s to 2s`}},
		{"a policy service", func(c *Configuration) { c.Queues[0].Advice.Validity = time.Second }, []string{`altered policy service of queue "plans": none to calls of 0s and 0s a worker, tickets for 1s`}},
		{"a queue under another name", func(c *Configuration) { c.Queues[1].Name = "offers" }, []string{`redirected calls of "h/quotes/" go to queue "offers" instead of "quotes"`}},
		{"a queue added", func(c *Configuration) {
			c.Queues = append(c.Queues, Queue{Queue: setup.Queue{Name: "new", Host: "g", Prefix: "/new/", Pool: "p"}})
		}, []string{`added calls of "g/new/" are accepted by queue "new"`}},
		{"no key needed", func(c *Configuration) { c.Queues[1].KeyOptional = true }, []string{`loosened calls of "h/quotes/" need no key`}},
		{"a team added", func(c *Configuration) {
			c.Teams = append(c.Teams, Team{Team: setup.Team{Name: "new", Keys: []string{"k4"}}})
		}, []string{`added a key of team "new" is accepted`, `added team "new"`}},
		{"a pool removed", func(c *Configuration) { c.Pools = c.Pools[:1] }, []string{`removed pool "q"`}},
		{
			"all at once", func(c *Configuration) {
				c.Pools = append(c.Pools, Pool{Pool: setup.Pool{Name: "r"}})
				c.Queues[1].SlackFactor = 3
				c.Limits.BodyBytes = 2000
				c.Teams[0].Weight, c.Teams[0].Limit.CPU = 4, 2000
				c.Queues[0].Pool, c.Queues[0].Priority = "q", 2
				c.Teams = c.Teams[:1]
			},
			[]string{
				`removed a key of team "retail" is refused`,
				`removed team "retail"`,
				`redirected calls of "h/plans/" go to pool "q" instead of "p" (queue "plans")`,
				`tightened limit of team "floor" in thousandths of a core: 4000 to 2000`,
				`tightened weight of team "floor": 10 to 4`,
				`tightened priority of queue "plans": 1 to 2; 0 is the most urgent`,
				`altered slack factor of queue "quotes": 2 to 3`,
				`loosened largest body of a call in bytes: 1000 to 2000`,
				`added pool "r"`,
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			next := exampleConfiguration()
			s.change(next)
			assert.DeepEqual(t, describe(Compare(exampleConfiguration(), next)), s.expected)
		})
	}
	r := &Report{}
	CheckOrder(r, exampleConfiguration(), exampleConfiguration())
	assert.Equal(t, r.Errors(), 1, "gates ignore a version that isn't newer")
}

// Guards against a hostile file that makes a report of any length.
func TestReportIsBounded(t *testing.T) {
	r := &Report{}
	for range 3 * maxFindings {
		r.Add(Warning, "rule", Place{}, "text")
	}
	r.Add(Error, "rule", Place{}, "text")
	assert.Equal(t, len(r.Findings()), maxFindings)
	assert.Equal(t, r.Omitted(), 2*maxFindings+1)
	assert.Equal(t, r.Errors(), 1)
	assert.Equal(t, r.Warnings(), 3*maxFindings)
}

// Guards against a second wave of a number, which gates ignore, that passes as the first one.
func TestSecondWaveOfANumberIsReported(t *testing.T) {
	w := Wave{Number: 1, Machines: []string{"m"}, Duration: time.Second, MaxDown: 1}
	r := &Report{}
	CheckWaves(r, Context{Waves: []Wave{w, w}})
	assert.Equal(t, len(r.Findings()), 1)
	assert.Equal(t, r.Findings()[0].Rule, "wave-duplicate")
}

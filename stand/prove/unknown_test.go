package prove

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const settleLimit = 5 * time.Second

var poursVMs = []string{
	"cz-a-08", "cz-a-09", "cz-a-10", "cz-b-08", "cz-b-09", "cz-b-10", "cz-c-07", "cz-c-08", "cz-c-09", "cz-c-10",
}

// Promise 7: an outcome that was unknown because the upstream answered short or too late is settled from the worker's own report, and the work ran once.
func TestUnknownOutcomeIsSettledByTheWorker(t *testing.T) {
	scenarios := []struct {
		testName string
		fault    string
		value    int
		runMs    int
		timeout  string
	}{
		{"short", "short", 1, 50, "5s"},
		{"late", "late", 1500, 50, "600ms"},
		{"still running", "late", 0, 1500, "600ms"},
	}
	f := startFleet(t, "cz-a", "cz-b")
	f.apply()
	key := f.grant("pour-planning")
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f.faultAll(s.fault, s.value)
			ticket, err := f.gates[0].mint(key)
			assert.NilError(t, err)
			work := "unknown-" + s.testName
			c := task{queue: "pour-batches", key: key, work: work, runMs: s.runMs, ticket: ticket, timeout: s.timeout}
			first := f.gates[1].send(c)
			assert.Equal(t, first.outcome, "unknown", "%+v", first)
			assert.Equal(t, f.counts().starts(work), 1)
			f.faultAll(s.fault, 0)
			for _, g := range f.gates {
				f.await(settleLimit, g.name+" knows that it ran", func() bool { return g.look(ticket).outcome == "ran" })
			}
			again := f.gates[1].send(c)
			assert.Equal(t, again.outcome, "ran", "%+v", again)
			assert.Equal(t, f.counts().starts(work), 1)
		})
	}
}

// faultAll sets a fault on every worker of the pool that the proof uses.
func (f *fleet) faultAll(fault string, value int) {
	f.t.Helper()
	for _, vm := range poursVMs {
		f.fault(vm, fault, value)
	}
}

// look asks a gate for the outcome of a ticket's request.
func (g *gateProcess) look(ticket string) reply {
	resp, err := g.fleet.client.Get("http://" + g.caller + "/v1/requests/" + ticket)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, outcome: resp.Header.Get("Mango-Outcome"), body: string(body), err: err}
}

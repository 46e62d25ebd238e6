package prove

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const settleTimeout = 5 * time.Second

var poursVMs = []string{
	"cz-a-08", "cz-a-09", "cz-a-10", "cz-b-08", "cz-b-09", "cz-b-10", "cz-c-07", "cz-c-08", "cz-c-09", "cz-c-10",
}

// Promise 7: an outcome that is unknown because the upstream's answer was truncated or came after the timeout is settled
// from the worker's own record, and the work has run exactly once.
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
	f.applyDeployment()
	key := f.createKey("pour-planning")
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f.setPoolFault(s.fault, s.value)
			ticket, err := f.gates[0].createTicket(key)
			assert.NilError(t, err)
			work := "unknown-" + s.testName
			req := request{queue: "pour-batches", key: key, workID: work, runMs: s.runMs, ticket: ticket, timeout: s.timeout}
			first := f.gates[1].sendRequest(req)
			assert.Equal(t, first.outcome, "unknown", "%+v", first)
			assert.Equal(t, f.readCounts().starts(work), 1)
			f.setPoolFault(s.fault, 0)
			for _, g := range f.gates {
				f.await(settleTimeout, g.name+" reports that it ran", func() bool { return g.lookUpOutcome(ticket).outcome == "ran" })
			}
			again := f.gates[1].sendRequest(req)
			assert.Equal(t, again.outcome, "ran", "%+v", again)
			assert.Equal(t, f.readCounts().starts(work), 1)
		})
	}
}

// setPoolFault sets a fault on every VM of the pool pours.
func (f *fleet) setPoolFault(fault string, value int) {
	f.t.Helper()
	for _, vm := range poursVMs {
		f.setFault(vm, fault, value)
	}
}

// lookUpOutcome requests the outcome of the request with this ticket from the gate.
func (g *gateProcess) lookUpOutcome(ticket string) reply {
	resp, err := g.fleet.client.Get("http://" + g.callerAddress + "/v1/requests/" + ticket)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, outcome: resp.Header.Get("Mango-Outcome"), body: string(body), err: err}
}

package prove

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Promise 7: a request with one ticket runs at most once, even if it is sent through all gates at once and retried, while
// gates are killed before, during and after the dispatch.
func TestTicketRunsAtMostOnce(t *testing.T) {
	f := startFleet(t, "cz-a", "cz-a", "cz-b", "cz-c")
	f.applyDeployment()
	key := f.createKey("pour-planning")
	works := map[string]string{}
	for i := range 40 {
		ticket, err := f.gates[i%len(f.gates)].createTicket(key)
		assert.NilError(t, err)
		works[fmt.Sprintf("pour-%d", i)] = ticket
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string][]reply{}
	for work, ticket := range works {
		for n := range len(f.gates) {
			wg.Go(func() {
				for try := range 6 {
					r := f.sendBalanced(n+try, request{queue: "pour-batches", key: key, workID: work, runMs: 400, ticket: ticket})
					mu.Lock()
					outcomes[work] = append(outcomes[work], r)
					mu.Unlock()
					if r.outcome == "ran" {
						return
					}
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	for _, g := range f.gates[:3] {
		time.Sleep(250 * time.Millisecond)
		g.killAndRestart()
	}
	wg.Wait()
	c := f.readCounts()
	ran := 0
	for work, replies := range outcomes {
		starts := c.starts(work)
		assert.Assert(t, starts <= 1, "work %s ran %d times: %+v", work, starts, replies)
		for _, r := range replies {
			if r.outcome == "ran" {
				assert.Equal(t, starts, 1, "work %s: %+v", work, r)
				ran++
			}
			if last := replies[len(replies)-1]; last.outcome == "not-run" && countOutcome(replies, "not-run") == len(replies) {
				assert.Equal(t, starts, 0, "work %s ran although every reply said not-run: %+v", work, replies)
			}
		}
	}
	assert.Assert(t, ran > 0)
}

// Promise 7: a request with an idempotency key runs at most once through all gates; while the log is down it is refused
// with the outcome not-run.
func TestIdempotencyKeyRunsAtMostOnce(t *testing.T) {
	f := startFleet(t, "cz-a", "cz-b", "cz-c")
	f.applyDeployment()
	key := f.createKey("pour-planning")
	send := func(g *gateProcess, work string) reply {
		return g.sendRequest(request{queue: "pour-batches", key: key, workID: work, runMs: 50, idempotencyKey: "key-" + work})
	}
	for i := range 10 {
		work := fmt.Sprintf("claimed-%d", i)
		var wg sync.WaitGroup
		for _, g := range f.gates {
			wg.Go(func() {
				r := send(g, work)
				assert.Check(t, r.outcome == "ran", "%+v", r)
			})
		}
		wg.Wait()
		assert.Equal(t, f.readCounts().starts(work), 1)
	}
	f.setFault("log", "answers-lost", 3)
	assert.Equal(t, send(f.gates[0], "answer-lost").outcome, "ran")
	assert.Equal(t, send(f.gates[1], "answer-lost").outcome, "ran")
	assert.Equal(t, f.readCounts().starts("answer-lost"), 1)
	f.setFault("log", "down", 1)
	r := send(f.gates[0], "log-down")
	assert.Equal(t, r.outcome, "not-run", "%+v", r)
	assert.Equal(t, f.readCounts().starts("log-down"), 0)
	f.setFault("log", "down", 0)
}

// Promises 9 and 7: a planned stop hands the gate's tickets over to other gates, used ones with their answers.
func TestTicketsSurviveAPlannedStop(t *testing.T) {
	f := startFleet(t, "cz-a", "cz-a", "cz-b")
	f.applyDeployment()
	key := f.createKey("pour-planning")
	used, err := f.gates[0].createTicket(key)
	assert.NilError(t, err)
	unused, err := f.gates[0].createTicket(key)
	assert.NilError(t, err)
	work := rand.Text()
	req := request{queue: "pour-batches", key: key, workID: work, runMs: 20, ticket: used}
	assert.Equal(t, f.gates[0].sendRequest(req).outcome, "ran")
	f.gates[0].stopGracefully()
	f.gates[0].start()
	f.gates[0].awaitReady()
	again := f.gates[2].sendRequest(req)
	assert.Equal(t, again.outcome, "ran", "%+v", again)
	assert.Equal(t, again.body, work+"\n")
	req.workID, req.ticket = rand.Text(), unused
	r := f.gates[1].sendRequest(req)
	assert.Equal(t, r.status, http.StatusOK, "%+v", r)
	assert.Equal(t, f.readCounts().starts(work), 1)
	assert.Equal(t, f.readCounts().starts(req.workID), 1)
}

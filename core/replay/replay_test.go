package replay

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowing/core/codes"
)

func testSize() traceSize {
	return traceSize{cycles: 1, queues: 2, turn: 40 * time.Second, workers: 10}
}

func TestTablesMatchGoldenFiles(t *testing.T) {
	for _, name := range Deployments() {
		t.Run(name, func(t *testing.T) {
			var b strings.Builder
			for _, table := range tables(deploymentByName(name), testSize()) {
				b.WriteString(table.String() + "\n")
			}
			golden.Assert(t, b.String(), name+".golden")
		})
	}
}

// TestChosenPolicyMeetsTheTargets checks the policy that the gates use against its targets, without and with faults. The
// other policies in the golden tables show that each part of it is needed.
func TestChosenPolicyMeetsTheTargets(t *testing.T) {
	for _, name := range Deployments() {
		t.Run(name, func(t *testing.T) {
			d := deploymentByName(name)
			m := replayAll(d, chosenPolicy(), faults{}, testSize())
			assert.Assert(t, len(m.shareErrors) > 100)
			assert.Assert(t, quantile(m.shareErrors, 1) < 0.03, "share error %.3f", quantile(m.shareErrors, 1))
			assert.Assert(t, m.urgentInTimeFraction() > 0.999, "urgent in time %.4f", m.urgentInTimeFraction())
			longFlood := replayAll(d, chosenPolicy(), faults{longFlood: true}, testSize())
			assert.Assert(t, longFlood.urgentInTimeFraction() > 0.999, "urgent in time behind long work %.4f", longFlood.urgentInTimeFraction())
			outage := replayAll(d, chosenPolicy(), faults{outage: true}, testSize()).outage
			assert.Assert(t, outage.attempts < 12*outage.startedRequests/10, "%d attempts of %d requests", outage.attempts, outage.startedRequests)
			badWorkers := replayAll(d, chosenPolicy(), faults{badWorkers: badWorkerCount}, testSize())
			assert.Equal(t, badWorkers.setAsideWrongly, 0)
			assert.Assert(t, badWorkers.failed*100 < badWorkers.succeeded, "%d failed", badWorkers.failed)
		})
	}
}

func TestRequestInvariants(t *testing.T) {
	everything := faults{badWorkers: badWorkerCount, outage: true, longFlood: true}
	scenarios := []struct {
		testName string
		policy   policy
	}{
		{"chosen", chosenPolicy()},
		{"per gate", chosenPolicy().with("", func(p *policy) { p.layout, p.workerChoice = perGate, twoRandom })},
		{"per data centre", chosenPolicy().with("", func(p *policy) {
			p.layout, p.gossipInterval, p.exchangesService, p.rebalances = perDataCentre, gossipPeriod, true, true
		})},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			s := newSimulation(vlnka(), sc.policy, everything, 0, 0, testSize())
			s.run()
			for _, r := range s.requests {
				assertRequestInvariants(t, r)
			}
			for _, w := range s.workers {
				assert.Assert(t, w.running >= 0 && w.running <= slotsPerWorker)
			}
		})
	}
}

// assertRequestInvariants fails if attempts of the request overlapped, if a non-idempotent request ran more than once, or if
// it succeeded more than once or ended as OK without a success.
func assertRequestInvariants(t *testing.T, r *request) {
	t.Helper()
	assert.Assert(t, r.stream.isIdempotent || len(r.attempts) <= 1, "request %s ran %d times", r.id, len(r.attempts))
	successes := 0
	for i, a := range r.attempts {
		if i > 0 {
			assert.Assert(t, r.attempts[i-1].isEnded && r.attempts[i-1].endedAt <= a.startedAt, "request %s ran twice at a time", r.id)
		}
		if a.isEnded && !a.willFail {
			successes++
		}
	}
	assert.Assert(t, successes <= 1)
	if r.isEnded && r.code == codes.OK {
		assert.Equal(t, successes, 1)
	}
}

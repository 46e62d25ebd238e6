package replay

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowing/core/codes"
)

func smallSize() size { return size{cycles: 1, queues: 2, turn: 40 * time.Second, workers: 10} }

func TestTablesAreTheSameOnEveryRun(t *testing.T) {
	for _, user := range Deployments() {
		t.Run(user, func(t *testing.T) {
			var b strings.Builder
			for _, table := range tables(deploymentOf(user), smallSize()) {
				b.WriteString(table.String() + "\n")
			}
			golden.Assert(t, b.String(), user+".golden")
		})
	}
}

// TestChosenPolicyMeetsTheTargets replays the policy in force; the others show that each of its parts is needed.
func TestChosenPolicyMeetsTheTargets(t *testing.T) {
	for _, user := range Deployments() {
		t.Run(user, func(t *testing.T) {
			d := deploymentOf(user)
			m := replayAll(d, chosen(), faults{}, smallSize())
			assert.Assert(t, len(m.errors) > 100)
			assert.Assert(t, quantile(m.errors, 1) < 0.03, "share error %.3f", quantile(m.errors, 1))
			assert.Assert(t, m.inTime() > 0.999, "urgent in time %.4f", m.inTime())
			long := replayAll(d, chosen(), faults{longFlood: true}, smallSize())
			assert.Assert(t, long.inTime() > 0.999, "urgent in time behind long work %.4f", long.inTime())
			down := replayAll(d, chosen(), faults{outage: true}, smallSize()).outage
			assert.Assert(t, down.attempts < 12*down.firstTries/10, "%d attempts of %d requests", down.attempts, down.firstTries)
			bad := replayAll(d, chosen(), faults{badWorkers: badWorkers}, smallSize())
			assert.Equal(t, bad.innocent, 0)
			assert.Assert(t, bad.failed*100 < bad.done, "%d failed", bad.failed)
		})
	}
}

func TestRequestsAreConserved(t *testing.T) {
	everything := faults{badWorkers: badWorkers, outage: true, longFlood: true}
	scenarios := []struct {
		testName string
		policy   policy
	}{
		{"chosen", chosen()},
		{"per gate", chosen().with("", func(p *policy) { p.layout, p.choice = perGate, twoRandom })},
		{"per data centre", chosen().with("", func(p *policy) {
			p.layout, p.gossip, p.correct, p.level = perDataCentre, gossipPeriod, true, true
		})},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			w := newWorld(vlnka(), sc.policy, everything, 0, 0, smallSize())
			w.run()
			for _, r := range w.requests {
				checkRequest(t, r)
			}
			for _, k := range w.workers {
				assert.Assert(t, k.running >= 0 && k.running <= slotsPerWorker)
			}
		})
	}
}

// checkRequest finds two runs at a time, a repeat of what may run once, and a good run after the end.
func checkRequest(t *testing.T, r *request) {
	t.Helper()
	assert.Assert(t, r.stream.idempotent || len(r.attempts) <= 1, "request %s ran %d times", r.id, len(r.attempts))
	good := 0
	for i, a := range r.attempts {
		if i > 0 {
			assert.Assert(t, r.attempts[i-1].ended && r.attempts[i-1].till <= a.since, "request %s ran twice at a time", r.id)
		}
		if a.ended && !a.fails {
			good++
		}
	}
	assert.Assert(t, good <= 1)
	if r.ended && r.code == codes.OK {
		assert.Equal(t, good, 1)
	}
}

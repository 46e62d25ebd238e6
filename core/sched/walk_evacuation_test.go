package sched

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	simEvacuationBound = 5 * time.Second
	// A gate has read a request after at most this time. Together with the lease of a start that was sent before, it is below the bound.
	simMaxReadDelay = 400 * time.Millisecond
	// Requests older than this are on the journal, so that a new owner may read nothing for a while, or a state of long ago.
	simSettled = time.Second
)

// simRequests is the operators' topic, whose offsets are indexes of states. Owners read it late, and a new owner may have read less of it
// than the one before.
type simRequests struct {
	rng    *rand.Rand
	states []simRequestState
	owner  *Scheduler // the one that read last
	blind  time.Time  // the owner doesn't read until this time
	starts int        // tasks that were started in a data centre while it was evacuated
}

type simRequestState struct {
	at    time.Time
	names []string
}

func simDataCentre(workerID string) string {
	return map[string]string{"w0": "a", "w1": "a", "w2": "b", "w3": "b", "w4": "c"}[workerID]
}

// step requests or withdraws an evacuation at random and lets the owner read a state that is at most simMaxReadDelay old. In the steps without
// faults there are no requests.
func (q *simRequests) step(w *simulation) {
	if q == nil {
		return
	}
	if len(q.states) == 0 {
		q.states = []simRequestState{{at: w.now}}
	}
	last := q.states[len(q.states)-1]
	if name := []string{"a", "b", "c", "nowhere"}[q.rng.IntN(4)]; !w.faultsOn && len(last.names) > 0 {
		q.states = append(q.states, simRequestState{at: w.now})
	} else if w.faultsOn && q.rng.IntN(60) == 0 {
		names := slices.DeleteFunc(slices.Clone(last.names), func(n string) bool { return n == name })
		if len(names) == len(last.names) {
			names = append(names, name)
		}
		q.states = append(q.states, simRequestState{w.now, names})
	}
	read := func(offset int) { w.scheduler.SetEvacuations(w.now, q.states[offset].names, int64(offset)) }
	if isNew := q.owner != w.scheduler; isNew && w.now.Sub(q.states[len(q.states)-1].at) > simSettled {
		q.blind = w.now.Add(simMaxReadDelay)
		read(q.rng.IntN(len(q.states)))
	}
	q.owner = w.scheduler
	if w.now.Before(q.blind) {
		return
	}
	back := w.now.Add(-time.Duration(q.rng.Int64N(int64(simMaxReadDelay))))
	for offset := len(q.states) - 1; offset >= 0; offset-- {
		if !q.states[offset].at.After(back) {
			read(offset)
			return
		}
	}
}

// checkRecords checks that the owner decides no start in a data centre of whose evacuation it knows.
func (q *simRequests) checkRecords(w *simulation, records []Record) {
	for _, r := range records {
		if s, ok := r.(TaskStarted); ok && q != nil && w.scheduler.evacuations.Contains(simDataCentre(s.Worker)) {
			w.reportViolation("a start of task %s on %s is recorded", s.Task, s.Worker)
		}
	}
}

// checkStart checks that no task starts in a data centre that has been evacuated for longer than the bound.
func (q *simRequests) checkStart(w *simulation, s *simWorker, o StartTask) {
	if q == nil {
		return
	}
	since := w.now
	for n := len(q.states) - 1; n >= 0 && slices.Contains(q.states[n].names, simDataCentre(s.id)); n-- {
		since = q.states[n].at
	}
	if since.Before(w.now) {
		q.starts++
	}
	if w.now.Sub(since) > simEvacuationBound {
		w.reportViolation("task %s is started on %s %v after the request", o.Task, s.id, w.now.Sub(since))
	}
}

// Guards against starts in an evacuated data centre: orders that are stored, repeated or delayed when the request arrives, and owners
// that take over in the middle. Without requests, and with requests while the part is disabled, the decisions must be the same.
func TestWalkWithEvacuations(t *testing.T) {
	starts := 0
	first, end := walkSeeds()
	for seed := first; seed < end; seed++ {
		requests := &simRequests{rng: rand.New(rand.NewPCG(seed, 1))}
		w := runWalk(seed, Options{EvacuationBound: simEvacuationBound}, requests)
		assert.Equal(t, len(w.violations), 0, "seed %d, %d jobs: %v", seed, len(w.jobs), w.violations)
		starts += requests.starts
	}
	assert.Assert(t, starts > 0, "no start has met an evacuation")
	expected := runWalk(first, Options{}, nil).journal
	assert.DeepEqual(t, runWalk(first, Options{EvacuationBound: simEvacuationBound}, nil).journal, expected)
	assert.DeepEqual(t, runWalk(first, Options{}, &simRequests{rng: rand.New(rand.NewPCG(first, 1))}).journal, expected)
}

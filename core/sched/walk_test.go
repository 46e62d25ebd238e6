package sched

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// seedsVariable sets how many walks are made, and firstVariable the first seed; CI makes walkSeeds from 1 on.
const (
	seedsVariable = "SCHED_WALK_SEEDS"
	firstVariable = "SCHED_WALK_FIRST"
	walkSeeds     = 60
	walkSteps     = 1200
	walkQuiet     = 800 // steps without faults at the end, in which all work has to be done
)

// checkStart checks what must hold when a worker begins a task.
func (w *world) checkStart(s *simWorker, o StartTask, sent time.Time, spec JobSpec) {
	copies := spec.Steps[o.Task.Step].Speculative
	w.checkTwice(s, o, sent, copies)
	if w.told[o.Task.Job] == StateCompleted && !copies {
		w.fault("task %s of a completed job is started", o.Task)
	}
	for _, before := range spec.Steps[o.Task.Step].DependsOn {
		for i := range spec.Steps[before].Count {
			if !w.done(TaskID{Job: o.Task.Job, Round: o.Task.Round, Step: before, Index: i}) {
				w.fault("task %s is started before step %d is done", o.Task, before)
			}
		}
	}
	used := spec.Steps[o.Task.Step].QuotaUsage().CPU
	for _, other := range w.workers {
		for key := range other.runs {
			if w.specs[key.task.Job].Team == spec.Team {
				used += w.specs[key.task.Job].Steps[key.task.Step].QuotaUsage().CPU
			}
		}
	}
	if limit, _ := w.m.cfg.Team(spec.Team); limit.Limit.CPU > 0 && used > limit.Limit.CPU {
		w.fault("team %s has %d running, its limit is %d", spec.Team, used, limit.Limit.CPU)
	}
}

// copyGrace is how long after a good end was acknowledged a copy may still be ordered.
const copyGrace = time.Second

// checkTwice checks that a task neither runs twice nor again, but for copies where they are allowed.
func (w *world) checkTwice(s *simWorker, o StartTask, sent time.Time, copies bool) {
	for _, other := range w.workers {
		for key := range other.runs {
			if key.task == o.Task && !copies {
				w.fault("task %s runs on %s and is started on %s", o.Task, other.id, s.id)
			}
		}
	}
	if at, noted := w.noted[o.Task]; noted && (!copies || sent.Sub(at) > copyGrace) {
		w.fault("task %s is started on %s though its good end was acknowledged", o.Task, s.id)
	}
}

// done tells whether a good end of the task was listed by a worker.
func (w *world) done(id TaskID) bool {
	if _, noted := w.noted[id]; noted {
		return true
	}
	for _, s := range w.workers {
		for _, e := range s.ended {
			if e.Task == id && e.Outcome == AttemptDone {
				return true
			}
		}
	}
	j := w.m.jobs[id.Job]
	return j != nil && j.taskByID(id).done
}

// checkStates checks what callers are shown.
func (w *world) checkStates() {
	for _, id := range w.jobs {
		state, known := w.m.State(id)
		before, shown := w.told[id]
		switch {
		case !known:
			w.fault("accepted job %s is not known", id)
			continue
		case shown && before.IsFinal() && state != before:
			w.fault("job %s was %s and is %s", id, before, state)
		case state == StateCancelled && !w.cancels[id]:
			w.fault("job %s is cancelled without cause", id)
		}
		w.told[id] = state
	}
}

func (w *world) submitOne() {
	w.nextID++
	id := fmt.Sprintf("%016d", w.nextID)
	team := []string{"floor", "retail", ""}[w.rng.IntN(3)]
	spec := JobSpec{
		ID: id, Queue: "plans", Pool: "pots", Team: team, MaxAttempts: 20, Slack: 1.6, TargetMs: 600,
		AcceptedMs: w.now.UnixMilli(), FirstReceivedMs: w.now.UnixMilli(),
	}
	for n := range 1 + w.rng.IntN(3) {
		s := StepSpec{Count: 1 + w.rng.IntN(4), CPU: 500 * (1 + w.rng.IntN(4)), EstimateMs: 1000, Speculative: w.rng.IntN(4) == 0}
		if n > 0 {
			s.DependsOn = []int{n - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	w.specs[id] = spec
	if verdict, _ := w.m.Submit(w.now, spec); verdict != Accepted {
		return
	}
	before := len(w.journal)
	w.m.Decide(w.now)
	w.store()
	if len(w.journal) > before && w.accepted(id) {
		w.jobs = append(w.jobs, id)
	}
}

func (w *world) accepted(id string) bool {
	for _, r := range w.journal {
		if a, ok := r.(JobAccepted); ok && a.Job.ID == id {
			return true
		}
	}
	return false
}

// disturb lets one of the things happen that happen to workers, owners and callers.
func (w *world) disturb() {
	ids := w.ids()
	id := ids[w.rng.IntN(len(ids))]
	s := w.workers[id]
	switch w.rng.IntN(150) {
	case 0:
		s.away = w.now.Add(time.Duration(w.rng.IntN(9000)) * time.Millisecond)
	case 1:
		reborn := newSimWorker(id, s.born+1)
		reborn.away = w.now.Add(time.Duration(w.rng.IntN(2000)) * time.Millisecond)
		w.workers[id] = reborn
		w.list()
	case 2:
		w.takeOver()
	case 3:
		if len(w.jobs) > 0 {
			id := w.jobs[w.rng.IntN(len(w.jobs))]
			w.cancels[id] = true
			w.m.Cancel(w.now, id)
		}
	}
	if w.rng.IntN(12) == 0 {
		w.submitOne()
	}
}

func walk(seed uint64) *world {
	w := newWorld(seed)
	for range walkSteps {
		w.disturb()
		w.step()
	}
	w.unquiet = false
	for range walkQuiet {
		w.step()
	}
	for _, id := range w.jobs {
		if state := w.told[id]; !state.IsFinal() {
			w.fault("job %s is still %s at the end", id, state)
		}
	}
	return w
}

func TestWalkKeepsEveryPromise(t *testing.T) {
	seeds, first := walkSeeds, 1
	if n, err := strconv.Atoi(os.Getenv(seedsVariable)); err == nil {
		seeds = n
	}
	if n, err := strconv.Atoi(os.Getenv(firstVariable)); err == nil {
		first = n
	}
	for seed := first; seed < first+seeds; seed++ {
		w := walk(uint64(seed))
		assert.Equal(t, len(w.faults), 0, "seed %d, %d jobs: %v", seed, len(w.jobs), w.faults)
	}
}

package sched

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simRounds makes some of the jobs timed, with rounds that overlap or are overdue from the start.
type simRounds struct {
	rng   *rand.Rand
	jobs  int
	ended int // jobs that were completed with all their rounds
}

func (r *simRounds) addTo(now time.Time, spec *JobSpec) {
	const (
		timedShare  = 10 // one job in so many is timed
		maxRounds   = 5
		maxInterval = 1500
		maxAhead    = 2000
		maxOverdue  = 3000
	)
	if r == nil || r.rng.IntN(timedShare) != 0 {
		return
	}
	r.jobs++
	spec.Repetitions = 1 + r.rng.IntN(maxRounds)
	spec.IntervalMs = r.rng.Int64N(maxInterval)
	spec.StartMs = now.UnixMilli() - maxOverdue + r.rng.Int64N(maxOverdue+maxAhead)
}

// checkStart checks that no task starts before its round is due.
func (r *simRounds) checkStart(w *simulation, o StartTask) {
	spec := w.specs[o.Task.Job]
	if due := spec.RoundDue(o.Task.Round); w.now.Before(due) {
		w.reportViolation("task %s is started %v before its round is due", o.Task, due.Sub(w.now))
	}
}

// checkCompleted checks that each task of each round of a completed job has ended well.
func (r *simRounds) checkCompleted(w *simulation, id string) {
	spec := w.specs[id]
	if r == nil || !spec.IsTimed() {
		return
	}
	r.ended++
	for round := range spec.RoundCount() {
		for n := range spec.Steps {
			for i := range spec.Steps[n].Count {
				if task := (TaskID{Job: id, Round: round, Step: n, Index: i}); !w.isReportedDone(task) {
					w.reportViolation("job %s is completed and task %s has not ended", id, task)
				}
			}
		}
	}
}

// checkMemory checks that the estimated memory is that of what the scheduler holds.
func (r *simRounds) checkMemory(w *simulation) {
	if r == nil {
		return
	}
	total := 0
	for _, j := range w.scheduler.jobs {
		held := j.spec.memory() + len(j.rounds)*j.spec.roundMemory() + j.runCount*runBytes
		for range j.tasks() {
			held += taskBytes
		}
		if held != j.memory.bytes {
			w.reportViolation("job %s holds %d bytes and is counted with %d", j.spec.ID, held, j.memory.bytes)
		}
		total += held
	}
	if total != w.scheduler.JobMemory() {
		w.reportViolation("all jobs hold %d bytes and are counted with %d", total, w.scheduler.JobMemory())
	}
}

// Guards against rounds that are lost, run twice or begin too early while owners change, in the journal or over a snapshot: a scheduler keeps
// only the open rounds of a job.
func TestWalkWithTimedJobs(t *testing.T) {
	jobs, ended := 0, 0
	first, end := walkSeeds()
	for seed := first; seed < end; seed++ {
		w := newSimulation(seed, Options{}, nil)
		w.rounds = &simRounds{rng: rand.New(rand.NewPCG(seed, 1))}
		w.play()
		assert.Check(t, len(w.violations) == 0, "seed %d: %v", seed, w.violations)
		jobs, ended = jobs+w.rounds.jobs, ended+w.rounds.ended
	}
	assert.Assert(t, ended > jobs/4, "%d of %d timed jobs were completed", ended, jobs)
}

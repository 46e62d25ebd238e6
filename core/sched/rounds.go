package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A job with this many tasks that are ready to start begins no more rounds, unless it has few open rounds.
	maxReadyTasks = 512
	// A job with fewer open rounds begins its due ones however many tasks are ready, since those may need a worker that isn't there.
	minOpenRounds = 64
	// Bounds the steps of a job that nothing runs of, and the steps that wait in its pool, unless the job has no open round.
	maxIdleSteps    = 4096
	maxWaitingSteps = 4096
)

// round is one repetition of a job.
type round struct {
	job       *job
	number    int
	steps     []*step
	openSteps int
	runCount  int // attempts on workers
}

// isOver reports whether all tasks of the round are done and no attempt of them is left. Nothing changes it from then on.
func (r *round) isOver() bool { return r.openSteps == 0 && r.runCount == 0 }

// addRound appends the next round; its steps are not marked as ready yet.
func (j *job) addRound() *round {
	r := &round{job: j, number: j.begunRounds}
	for n := range j.spec.Steps {
		r.steps = append(r.steps, newStep(r, n))
	}
	r.openSteps = len(r.steps)
	j.begunRounds++
	j.rounds = append(j.rounds, r)
	j.memory.add(j.spec.roundMemory())
	return r
}

// findRound returns where the round of the number is among those that are open, and whether it is there.
func (j *job) findRound(number int) (index int, found bool) {
	return slices.BinarySearchFunc(j.rounds, number, func(r *round, number int) int { return cmp.Compare(r.number, number) })
}

// dropRoundIfOver drops a round that is over, so that a job takes memory for its open rounds only.
func (j *job) dropRoundIfOver(r *round) {
	if index, found := j.findRound(r.number); found && r.isOver() {
		j.rounds = slices.Delete(j.rounds, index, index+1)
		j.memory.add(-j.spec.roundMemory())
	}
}

// beginDueRounds begins the due rounds of timed jobs. A job whose rounds come due faster than they end begins them as its tasks are started:
// the due rounds that wait take no memory, nor time in any pass, however many they are.
func (sc *Scheduler) beginDueRounds(now time.Time) {
	for j := range sc.openJobs {
		delayed := j.delayedRounds(now)
		if delayed == 0 {
			continue
		}
		open := j.openWork()
		for ; delayed > 0 && sc.mayBeginRound(j, open); delayed-- {
			open.addRound(sc.beginRound(j))
		}
	}
}

// openWork counts what is open of a job's rounds.
type openWork struct {
	rounds     int
	readyTasks int // tasks that wait and depend on nothing
	idleSteps  int // steps that are not done and have no attempts
}

func (j *job) openWork() openWork {
	var w openWork
	for _, r := range j.rounds {
		w.addRound(r)
	}
	return w
}

func (w *openWork) addRound(r *round) {
	w.rounds++
	for _, s := range r.steps {
		if s.ready {
			w.readyTasks += s.waitingTasks
		}
		if s.runCount == 0 && !s.isDone() {
			w.idleSteps++
		}
	}
}

// mayBeginRound reports whether the job's next due round may begin, given what is open of the job.
func (sc *Scheduler) mayBeginRound(j *job, open openWork) bool {
	switch {
	case open.rounds == 0:
		return true
	case sc.lacksMemory():
		return false
	case open.idleSteps+len(j.spec.Steps) > maxIdleSteps, len(sc.ensurePool(sc.currentPool(j)).waitingSteps) >= maxWaitingSteps:
		return false
	default:
		return open.rounds < minOpenRounds || open.readyTasks < maxReadyTasks
	}
}

// overRounds returns the ranges of rounds that are over, in order.
func (j *job) overRounds() []indexRange {
	var ranges []indexRange
	next := 0
	for _, r := range j.rounds {
		if r.number > next {
			ranges = append(ranges, indexRange{First: next, Count: r.number - next})
		}
		next = r.number + 1
	}
	if j.begunRounds > next {
		ranges = append(ranges, indexRange{First: next, Count: j.begunRounds - next})
	}
	return ranges
}

// skipRounds restores that the rounds of the range are over. Those between begun rounds and the range begin.
func (j *job) skipRounds(over indexRange) {
	if over.First < j.begunRounds || over.Count < 0 || over.Count > j.spec.RoundCount()-over.First {
		return
	}
	for j.begunRounds < over.First {
		j.addRound()
	}
	j.begunRounds += over.Count
	j.openRounds -= over.Count
}

package sched

import "time"

// KeepEndedSince keeps jobs that ended after the given time, whatever the retention. A partition of the inbox that has not been read since may
// hold a second copy of such a job, which would run again if the job were forgotten.
func (sc *Scheduler) KeepEndedSince(t time.Time) { sc.keepEndedSince = t }

func (sc *Scheduler) markEnded(j *job, now time.Time) {
	j.endedAt = now
	sc.endedJobs = append(sc.endedJobs, j)
	sc.settlingJobs = append(sc.settlingJobs, j)
}

// releaseEndedJobs drops what only open jobs need. A job is released once its last attempt is over, and its steps are dropped when no late call
// can start its tasks any more: until then they tell how much room such a task takes.
func (sc *Scheduler) releaseEndedJobs(now time.Time) {
	var settling []*job
	for _, j := range sc.settlingJobs {
		if !j.isSettled() {
			settling = append(settling, j)
			continue
		}
		j.release(now)
		sc.settledJobs = append(sc.settledJobs, j)
	}
	sc.settlingJobs = settling
	for len(sc.settledJobs) > 0 && now.Sub(sc.settledJobs[0].settledAt) >= maxCallDelay {
		sc.settledJobs[0].dropSteps()
		sc.settledJobs = sc.settledJobs[1:]
	}
}

// release drops the payload and the tasks of a job that has ended and has no attempt left.
func (j *job) release(now time.Time) {
	j.settledAt = now
	j.rounds = nil
	spec := *j.spec
	spec.Payload = ""
	j.spec = &spec
	j.memory.add(spec.memory() - j.memory.bytes)
}

func (j *job) dropSteps() {
	j.spec.Steps = nil
	j.memory.add(j.spec.memory() - j.memory.bytes)
}

// isForgotten reports whether what ended at the given time may be forgotten.
func (sc *Scheduler) isForgotten(now, endedAt time.Time) bool {
	return now.Sub(endedAt) >= sc.options.Retention && (sc.keepEndedSince.IsZero() || !endedAt.After(sc.keepEndedSince))
}

// forgetEndedJobs removes ended jobs after the retention time.
func (sc *Scheduler) forgetEndedJobs(now time.Time) {
	for len(sc.endedJobs) > 0 {
		j := sc.endedJobs[0]
		if j.runCount > 0 || !sc.isForgotten(now, j.endedAt) {
			return
		}
		sc.endedJobs = sc.endedJobs[1:]
		if sc.jobs[j.spec.ID] == j {
			delete(sc.jobs, j.spec.ID)
			j.memory.add(-j.memory.bytes)
		}
	}
}

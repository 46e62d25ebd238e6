package sched

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// Tasks of a step that are over, and those of rounds that are over, are saved one by one up to this number, so that gates of earlier
	// versions read them, and as ranges beyond it.
	maxListedDone = 256
	// Ranges in a record; each takes two numbers.
	maxRangesPerRecord = 1000
)

// indexRange is Count tasks of a step, or rounds of a job, from the index First on.
type indexRange struct {
	_     struct{} `cbor:",toarray"`
	First int
	Count int
}

func sumCounts(ranges []indexRange) int {
	n := 0
	for _, r := range ranges {
		n += r.Count
	}
	return n
}

// snapshotRecords returns the records of a job with its rounds and tasks, of which those with tasks take at most maxBytes.
func snapshotRecords(j *job, maxBytes int) []Record {
	saved := snapshotJob(j)
	if j.isSettled() {
		return []Record{saved}
	}
	over, tasksPerRound := j.overRounds(), j.spec.taskCount()
	if sumCounts(over)*tasksPerRound <= maxListedDone {
		saved.Tasks = append(j.doneTasks(over), saved.Tasks...)
		return append(saved.split(maxBytes), snapshotDone(j)...)
	}
	tasks := saved.Tasks
	saved.Tasks = nil
	records := []Record{saved}
	for part := range slices.Chunk(over, maxRangesPerRecord) {
		// They precede the tasks, so that a new owner doesn't create the rounds.
		records = append(records, RoundsDone{Job: j.spec.ID, Ranges: part})
	}
	records = append(records, splitTasks(j.spec.ID, tasks, maxBytes)...)
	return append(records, snapshotDone(j)...)
}

// doneTasks returns all tasks of the rounds as done.
func (j *job) doneTasks(rounds []indexRange) []taskSnapshot {
	var tasks []taskSnapshot
	for _, r := range rounds {
		for number := r.First; number < r.First+r.Count; number++ {
			for n := range j.spec.Steps {
				all := indexRange{Count: j.spec.Steps[n].Count}
				tasks = append(tasks, doneSnapshots(TaskID{Job: j.spec.ID, Round: number, Step: n}, all)...)
			}
		}
	}
	return tasks
}

// doneSnapshots returns the tasks of the step from the range as done.
func doneSnapshots(step TaskID, tasks indexRange) []taskSnapshot {
	saved := make([]taskSnapshot, tasks.Count)
	for i := range saved {
		step.Index = tasks.First + i
		saved[i] = taskSnapshot{Task: step, Done: true}
	}
	return saved
}

// snapshotTasks returns the step's tasks that were attempted or are done, but for those that a TasksDone record holds.
func (s *step) snapshotTasks() []taskSnapshot {
	var saved []taskSnapshot
	if done := s.window.doneRanges(); sumCounts(done) <= maxListedDone {
		for _, tasks := range done {
			saved = append(saved, doneSnapshots(s.id(), tasks)...)
		}
	}
	for t := range s.tasks() {
		if t.done || t.attempts > 0 {
			saved = append(saved, snapshotTask(t))
		}
	}
	return saved
}

// snapshotDone returns records of the job's tasks that are over, for the steps that have many.
func snapshotDone(j *job) []Record {
	var records []Record
	for _, r := range j.rounds {
		for _, s := range r.steps {
			done := s.window.doneRanges()
			if sumCounts(done) <= maxListedDone {
				continue
			}
			for part := range slices.Chunk(done, maxRangesPerRecord) {
				records = append(records, TasksDone{Job: j.spec.ID, Round: r.number, Step: s.number, Ranges: part})
			}
		}
	}
	return records
}

// restoreDone fails if the job of the tasks is unknown.
func (sc *Scheduler) restoreDone(r TasksDone) error {
	j, known := sc.jobs[r.Job]
	if !known {
		return eris.Errorf("tasks of the unknown job %s are done", r.Job)
	}
	s := j.ensureStep(TaskID{Job: r.Job, Round: r.Round, Step: r.Step})
	if s == nil || s.isDone() {
		return nil
	}
	for _, tasks := range r.Ranges {
		s.markAllDone(tasks)
	}
	sc.updateAfterDone(s, time.Time{})
	j.dropRoundIfOver(s.round)
	sc.updateJobReadiness(j, time.Time{})
	return nil
}

// restoreRounds fails if the job of the rounds is unknown.
func (sc *Scheduler) restoreRounds(r RoundsDone) error {
	j, known := sc.jobs[r.Job]
	if !known {
		return eris.Errorf("rounds of the unknown job %s are done", r.Job)
	}
	for _, rounds := range r.Ranges {
		j.skipRounds(rounds)
	}
	return nil
}

package sched

import (
	"maps"
	"slices"
	"time"
)

// Snapshot returns records that replay to the present state of the jobs.
func (m *Machine) Snapshot() []Record {
	records := make([]Record, 0, len(m.jobs)+2)
	records = append(records, SnapshotBegun{Offset: m.inbox})
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		records = append(records, saveJob(m.jobs[id]))
	}
	for id := range m.early {
		records = append(records, JobCancelled{ID: id})
	}
	for number, at := range m.waveSeen {
		records = append(records, WaveSeen{Wave: number, AtMs: at})
	}
	for key := range m.served {
		records = append(records, MachineServed{Wave: key.wave, Machine: key.machine})
	}
	for id, number := range m.inService {
		records = append(records, ServiceOrdered{Wave: number, Machine: id})
	}
	for name, t := range m.turns.pools {
		records = append(records, m.turns.saved(name, t))
	}
	return append(records, SnapshotEnded{Jobs: len(m.jobs)})
}

func saveJob(j *job) JobSaved {
	saved := JobSaved{Job: *j.spec, Cancelled: j.cancelled, Outcome: j.outcome, Begun: j.begun}
	if !j.ended.IsZero() {
		saved.EndedMs = j.ended.UnixMilli()
	}
	if !j.live() && j.running == 0 {
		// Callers still ask how it ended, and nothing else of it is needed.
		saved.Job.Payload, saved.Job.Steps = "", nil
		return saved
	}
	for _, r := range j.rounds {
		for _, s := range r.steps {
			for _, t := range s.tasks {
				if t.done || t.attempts > 0 {
					saved.Tasks = append(saved.Tasks, saveTask(t))
				}
			}
		}
	}
	return saved
}

func saveTask(t *task) taskSaved {
	saved := taskSaved{Task: t.id(), Done: t.done, Attempts: t.attempts, Failures: t.failures, Checkpoint: t.checkpoint}
	for _, r := range t.runs {
		saved.Runs = append(saved.Runs, runSaved{Attempt: r.attempt, Worker: r.worker.id, Born: r.worker.born})
	}
	return saved
}

func (m *Machine) foldSaved(r JobSaved) {
	j := m.foldAccepted(JobAccepted{Job: r.Job})
	j.begun = r.Begun
	for _, saved := range r.Tasks {
		t := j.task(saved.Task)
		if t == nil {
			continue
		}
		t.attempts, t.failures, t.checkpoint = saved.Attempts, saved.Failures, saved.Checkpoint
		for _, run := range saved.Runs {
			w := m.workerOf(run.Worker)
			w.born = run.Born
			m.start(t, w, run.Attempt).phase = runInherited
		}
		if saved.Done && !t.done {
			m.finish(t, time.Time{})
		}
	}
	j.cancelled, j.outcome = r.Cancelled, r.Outcome
	if !j.live() {
		delete(m.open, j)
	}
	if r.EndedMs > 0 {
		j.ended = time.UnixMilli(r.EndedMs)
	}
	for _, round := range j.rounds {
		for _, s := range round.steps {
			m.prepare(s, time.Time{})
		}
	}
}

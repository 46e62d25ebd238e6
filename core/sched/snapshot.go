package sched

import (
	"maps"
	"slices"
	"time"
)

// Snapshot returns the records that restore the current state when they are replayed: jobs, early cancellations, waves and
// surges.
func (sc *Scheduler) Snapshot() []Record {
	records := make([]Record, 0, len(sc.jobs)+2)
	records = append(records, SnapshotStarted{Offset: sc.inboxOffset})
	for _, id := range slices.Sorted(maps.Keys(sc.jobs)) {
		records = append(records, snapshotJob(sc.jobs[id]))
	}
	for id := range sc.earlyCancels {
		records = append(records, JobCancelled{ID: id})
	}
	for number, at := range sc.waveFirstSeen {
		records = append(records, WaveSeen{Wave: number, AtMs: at})
	}
	for key := range sc.maintained {
		records = append(records, MaintenanceDone{Wave: key.wave, Machine: key.machine})
	}
	for id, number := range sc.maintenanceOrders {
		records = append(records, MaintenanceOrdered{Wave: number, Machine: id})
	}
	for name, t := range sc.surges.pools {
		records = append(records, sc.surges.toRecord(name, t))
	}
	return append(records, SnapshotEnded{Jobs: len(sc.jobs)})
}

func snapshotJob(j *job) JobSnapshot {
	saved := JobSnapshot{Job: *j.spec, Cancelled: j.cancelled, FinalState: j.finalState, Started: j.started}
	if !j.endedAt.IsZero() {
		saved.EndedMs = j.endedAt.UnixMilli()
	}
	if !j.isOpen() && j.runCount == 0 {
		// Only the state of an ended job can still be queried; payload and steps would bloat the snapshot.
		saved.Job.Payload, saved.Job.Steps = "", nil
		return saved
	}
	for _, r := range j.rounds {
		for _, s := range r.steps {
			for _, t := range s.tasks {
				if t.done || t.attempts > 0 {
					saved.Tasks = append(saved.Tasks, snapshotTask(t))
				}
			}
		}
	}
	return saved
}

func snapshotTask(t *task) taskSnapshot {
	saved := taskSnapshot{Task: t.id(), Done: t.done, Attempts: t.attempts, Failures: t.failures, Checkpoint: t.checkpoint}
	for _, r := range t.runs {
		saved.Runs = append(saved.Runs, runSnapshot{Attempt: r.number, Worker: r.worker.id, Incarnation: r.worker.incarnation})
	}
	return saved
}

func (sc *Scheduler) restoreJob(r JobSnapshot) {
	j := sc.addJob(JobAccepted{Job: r.Job})
	j.started = r.Started
	for _, saved := range r.Tasks {
		t := j.taskByID(saved.Task)
		if t == nil {
			continue
		}
		t.attempts, t.failures, t.checkpoint = saved.Attempts, saved.Failures, saved.Checkpoint
		for _, run := range saved.Runs {
			w := sc.ensureWorker(run.Worker)
			w.incarnation = run.Incarnation
			sc.addRun(t, w, run.Attempt).phase = runInherited
		}
		if saved.Done && !t.done {
			sc.completeTask(t, time.Time{})
		}
	}
	j.cancelled, j.finalState = r.Cancelled, r.FinalState
	if !j.isOpen() {
		delete(sc.openJobs, j)
	}
	if r.EndedMs > 0 {
		j.endedAt = time.UnixMilli(r.EndedMs)
	}
	for _, round := range j.rounds {
		for _, s := range round.steps {
			sc.updateReadiness(s, time.Time{})
		}
	}
}

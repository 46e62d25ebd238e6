package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// Upper bounds for the encoded size of a step, a task and a run, in bytes, leaving aside their strings.
	maxStepBytes = 180
	maxTaskBytes = 90
	maxRunBytes  = 30
	// The same for one number.
	maxNumberBytes = 9
)

// Snapshot returns the records that restore the current state when they are replayed: jobs, early cancellations, waves, evacuations
// and surges.
func (sc *Scheduler) Snapshot() []Record {
	records := make([]Record, 0, len(sc.jobs)+2)
	records = append(records, SnapshotStarted{Offset: sc.inboxOffset})
	for partition, offset := range sc.inboxOffsets {
		records = append(records, InboxPartitionAdvanced{Partition: partition, Offset: offset})
	}
	for _, id := range slices.Sorted(maps.Keys(sc.jobs)) {
		records = append(records, snapshotRecords(sc.jobs[id], sc.options.maxTasksBytes())...)
		records = append(records, snapshotCrashes(sc.jobs[id])...)
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
	records = append(records, sc.snapshotEvacuations()...)
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
	if j.isSettled() {
		// Only the state of an ended job can still be queried; payload and steps would bloat the snapshot.
		saved.Job.Payload, saved.Job.Steps = "", nil
		return saved
	}
	for _, r := range j.rounds {
		for _, s := range r.steps {
			saved.Tasks = append(saved.Tasks, s.snapshotTasks()...)
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

// snapshotCrashes returns a record for each task of an open job under which workers have crashed.
func snapshotCrashes(j *job) []Record {
	if !j.isOpen() {
		return nil
	}
	var records []Record
	for t := range j.tasks() {
		if c := t.crashes; c != (crashHistory{}) {
			records = append(records, TaskCrashes{Task: t.id(), Proven: c.proven, Suspected: c.suspected, Orphaned: c.orphaned, Doubtful: c.doubtful})
		}
	}
	return records
}

// split returns the snapshot as it is if the job with its tasks takes at most maxBytes, else the job alone and its tasks in records of
// at most that size.
func (r JobSnapshot) split(maxBytes int) []Record {
	size := r.Job.maxEncodedBytes()
	for i := range r.Tasks {
		size += r.Tasks[i].maxEncodedBytes()
	}
	if size <= maxBytes {
		return []Record{r}
	}
	tasks := r.Tasks
	r.Tasks = nil
	return append([]Record{r}, splitTasks(r.Job.ID, tasks, maxBytes)...)
}

// splitTasks returns records of at most maxBytes with the tasks.
func splitTasks(job string, tasks []taskSnapshot, maxBytes int) []Record {
	var records []Record
	for len(tasks) > 0 {
		n, size := 1, tasks[0].maxEncodedBytes()
		for n < len(tasks) && size+tasks[n].maxEncodedBytes() <= maxBytes {
			size += tasks[n].maxEncodedBytes()
			n++
		}
		records = append(records, TasksSnapshot{Job: job, Tasks: tasks[:n]})
		tasks = tasks[n:]
	}
	return records
}

func (s *JobSpec) maxEncodedBytes() int {
	size := maxStepBytes + len(s.ID) + len(s.Queue) + len(s.Pool) + len(s.Team) + len(s.Payload)
	for i := range s.Steps {
		step := &s.Steps[i]
		size += maxStepBytes + maxNumberBytes*len(step.DependsOn) + len(step.Label) + len(step.DataRack) + len(step.Image)
	}
	return size
}

func (t *taskSnapshot) maxEncodedBytes() int {
	size := maxTaskBytes + len(t.Task.Job) + len(t.Checkpoint)
	for i := range t.Runs {
		size += maxRunBytes + len(t.Runs[i].Worker)
	}
	return size
}

func (sc *Scheduler) restoreJob(r JobSnapshot) {
	j := sc.addJob(JobAccepted{Job: r.Job})
	j.started = r.Started
	j.cancelled, j.finalState = r.Cancelled, r.FinalState
	if !j.isOpen() {
		sc.closeJob(j)
	}
	if r.EndedMs > 0 {
		j.endedAt = time.UnixMilli(r.EndedMs)
	}
	for i := range r.Tasks {
		sc.restoreTask(j, &r.Tasks[i])
	}
	sc.updateJobReadiness(j, time.Time{})
}

// restoreTasks fails if the job of the tasks is unknown.
func (sc *Scheduler) restoreTasks(r TasksSnapshot) error {
	j, known := sc.jobs[r.Job]
	if !known {
		return eris.Errorf("tasks of the unknown job %s", r.Job)
	}
	for i := range r.Tasks {
		sc.restoreTask(j, &r.Tasks[i])
	}
	sc.updateJobReadiness(j, time.Time{})
	return nil
}

func (sc *Scheduler) restoreCrashes(r TaskCrashes) {
	j, known := sc.jobs[r.Task.Job]
	if !known {
		return
	}
	if t := j.knownTask(r.Task); t != nil {
		t.setCrashes(crashHistory{proven: r.Proven, suspected: r.Suspected, orphaned: r.Orphaned, doubtful: r.Doubtful})
	}
}

func (sc *Scheduler) restoreTask(j *job, saved *taskSnapshot) {
	t := j.taskByID(saved.Task)
	if t == nil {
		return
	}
	t.attempts, t.failures, t.checkpoint = saved.Attempts, saved.Failures, saved.Checkpoint
	for _, run := range saved.Runs {
		w := sc.ensureWorker(run.Worker)
		w.incarnation = run.Incarnation
		sc.addRun(t, w, run.Attempt).phase = runInherited
	}
	if saved.Done && !t.done {
		t.step.markDone(t)
		sc.updateAfterDone(t.step, time.Time{})
		j.dropRoundIfOver(t.step.round)
	}
}

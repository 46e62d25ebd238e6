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
	// A step with more tasks that are over saves them as ranges, one with fewer one by one, so that gates of earlier versions read them.
	maxListedDone = 256
	// Ranges in a record; each takes two numbers.
	maxRangesPerRecord = 1000
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
		records = append(records, snapshotJob(sc.jobs[id]).split(sc.options.maxTasksBytes())...)
		records = append(records, snapshotDone(sc.jobs[id])...)
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
	if !j.isOpen() && j.runCount == 0 {
		// Only the state of an ended job can still be queried; payload and steps would bloat the snapshot.
		saved.Job.Payload, saved.Job.Steps = "", nil
		return saved
	}
	for _, r := range j.rounds {
		for _, s := range r.steps {
			saved.Tasks = s.appendSnapshots(saved.Tasks)
		}
	}
	return saved
}

// appendSnapshots appends the step's tasks that were attempted or are done, but for those that a TasksDone record holds.
func (s *step) appendSnapshots(saved []taskSnapshot) []taskSnapshot {
	for _, tasks := range s.listedDone() {
		for i := range tasks.Count {
			id := s.id()
			id.Index = tasks.First + i
			saved = append(saved, taskSnapshot{Task: id, Done: true})
		}
	}
	for t := range s.tasks() {
		if t.done || t.attempts > 0 {
			saved = append(saved, snapshotTask(t))
		}
	}
	return saved
}

// listedDone returns the tasks that are over, nothing if there are so many that they are saved as ranges.
func (s *step) listedDone() []taskRange {
	ranges := s.window.doneRanges()
	if countTasks(ranges) > maxListedDone {
		return nil
	}
	return ranges
}

// snapshotDone returns records of the job's tasks that are over, for the steps that have many.
func snapshotDone(j *job) []Record {
	if !j.isOpen() && j.runCount == 0 {
		return nil
	}
	var records []Record
	for _, r := range j.rounds {
		for _, s := range r.steps {
			ranges := s.window.doneRanges()
			if countTasks(ranges) <= maxListedDone {
				continue
			}
			for part := range slices.Chunk(ranges, maxRangesPerRecord) {
				records = append(records, TasksDone{Job: j.spec.ID, Round: r.number, Step: s.number, Ranges: part})
			}
		}
	}
	return records
}

func countTasks(ranges []taskRange) int {
	n := 0
	for _, r := range ranges {
		n += r.Count
	}
	return n
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
	records := []Record{r}
	for len(tasks) > 0 {
		n, size := 1, tasks[0].maxEncodedBytes()
		for n < len(tasks) && size+tasks[n].maxEncodedBytes() <= maxBytes {
			size += tasks[n].maxEncodedBytes()
			n++
		}
		records = append(records, TasksSnapshot{Job: r.Job.ID, Tasks: tasks[:n]})
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
		delete(sc.openJobs, j)
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
	}
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
	sc.updateJobReadiness(j, time.Time{})
	return nil
}

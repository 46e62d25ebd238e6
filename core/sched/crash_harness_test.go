package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crashFleet simulates a pool with workers that crash as soon as they start certain tasks. The machine of a worker that has
// crashed is back after crashRecovery with a worker of another id. All other tasks take a second.
type crashFleet struct {
	*testBench
	isDeadly func(TaskID) bool
	runs     map[string]map[runKey]time.Time // when they end, by worker
	backAt   map[string]time.Time            // machine -> when it is back
	starts   map[TaskID]int
	crashes  map[TaskID]int // of workers that were up and ran the task, whether or not it was the cause
	down     int            // workers that are down
	mostDown int
	lives    int

	noMachines   bool // the machines can't be listed
	takesOver    bool // the owner fails after it has counted a crash, before it orders the task's next start
	snapshots    bool // owners take over with a snapshot
	takeOvers    int
	mustTakeOver bool
}

const crashRecovery = 3 * time.Second

func newCrashFleet(t *testing.T, workers int, isDeadly func(TaskID) bool) *crashFleet {
	f := &crashFleet{
		testBench: newTestBench(t, workers), isDeadly: isDeadly, runs: map[string]map[runKey]time.Time{}, backAt: map[string]time.Time{},
		starts: map[TaskID]int{}, crashes: map[TaskID]int{},
	}
	f.runFor(3 * time.Second)
	return f
}

// step advances the clock by 50 milliseconds and carries out the orders.
func (f *crashFleet) step() {
	f.advance(50 * time.Millisecond)
	f.listFleet()
	for _, o := range takeOrders[StartTask](f.testBench) {
		f.start(o)
	}
	for _, o := range takeOrders[StopTask](f.testBench) {
		answer := AnswerUnknown
		if f.isUp(o.Worker) {
			delete(f.runs[o.Worker], runKey{o.Task, o.Attempt})
			answer = AnswerOK
		}
		f.sc.ApplyResult(f.now, StopResult{Order: o, Answer: answer})
	}
	for _, o := range takeOrders[PollWorker](f.testBench) {
		f.poll(o)
	}
	f.decideAndStore()
	if f.mustTakeOver {
		f.mustTakeOver = false
		f.takeOver()
	}
}

func (f *crashFleet) runUntil(d time.Duration, done func() bool) {
	for end := f.now.Add(d); f.now.Before(end) && !done(); {
		f.step()
	}
}

func (f *crashFleet) isUp(worker string) bool {
	e, found := f.entries[worker]
	return found && f.backAt[e.Machine].IsZero()
}

func (f *crashFleet) start(o StartTask) {
	if f.takesOver && f.sc.jobs[o.Task.Job].taskByID(o.Task).crashes != (crashHistory{}) && f.takeOvers < f.crashes[o.Task] {
		f.takeOvers++
		f.mustTakeOver = true
		return
	}
	if !f.isUp(o.Worker) {
		f.sc.ApplyResult(f.now, StartResult{Order: o, Answer: AnswerUnknown, GrantedAt: f.now})
		return
	}
	f.starts[o.Task]++
	if f.runs[o.Worker] == nil {
		f.runs[o.Worker] = map[runKey]time.Time{}
	}
	f.runs[o.Worker][runKey{o.Task, o.Attempt}] = f.now.Add(time.Second)
	f.sc.ApplyResult(f.now, StartResult{Order: o, Answer: AnswerOK, GrantedAt: f.now})
	if f.isDeadly(o.Task) {
		f.crash(o.Worker)
	}
}

// crash takes a worker down. It stays in the list of workers until its machine is back.
func (f *crashFleet) crash(worker string) {
	for key := range f.runs[worker] {
		f.crashes[key.task]++
	}
	delete(f.runs, worker)
	f.backAt[f.entries[worker].Machine] = f.now.Add(crashRecovery)
	f.down++
	f.mostDown = max(f.mostDown, f.down)
}

func (f *crashFleet) poll(o PollWorker) {
	if !f.isUp(o.Worker) {
		f.sc.ApplyResult(f.now, PollResult{Order: o, Answer: AnswerUnknown, SentAt: f.now, GrantedAt: f.now})
		return
	}
	res := PollResult{Order: o, SentAt: f.now, GrantedAt: f.now, Incarnation: f.entries[o.Worker].Incarnation}
	for key, end := range f.runs[o.Worker] {
		if f.now.Before(end) {
			res.Active = append(res.Active, ActiveRun{Task: key.task, Attempt: key.attempt, SpeedPercent: fullSpeed, Load: -1})
			continue
		}
		f.lastEnd[o.Worker]++
		res.Ended = append(res.Ended, EndedRun{Number: f.lastEnd[o.Worker], Task: key.task, Attempt: key.attempt, Outcome: AttemptDone})
		delete(f.runs[o.Worker], key)
	}
	slices.SortFunc(res.Ended, func(a, b EndedRun) int { return int(a.Number - b.Number) })
	f.sc.ApplyResult(f.now, res)
}

// listFleet brings machines back, and lists the workers and machines.
func (f *crashFleet) listFleet() {
	for id, e := range f.entries {
		if back := f.backAt[e.Machine]; back.IsZero() || f.now.Before(back) {
			continue
		}
		f.lives++
		f.down--
		delete(f.backAt, e.Machine)
		delete(f.entries, id)
		e.ID, e.Incarnation = fmt.Sprintf("%s-%d", e.Machine, f.lives), e.Incarnation+1
		f.entries[e.ID] = e
	}
	var machines []MachineEntry
	for id, e := range f.entries {
		m := MachineEntry{ID: e.Machine, Pool: e.Pool, Worker: id, Capacity: e.Capacity}
		if !f.isUp(id) {
			m.State, m.Worker = MachineDown, ""
		}
		machines = append(machines, m)
	}
	f.listWorkers()
	if !f.noMachines {
		f.sc.UpdateMachines(f.now, f.now, machines)
	}
	f.decideAndStore()
}

// takeOver replaces the owner by one that replays the journal.
func (f *crashFleet) takeOver() {
	journal := f.records
	if f.snapshots {
		journal = f.sc.Snapshot()
		f.records = journal
	}
	f.sc = New(Options{})
	for _, r := range journal {
		raw, err := Encode(r)
		assert.NilError(f.t, err)
		decoded, err := Decode(raw)
		assert.NilError(f.t, err)
		assert.NilError(f.t, f.sc.Replay(decoded))
	}
	f.orders = nil
	f.sc.TakeOwnership(f.now, 0)
	f.sc.Configure(f.now, testConfig())
	f.listFleet()
}

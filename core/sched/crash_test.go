package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxStartsOfADeadlyTask is the bound of the users: a task is not started three times more after three workers have crashed under it.
const maxStartsOfADeadlyTask = 5

func isTaskOf(job string) func(TaskID) bool {
	return func(id TaskID) bool { return id.Job == job }
}

// Guards against a task that crashes worker after worker (BUDGET, the day deadly, seed 1: one task was started 54 times).
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	scenarios := []struct {
		testName  string
		step      StepSpec
		takeOvers bool
		snapshots bool
		noList    bool // machines can't be listed
	}{
		{"runs once", oneCoreStep(1), false, false, false},
		{"while no machines are listed", oneCoreStep(1), false, false, true},
		{"may be copied", speculativeStep(1), false, false, false},
		{"with others of its job", oneCoreStep(6), false, false, false},
		{"lasting", longRunningStep(1, 0), false, false, false},
		{"under changing owners", oneCoreStep(1), true, false, false},
		{"under changing owners with snapshots", oneCoreStep(1), true, true, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := newCrashFleet(t, 8, func(id TaskID) bool { return id.Job == "deadly" && id.Index == 0 })
			f.takesOver, f.snapshots, f.noMachines = s.takeOvers, s.snapshots, s.noList
			f.submit("deadly", s.step)
			f.runUntil(60*time.Second, func() bool { return len(f.sc.openJobs) == 0 })
			assert.Equal(t, f.takeOvers > 0, s.takeOvers)
			assert.Equal(t, f.state("deadly"), "failed")
			n := f.starts[TaskID{Job: "deadly"}]
			assert.Assert(t, n >= 2 && n <= maxStartsOfADeadlyTask, "%d starts", n)
		})
	}
}

// Tasks share a worker with one that crashes it. Guards against giving up those that are no cause of the crashes.
func TestTasksBesideOneThatCrashesItsWorkersAreDone(t *testing.T) {
	f := newCrashFleet(t, 4, isTaskOf("deadly"))
	f.submit("deadly", oneCoreStep(1))
	for i := range 3 {
		f.submit(fmt.Sprintf("beside%d", i), oneCoreStep(1))
	}
	f.runUntil(20*time.Second, func() bool { return f.state("deadly") == "failed" && len(f.sc.openJobs) == 0 })
	assert.Equal(t, f.state("deadly"), "failed")
	for i := range 3 {
		assert.Equal(t, f.state(fmt.Sprintf("beside%d", i)), "completed")
	}
}

// Two tasks that crash their workers are started together. Guards against restarting all suspects of a crash on one worker, where
// they take others along again.
func TestSuspectsOfACrashRunAlone(t *testing.T) {
	f := newCrashFleet(t, 6, func(id TaskID) bool { return id.Job == "deadly" })
	f.submit("deadly", oneCoreStep(2))
	f.submit("beside", oneCoreStep(2))
	f.runUntil(20*time.Second, func() bool { return len(f.sc.openJobs) == 0 })
	assert.Equal(t, f.state("deadly"), "failed")
	assert.Equal(t, f.state("beside"), "completed")
	for i := range 2 {
		n := f.crashes[TaskID{Job: "beside", Index: i}]
		assert.Assert(t, n <= 1, "%d workers crashed under a task that is no cause", n)
	}
}

// Workers go for causes of their own. Guards against blaming the tasks that they ran.
func TestWorkersThatGoForOtherCausesBlameNoTask(t *testing.T) {
	scenarios := []struct {
		testName string
		lose     func(f *crashFleet, worker string)
	}{
		{"killed long after the start", func(f *crashFleet, worker string) { f.crash(worker) }},
		{"taken down by an order", func(f *crashFleet, worker string) {
			f.sc.workers[worker].markMachineLeaving()
			f.crash(worker)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := newCrashFleet(t, 6, func(TaskID) bool { return false })
			f.submit("a", oneCoreStep(2))
			id := TaskID{Job: "a"}
			for round := range 4 {
				f.runUntil(20*time.Second, func() bool { return f.starts[id] > round })
				f.runUntil(600*time.Millisecond, func() bool { return false })
				for worker, runs := range f.runs {
					if runs[runKey{id, f.sc.jobs["a"].taskByID(id).attempts}] != (time.Time{}) {
						s.lose(f, worker)
					}
				}
			}
			f.runUntil(20*time.Second, func() bool { return len(f.sc.openJobs) == 0 })
			assert.Equal(t, f.state("a"), "completed")
		})
	}
}

// Many tasks of a queue crash their workers while others of it run. Guards against a pool that they hold down (RECOVER, the day
// deadly-then-kill, seed 1096).
func TestBurstOfDeadlyTasksDoesNotHoldAPoolDown(t *testing.T) {
	const workers = 20
	f := newCrashFleet(t, workers, func(id TaskID) bool { return id.Job[0] == 'x' && id.Index == 0 })
	for i := range 40 {
		name := fmt.Sprintf("a%d", i)
		if i%4 == 0 {
			name = fmt.Sprintf("x%d", i)
		}
		_, _ = f.sc.Submit(f.now, JobSpec{
			ID: name, Queue: "plans", Pool: "pots", Team: "floor", Steps: []StepSpec{oneCoreStep(3)}, MaxAttempts: 2, Slack: 1.6, TargetMs: 600,
			FirstReceivedMs: f.now.UnixMilli(),
		})
		f.runUntil(200*time.Millisecond, func() bool { return false })
	}
	f.runUntil(20*time.Second, func() bool { return len(f.sc.openJobs) == 0 })
	assert.Equal(t, len(f.sc.openJobs), 0)
	for id, j := range f.sc.jobs {
		expected := StateCompleted
		if id[0] == 'x' {
			expected = StateFailed
		}
		assert.Equal(t, j.finalState, expected, "job %s", id)
	}
	assert.Assert(t, f.mostDown <= workers/2, "%d of %d workers are down at a time", f.mostDown, workers)
}

// A worker crashes while starts to it are under way, and its port is closed when they arrive. Guards against suspecting tasks that it
// never started, and against waiting for proof of that.
func TestTasksWhoseStartWasNotSentAreStartedElsewhereAtOnce(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", oneCoreStep(2))
	first := b.answerStarts(AnswerNotSent)
	assert.Equal(t, len(first), 2)
	again := b.answerStarts(AnswerOK)
	assert.Equal(t, len(again), 2)
	for _, o := range again {
		assert.Assert(t, o.Worker != first[0].Worker)
		assert.Equal(t, b.sc.jobs["a"].taskByID(o.Task).crashes, crashHistory{})
	}
}

// Suspects wait that can't start for other reasons. Guards against keeping workers idle for them.
func TestSuspectsThatCannotStartReserveNoWorkers(t *testing.T) {
	scenarios := []struct {
		testName string
		step     StepSpec
		reserved int
	}{
		{"it fits", oneCoreStep(1), 1},
		{"no worker has the label", StepSpec{Count: 1, CPU: 1000, EstimateMs: 1000, Label: "gpu"}, 0},
		{"larger than every worker", StepSpec{Count: 1, CPU: 5000, EstimateMs: 1000}, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, 4)
			b.sc.startWindow.limit = 1
			b.sc.startWindow.inFlight = 1
			b.submit("a", s.step)
			b.sc.jobs["a"].taskByID(TaskID{Job: "a"}).setCrashes(crashHistory{suspected: 1})
			b.advance(300 * time.Millisecond)
			reserved := 0
			for _, w := range b.sc.workersByID {
				if w.reserved {
					reserved++
				}
			}
			assert.Equal(t, reserved, s.reserved)
		})
	}
}

// A new owner finds tasks running. Guards against keeping new tasks off their workers for a while, as for suspects of a crash.
func TestNewOwnerIsolatesNoWorkersWithoutCause(t *testing.T) {
	f := newCrashFleet(t, 1, func(TaskID) bool { return false })
	f.submit("a", oneCoreStep(1))
	f.runUntil(200*time.Millisecond, func() bool { return false })
	f.takeOver()
	f.submit("b", oneCoreStep(1))
	f.step()
	f.step()
	assert.Equal(t, f.starts[TaskID{Job: "b"}], 1)
}
